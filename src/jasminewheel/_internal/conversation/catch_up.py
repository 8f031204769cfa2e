"""Copy to this disk what the others hold."""

import logging

import trio
from attrs import frozen

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
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import JasminewheelError, QuorumError

# One replica's records are not waited for any longer.
COPY_SECONDS = 20.0
_LOGGER = logging.getLogger(__name__)


@frozen
class CatchUp:
    """Copy records for one change of the replica set.

    Each replica asked first stores the change's revision. From then on it
    refuses writes under older sets, so nothing can be missed.
    """

    disk_id: str
    journal: Journal
    pool: PeerPool

    async def run(self, replica_set: ReplicaSet) -> None:
        """Copy from a read quorum; raise QuorumError if too few answer."""
        began = trio.current_time()
        events.COPY_BEGUN.log(
            _LOGGER,
            revision=replica_set.revision,
            members=[one.vm for one in replica_set.members],
            turns=len(self.journal.state.turns),
        )
        await self.note_revision(replica_set.revision)
        copied: set[str] = set()
        async with trio.open_nursery() as nursery:
            copying = _Copying(replica_set, copied, nursery.cancel_scope)
            for replica in replica_set.members:
                nursery.start_soon(self.copy, replica, copying)
        if not replica_set.is_read_quorum(copied):
            raise QuorumError(f'copied from {len(copied)} replicas only')
        events.CAUGHT_UP.log(
            _LOGGER,
            revision=replica_set.revision,
            turns=len(self.journal.state.turns),
            seconds=round(trio.current_time() - began, 3),
        )

    async def note_revision(self, revision: int) -> None:
        """Refuse older sets here as well."""
        self.journal.state.note_revision(revision)
        await self.journal.store(StoredRevision(revision))

    async def copy(self, replica: Replica, copying: '_Copying') -> None:
        """Copy from one replica and note when that succeeded."""
        if replica.disk_id == self.disk_id:
            copying.note(replica)
            return
        request = wire.ReadMissingRecords(
            scope=wire.ReplicaScope(
                replica=replica.disk_id,
                set_revision=copying.replica_set.revision,
            ),
            known_turns=list(self.journal.state.turns),
        )
        began = trio.current_time()
        try:
            with trio.fail_after(COPY_SECONDS):
                turns = await self.take_pages(replica, request)
        except (JasminewheelError, trio.TooSlowError) as error:
            events.CATCH_UP_FAILED.log(
                _LOGGER,
                vm=replica.vm,
                disk=replica.disk_id,
                seconds=round(trio.current_time() - began, 3),
                problem=repr(error),
            )
        else:
            events.COPIED_FROM.log(
                _LOGGER,
                vm=replica.vm,
                disk=replica.disk_id,
                turns=turns,
                seconds=round(trio.current_time() - began, 3),
            )
            copying.note(replica)

    async def take_pages(
        self, replica: Replica, request: wire.ReadMissingRecords
    ) -> int:
        """Store page after page; return how many turns came."""
        turns = 0
        async with self.pool.stream(
            replica.address, request, wire.RecordPage
        ) as pages:
            async for page in pages:
                if not page.accepted:
                    raise QuorumError('the replica set changed meanwhile')
                await self.store(page)
                turns += len(page.turns)
        return turns

    async def store(self, page: wire.RecordPage) -> None:
        """Keep the records of a page durably."""
        await self.journal.store(
            *map(StoredTurn, page.turns),
            *map(StoredReservation, page.reservations),
        )


@frozen
class _Copying:
    replica_set: ReplicaSet
    copied: set[str]
    scope: trio.CancelScope

    def note(self, replica: Replica) -> None:
        """Note a replica that was copied; stop when they are enough."""
        self.copied.add(replica.disk_id)
        if self.replica_set.is_read_quorum(self.copied):
            self.scope.cancel()
