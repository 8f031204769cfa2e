"""Run a replica of turns and token budgets on a VM with a disk."""

import logging

import trio

from jasminewheel._internal.conversation.catch_up import CatchUp
from jasminewheel._internal.conversation.journal import Journal
from jasminewheel._internal.conversation.quorum import SetHolder
from jasminewheel._internal.conversation.replica_set import Replica
from jasminewheel._internal.conversation.service import ReplicaService
from jasminewheel._internal.conversation.set_change import Candidate
from jasminewheel._internal.conversation.set_keeper import (
    DiskRegistration,
    SetKeeper,
    SetListener,
)
from jasminewheel._internal.conversation.state import ConversationState
from jasminewheel._internal.events import frame
from jasminewheel._internal.history.folder import load_disk_id
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.peer.server import PeerServer
from jasminewheel._internal.store.mirror import StoreMirror
from jasminewheel.errors import SettingsError, StoreError
from jasminewheel.platform.retire import PlatformRetireBoard
from jasminewheel.platform.roles import PEER_KEY, background, peer_identity
from jasminewheel.platform.settings import NodeSettings
from jasminewheel.platform.store_client import PlatformStore

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
    settings.data_folder.mkdir(parents=True, exist_ok=True)
    disk_id = load_disk_id(settings.data_folder)
    now = trio.current_time()
    state = ConversationState()
    journal = Journal(settings.data_folder, state)
    journal.load(now)
    store = PlatformStore(settings.store_address)
    holder = SetHolder()
    listener = SetListener(holder)
    board = PlatformRetireBoard(store)
    registration = DiskRegistration(
        store, Candidate(own_replica(settings, disk_id))
    )
    keeper = SetKeeper(
        store,
        listener,
        registration,
        CatchUp(disk_id, journal, pool),
        board,
        wanted_size=2 * settings.disks_lost + 1,
        may_form=settings.first_start,
        started_at=now,
    )
    server = PeerServer(
        peer_identity(settings),
        PEER_KEY,
        ReplicaService(disk_id, journal).handlers(),
    )
    mirror = StoreMirror(store, [listener, board])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(journal.run)
        await nursery.start(server.serve, settings.ip, settings.peer_port)
        nursery.start_soon(mirror.run)
        nursery.start_soon(registration.run)
        nursery.start_soon(keeper.run)
        nursery.start_soon(background(state.forget_expired, EXPIRY_SECONDS))
        frame.STARTED.log(_LOGGER, vm=settings.vm, disk=disk_id)
        await stop.wait()
        await leave(registration)
        nursery.cancel_scope.cancel()


def own_replica(settings: NodeSettings, disk_id: str) -> Replica:
    """Return this disk as others reach it."""
    return Replica(
        disk_id,
        settings.vm,
        f'{settings.ip}:{settings.peer_port}',
        settings.zone,
    )


async def leave(registration: DiskRegistration) -> None:
    """Let the others know that this disk goes away for now."""
    with trio.move_on_after(LEAVE_SECONDS):
        try:
            await registration.leave()
        except StoreError as error:
            _LOGGER.info('lease not ended: %s', error)
