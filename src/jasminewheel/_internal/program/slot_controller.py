"""Release slots to their preferred entries and on a planned stop."""

import logging
from collections.abc import Sequence
from typing import Protocol

import trio
from attrs import define, field

from jasminewheel._internal.events import program as events
from jasminewheel._internal.membership.member import Member
from jasminewheel._internal.program.job import Clock
from jasminewheel._internal.program.slot_table import HostedSlot, SlotTable

_LOGGER = logging.getLogger(__name__)
CHECK_INTERVAL_SECONDS = 1.0
# A slot moves only after another entry was preferred for this long.
STABLE_SECONDS = 3.0
_DRAIN_PAUSE_SECONDS = 0.01


class OwnerRanking(Protocol):
    """Rank the live entries for each slot."""

    local_member: Member

    def preferred(self, subject: str) -> Sequence[Member]:
        """Return the live entries by preference for a subject."""


@define(eq=False)
class SlotController:
    """Evict idle programs, release misplaced slots and drain the entry."""

    table: SlotTable
    ranking: OwnerRanking
    clock: Clock
    misplaced_since: dict[int, float] = field(factory=dict)

    async def run(self) -> None:
        """Reconcile the owned slots periodically until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            self.reconcile(self.clock())

    def reconcile(self, now: float) -> None:
        """Evict idle programs and release idle slots that should move."""
        for hosted_slot in self.table.owned_slots():
            hosted_slot.evict_idle(now)
            if self.is_misplaced(hosted_slot, now) and hosted_slot.is_idle:
                self.table.release(hosted_slot)

    def is_misplaced(self, hosted_slot: HostedSlot, now: float) -> bool:
        """Return whether another entry was preferred for STABLE_SECONDS."""
        slot = hosted_slot.slot
        preferred_entries = self.ranking.preferred(f'slot-{slot}')
        if (
            not preferred_entries
            or preferred_entries[0].member == self.ranking.local_member.member
        ):
            self.misplaced_since.pop(slot, None)
            return False
        since = self.misplaced_since.setdefault(slot, now)
        return now - since >= STABLE_SECONDS

    async def drain(self) -> None:
        """Release each slot once its running calls have ended."""
        while self.release_idle():
            await trio.sleep(_DRAIN_PAUSE_SECONDS)
        events.DRAINED.log(_LOGGER)

    def release_idle(self) -> bool:
        """Release idle slots; return whether busy slots remain."""
        any_busy = False
        for hosted_slot in self.table.owned_slots():
            hosted_slot.is_closing = True
            if hosted_slot.is_idle:
                self.table.release(hosted_slot)
            else:
                any_busy = True
        return any_busy
