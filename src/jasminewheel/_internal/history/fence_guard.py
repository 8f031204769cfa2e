"""Check owners' fences against promises and make writes durable."""

from attrs import frozen

from jasminewheel._internal.history.entry import Entry
from jasminewheel._internal.history.journal import Journal
from jasminewheel._internal.history.state import SlotState
from jasminewheel._internal.replication.fence import Fence
from jasminewheel._internal.wire.gen.history import ttypes as wire
from jasminewheel.errors import PeerError

MAX_SLOTS = 65536


@frozen
class FenceDecision:
    """Represent the result of a fence check and the entries to store."""

    slot: SlotState
    fence: Fence
    accepted: bool
    entries: list[Entry]

    @property
    def promised(self) -> wire.WireFence:
        """Return the highest promised fence of the slot."""
        return self.slot.promised.to_wire()

    def entry(self, what: int, log: str = '', index: int = 0) -> Entry:
        """Return an entry of the slot under the owner's fence."""
        return Entry(what, self.slot.slot, self.fence, log, index)


@frozen
class FenceGuard:
    """Check requests against the disk's name and the slot's promise."""

    journal: Journal
    member: str

    @property
    def replica(self) -> str:
        """Return the name under which placements list this disk.

        A member that lost its disk returns under another name, so it never
        counts as a replica that has the records of the old disk.
        """
        disk_id = self.journal.disk.disk_id
        return f'{self.member}#{disk_id}'

    def slot_of(self, scope: wire.Scope) -> SlotState:
        """Return the slot's state; refuse requests for another disk."""
        self.check_replica(scope.replica)
        return self.slot_numbered(scope.slot)

    def check_replica(self, replica: str) -> None:
        """Raise PeerError if the request is for another disk."""
        if replica not in {self.member, self.replica}:
            raise PeerError(
                f'replica {replica} was asked, this is {self.replica}'
            )

    def check_fence(self, scope: wire.Scope) -> FenceDecision:
        """Check the fence of an owner; a higher one raises the promise."""
        slot = self.slot_of(scope)
        fence = Fence.from_wire(scope.fence)
        if not slot.may_write(fence):
            return FenceDecision(slot, fence, accepted=False, entries=[])
        joined_epoch = scope.joined_epoch or 0
        entries = []
        if fence > slot.promised or joined_epoch > slot.joined_epoch:
            entries.append(slot.promise_entry(fence, joined_epoch))
        return FenceDecision(slot, fence, accepted=True, entries=entries)

    async def check_fence_for_read(self, scope: wire.Scope) -> FenceDecision:
        """Check the fence and wait until all earlier writes are durable."""
        decision = self.check_fence(scope)
        if decision.accepted:
            submission = self.journal.submit(decision.entries)
            await self.journal.commit(submission)
        return decision

    async def acknowledge(
        self, decision: FenceDecision, entries: list[Entry]
    ) -> wire.Acknowledged:
        """Make an accepted request durable and return its answer."""
        durable = [*decision.entries, *entries]
        if decision.accepted and durable:
            await self.journal.commit(self.journal.submit(durable))
        return wire.Acknowledged(
            accepted=decision.accepted,
            promised=decision.promised,
        )

    def slot_numbered(self, number: int | None) -> SlotState:
        """Return the state of a slot; raise PeerError on a bad number."""
        if number is None or not 0 <= number < MAX_SLOTS:
            raise PeerError(f'invalid slot number {number}')
        return self.journal.state.slot(number)
