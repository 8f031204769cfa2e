"""Run a history: a replica of turns and token budgets, on a VM with a disk."""

import logging

import trio

from jasminewheel._internal.address import split_address
from jasminewheel._internal.conversation.cleaner import LogCleaner
from jasminewheel._internal.events import frame
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.store.known_items import KnownItemsFile
from jasminewheel._internal.store.mirror import StoreMirror
from jasminewheel._internal.web.early_sockets import EarlySockets
from jasminewheel.errors import SettingsError
from jasminewheel.platform.history_parts import HistoryParts
from jasminewheel.platform.history_server import history_server
from jasminewheel.platform.metrics import start_metrics
from jasminewheel.platform.retire import PlatformRetireBoard
from jasminewheel.platform.roles import periodic_task
from jasminewheel.platform.settings import NodeSettings

KNOWN_ITEMS_NAME = 'store-items.json'
EXPIRY_INTERVAL_SECONDS = 5.0
DEREGISTER_TIMEOUT_SECONDS = 0.5
_LOGGER = logging.getLogger(__name__)


async def serve_history(
    settings: NodeSettings,
    pool: PeerPool,
    stop: trio.Event,
    _early: EarlySockets,
) -> None:
    """Serve entries and other replicas until stop is set."""
    if settings.data_folder is None:
        raise SettingsError(
            'DataDir is missing', remedy='run this role on VMs with a disk'
        )
    parts = HistoryParts(settings, settings.data_folder)
    board = PlatformRetireBoard(parts.store)
    known = KnownItemsFile(parts.folder / KNOWN_ITEMS_NAME)
    mirror = parts.mirror(pool, board, known)
    mirror.apply_known_items(known.load(), 0, trio.current_time())
    async with trio.open_nursery() as nursery:
        await start_server(nursery, parts, mirror)
        nursery.start_soon(mirror.run)
        nursery.start_soon(known.run)
        nursery.start_soon(parts.registration.leased_key.run)
        nursery.start_soon(parts.set_controller(pool, board).run)
        evict = parts.state.evict_expired
        nursery.start_soon(periodic_task(evict, EXPIRY_INTERVAL_SECONDS))
        frame.STARTED.log(_LOGGER, vm=settings.vm, disk=parts.disk_id)
        await stop.wait()
        with trio.move_on_after(DEREGISTER_TIMEOUT_SECONDS):
            await parts.registration.leased_key.revoke()
        nursery.cancel_scope.cancel()


async def start_server(
    nursery: trio.Nursery, parts: HistoryParts, mirror: StoreMirror
) -> None:
    """Listen for peers.

    Processes that cannot read the store contact the addresses in Seeds, so
    the platform's Listen.Control address is served too where it is set.
    """
    nursery.start_soon(parts.journal.run)
    nursery.start_soon(LogCleaner(parts.journal).run)
    server = history_server(parts, mirror)
    settings = parts.settings
    await start_metrics(nursery, settings, parts.gauges)
    await nursery.start(server.serve, settings.ip, settings.peer_port)
    if settings.peers_address:
        address = split_address(settings.peers_address)
        await nursery.start(server.serve, *address)
