"""Run a replica of turns and token budgets on a VM with a disk."""

import logging

import trio

from jasminewheel._internal.events import frame
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.store.mirror import StoreMirror
from jasminewheel.errors import SettingsError
from jasminewheel.platform.history_parts import HistoryParts
from jasminewheel.platform.retire import PlatformRetireBoard
from jasminewheel.platform.roles import background
from jasminewheel.platform.settings import NodeSettings

EXPIRY_SECONDS = 5.0
LEAVE_SECONDS = 0.5
_LOGGER = logging.getLogger(__name__)


async def serve_history(
    settings: NodeSettings, pool: PeerPool, stop: trio.Event
) -> None:
    """Serve entries and other replicas until stop."""
    if settings.data_folder is None:
        raise SettingsError(
            'DataDir is missing', remedy='run this role on VMs with a disk'
        )
    parts = HistoryParts(settings, settings.data_folder)
    board = PlatformRetireBoard(parts.store)
    mirror = StoreMirror(parts.store, [parts.listener, board])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(parts.journal.run)
        server = parts.server()
        await nursery.start(server.serve, settings.ip, settings.peer_port)
        nursery.start_soon(mirror.run)
        nursery.start_soon(parts.registration.run)
        nursery.start_soon(parts.keeper(pool, board).run)
        forget = parts.state.forget_expired
        nursery.start_soon(background(forget, EXPIRY_SECONDS))
        frame.STARTED.log(_LOGGER, vm=settings.vm, disk=parts.disk_id)
        await stop.wait()
        with trio.move_on_after(LEAVE_SECONDS):
            await parts.registration.leave()
        nursery.cancel_scope.cancel()
