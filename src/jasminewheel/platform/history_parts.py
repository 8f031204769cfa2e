"""Build the components of a history from its settings."""

from pathlib import Path

import trio
from attrs import define, field

from jasminewheel._internal.conversation.catch_up import CatchUp
from jasminewheel._internal.conversation.journal import Journal
from jasminewheel._internal.conversation.replica_set import Replica
from jasminewheel._internal.conversation.set_change import Candidate
from jasminewheel._internal.conversation.set_controller import (
    DiskRegistration,
    ReplicaSetController,
    RetireBoard,
    new_listener,
)
from jasminewheel._internal.conversation.set_listener import SetListener
from jasminewheel._internal.conversation.state import ConversationState
from jasminewheel._internal.history.folder import load_disk_id
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.store.large_values import (
    READER_VERSIONS,
    LargeValues,
)
from jasminewheel._internal.store.mirror import MirrorListener, StoreMirror
from jasminewheel.platform.history_limits import HistoryLimits
from jasminewheel.platform.settings import NodeSettings
from jasminewheel.platform.store_client import PlatformStore
from jasminewheel.platform.store_reading import followed_store


@define(eq=False)
class HistoryParts:
    """Represent the components of a history, which serves one disk."""

    settings: NodeSettings
    folder: Path
    state: ConversationState = field(factory=ConversationState)
    listener: SetListener = field(init=False)
    store: PlatformStore = field(init=False)
    journal: Journal = field(init=False)
    disk_id: str = field(init=False)
    registration: DiskRegistration = field(init=False)
    limits: HistoryLimits = field(init=False)
    values: LargeValues = field(factory=lambda: LargeValues(READER_VERSIONS))

    def __attrs_post_init__(self) -> None:
        """Open the data folder and load the journal."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.disk_id = load_disk_id(self.folder)
        self.listener = new_listener(self.settings.heartbeat_seconds)
        self.store = PlatformStore(self.settings.store_address)
        self.journal = Journal(self.folder, self.state)
        self.journal.load(trio.current_time())
        self.limits = HistoryLimits(
            self.settings, self.disk_id, self.listener, trio.current_time()
        )
        self.registration = DiskRegistration(
            self.store, Candidate(self.own_replica())
        )

    def own_replica(self) -> Replica:
        """Return this disk with the address at which peers reach it."""
        node = self.settings
        return Replica(self.disk_id, node.vm, node.peer_address, node.zone)

    def mirror(self, pool: PeerPool, *listeners: MirrorListener) -> StoreMirror:
        """Return the task that mirrors the store's keys.

        A process of the replica set watches the store; others follow one.
        """
        contact = self.listener.contact
        store = followed_store(
            self.settings,
            self.store,
            pool,
            self.listener.holder,
            contact,
            self.values,
        )
        mirror = StoreMirror(
            store,
            [self.values, self.listener, self.limits.listener(), *listeners],
            contact=contact,
        )
        self.registration.leased_key.follow(mirror)
        return mirror

    def set_controller(
        self, pool: PeerPool, board: RetireBoard
    ) -> ReplicaSetController:
        """Return the task that adds and replaces members of the replica set."""
        return ReplicaSetController(
            self.store,
            self.listener,
            self.registration,
            self.catch_up(pool),
            board,
            wanted_size=2 * self.settings.disks_lost + 1,
            may_bootstrap=self.settings.first_start,
            started_at=trio.current_time(),
        )

    def catch_up(self, pool: PeerPool) -> CatchUp:
        """Return the component that copies records from other disks."""
        return CatchUp(self.disk_id, self.journal, pool, self.settings.distance)

    def gauges(self) -> dict[str, float]:
        """Return the current values of this disk's gauges."""
        return {
            'replica_set_revision': self.listener.holder.current.revision,
            'turns_kept': len(self.state.turns),
            'programs_kept': len(self.state.programs),
            'log_bytes': self.journal.log.stored_bytes,
            'log_files': len(self.journal.log.closed) + 1,
            **self.store.call_counts(),
        }
