"""Find the entry that owns a slot, or acquire the slot."""

from collections.abc import Sequence
from typing import Protocol

from attrs import define

from jasminewheel._internal.membership.member import Member
from jasminewheel._internal.program.slot_table import SlotTable
from jasminewheel._internal.program.takeover import SlotAcquirer
from jasminewheel.errors import MovedError


class OwnerRanking(Protocol):
    """Rank the live entries for each slot."""

    local_member: Member

    def preferred(self, subject: str) -> Sequence[Member]:
        """Return the live entries by preference for a subject."""


@define(eq=False)
class OwnerFinder:
    """Choose the entry to which requests for a slot are sent."""

    ranking: OwnerRanking
    table: SlotTable
    acquirer: SlotAcquirer

    async def find(self, slot: int, unreachable: set[str]) -> Member | None:
        """Return the entry to send to, or None if the slot is owned here."""
        if self.table.slot(slot):
            return None
        chosen = self.choose(slot, unreachable)
        if chosen.member != self.ranking.local_member.member:
            return chosen
        return await self.acquirer.acquire(slot, unreachable)

    def choose(self, slot: int, unreachable: set[str]) -> Member:
        """Return the most preferred entry that is not unreachable."""
        for member in self.ranking.preferred(f'slot-{slot}'):
            if member.member not in unreachable:
                return member
        unreachable.clear()
        raise MovedError('all live entries are unreachable')
