"""Copy the records of other replicas to this disk."""

import logging

import trio
from attrs import define, field, frozen

from jasminewheel._internal.conversation.journal import Journal
from jasminewheel._internal.conversation.records import (
    StoredReservation,
    StoredRevision,
    StoredTurn,
)
from jasminewheel._internal.conversation.replica_set import (
    Replica,
    ReplicaSet,
)
from jasminewheel._internal.events import conversation as events
from jasminewheel._internal.peer.distance import (
    OTHER_REGION_SECONDS,
    Distance,
)
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import JasminewheelError, QuorumError

# Time limit for one round of records from one replica.
ROUND_TIMEOUT_SECONDS = 15.0
# Members that do not reply within this time are not copied from.
FENCE_TIMEOUT_SECONDS = 3.0
# Extra wait after a read quorum replied, so that nearer members can reply too.
NEARER_GRACE_SECONDS = 0.1
# 1.5 MB/s; leaves the rest of a narrow link between regions to requests.
CROSS_REGION_BYTES_PER_SECOND = 1500000
_LOGGER = logging.getLogger(__name__)


@frozen
class CatchUp:
    """Copy records to this disk for one change of the replica set.

    Each source first stores the change's revision, which fences it: it rejects
    writes under older sets from then on, so the copy misses no record. Nearer
    sources are used first, and each sends only the turns missing here.
    """

    disk_id: str
    journal: Journal
    pool: PeerPool
    distance: Distance

    async def run(self, replica_set: ReplicaSet) -> None:
        """Copy from a read quorum; raise QuorumError if too few respond."""
        started_at = trio.current_time()
        events.COPY_STARTED.log(
            _LOGGER,
            revision=replica_set.revision,
            members=[one.vm for one in replica_set.members],
            turns=len(self.journal.state.turns),
        )
        await self.note_revision(replica_set.revision)
        copied = {self.disk_id}
        sources = await self.fence_members(replica_set)
        while sources and not replica_set.is_read_quorum(copied):
            source = sources.pop(0)
            if await self.copy(source, replica_set.revision):
                copied.add(source.disk_id)
        if not replica_set.is_read_quorum(copied):
            raise QuorumError('copied from too few replicas for a read quorum')
        events.CAUGHT_UP.log(
            _LOGGER,
            revision=replica_set.revision,
            turns=len(self.journal.state.turns),
            seconds=round(trio.current_time() - started_at, 3),
        )

    async def note_revision(self, revision: int) -> None:
        """Reject writes under older sets on this disk too."""
        self.journal.state.note_revision(revision)
        await self.journal.store(StoredRevision(revision))

    async def fence_members(self, replica_set: ReplicaSet) -> list[Replica]:
        """Fence the other members; return those fenced, nearest first."""
        fence = _Fence(replica_set, {self.disk_id})
        with trio.move_on_after(FENCE_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for replica in fence.members_to_fence():
                    nursery.start_soon(self.fence_member, replica, fence)
                await fence.enough.wait()
                await trio.sleep(NEARER_GRACE_SECONDS)
                nursery.cancel_scope.cancel()
        return sorted(fence.fenced, key=lambda one: self.distance(one.zone))

    async def fence_member(self, replica: Replica, fence: '_Fence') -> None:
        """Make one member reject writes under older sets."""
        scope = _scope(replica, fence.replica_set.revision)
        try:
            reply = await self.pool.ask(
                replica.address,
                wire.ReadProgramTokens(scope=scope, program_id=''),
                wire.ProgramTokens,
                timeout_seconds=FENCE_TIMEOUT_SECONDS,
            )
        except JasminewheelError as error:
            self.note_failure(replica, error)
            return
        if reply.accepted:
            fence.note_fenced(replica)

    async def copy(self, replica: Replica, revision: int) -> bool:
        """Copy all missing records from one replica; return whether it did."""
        started_at = trio.current_time()
        before = len(self.journal.state.turns)
        try:
            await self.copy_all(replica, revision)
        except (JasminewheelError, trio.TooSlowError) as error:
            self.note_failure(replica, error)
            return False
        events.COPIED_FROM.log(
            _LOGGER,
            vm=replica.vm,
            disk=replica.disk_id,
            turns=len(self.journal.state.turns) - before,
            seconds=round(trio.current_time() - started_at, 3),
        )
        return True

    def note_failure(self, replica: Replica, error: Exception) -> None:
        """Log that copying from a replica failed."""
        events.CATCH_UP_FAILED.log(
            _LOGGER,
            vm=replica.vm,
            disk=replica.disk_id,
            problem=repr(error),
        )

    async def copy_all(self, replica: Replica, revision: int) -> None:
        """Request rounds of records until the replica has no more."""
        complete = False
        while not complete:
            request = wire.ReadMissingRecords(
                scope=_scope(replica, revision),
                known_turns=list(self.journal.state.turns),
                bytes_per_second=self.max_bytes_per_second(replica),
            )
            with trio.fail_after(ROUND_TIMEOUT_SECONDS):
                complete = await self.copy_round(replica, request)

    def max_bytes_per_second(self, replica: Replica) -> int:
        """Return the bandwidth limit for a replica, or 0 for none."""
        near = self.distance(replica.zone) < OTHER_REGION_SECONDS
        return 0 if near else CROSS_REGION_BYTES_PER_SECOND

    async def copy_round(
        self, replica: Replica, request: wire.ReadMissingRecords
    ) -> bool:
        """Store the pages of one round; return whether it was the last."""
        complete = False
        async with self.pool.stream(
            replica.address, request, wire.RecordPage
        ) as pages:
            async for page in pages:
                if not page.accepted:
                    raise QuorumError('the replica set changed during the copy')
                await self.store(page)
                complete = page.complete
        return complete

    async def store(self, page: wire.RecordPage) -> None:
        """Store the records of a page durably."""
        await self.journal.store(
            *map(StoredTurn, page.turns),
            *map(StoredReservation, page.reservations),
        )


@define(eq=False)
class _Fence:
    replica_set: ReplicaSet
    copied_disks: set[str]
    fenced: list[Replica] = field(factory=list)
    enough: trio.Event = field(factory=trio.Event)

    def __attrs_post_init__(self) -> None:
        """Signal completion at once if this disk alone suffices."""
        self.check()

    def members_to_fence(self) -> list[Replica]:
        """Return the members other than this disk."""
        return [
            one
            for one in self.replica_set.members
            if one.disk_id not in self.copied_disks
        ]

    def note_fenced(self, replica: Replica) -> None:
        """Record that a member was fenced."""
        self.fenced.append(replica)
        self.check()

    def check(self) -> None:
        """Signal completion once a read quorum is fenced."""
        fenced_disks = self.copied_disks.union(
            one.disk_id for one in self.fenced
        )
        if self.replica_set.is_read_quorum(fenced_disks):
            self.enough.set()


def _scope(replica: Replica, revision: int) -> wire.ReplicaScope:
    return wire.ReplicaScope(replica=replica.disk_id, set_revision=revision)
