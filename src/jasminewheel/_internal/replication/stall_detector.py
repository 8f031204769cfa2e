"""Detect owners that make no progress with the copy of their slots."""

from attrs import define, field

from jasminewheel._internal.replication.fence import LOWEST_FENCE, Fence
from jasminewheel._internal.replication.replicas import ReplicaSets
from jasminewheel._internal.wire.gen.history.ttypes import SlotDescribed


@define
class SlotCopyStatus:
    """Collect the replicas' reports on one slot during a change."""

    slot: int
    sets: ReplicaSets
    # Fence of the owner and its steps; increases while it copies the slot.
    progress: tuple[Fence, int] = (LOWEST_FENCE, 0)
    answered: set[str] = field(factory=set)
    copied: set[str] = field(factory=set)

    def add(self, replica: str, answer: SlotDescribed) -> None:
        """Add an answer; the highest fence determines owner and steps."""
        reported = Fence.from_wire(answer.promised), answer.copying_steps or 0
        self.progress = max(self.progress, reported)
        self.answered.add(replica)
        if answer.copied_epoch >= self.sets.epoch:
            self.copied.add(replica)

    @property
    def owner(self) -> tuple[str, str]:
        """Return member and incarnation; a restarted process is a new owner."""
        fence = self.progress[0]
        return fence.member, fence.incarnation

    @property
    def is_owner_confirmed(self) -> bool:
        """Return whether a majority answered, so that the owner is certain."""
        return self.sets.has_majority(self.answered)

    @property
    def is_copied(self) -> bool:
        """Return whether the slot is complete at a majority of both sets."""
        return self.sets.has_majority(self.copied)


@define
class StallDetector:
    """Track when each owner last made progress with any of its slots.

    An owner copies its slots one after the other, so progress with one counts
    for all. Appends are no progress: an owner may append and copy nothing.
    """

    stall_timeout_seconds: float
    latest_by_slot: dict[int, SlotCopyStatus] = field(factory=dict)
    last_progress_at: dict[tuple[str, str], float] = field(factory=dict)

    def update(self, status: SlotCopyStatus, now: float) -> None:
        """Compare a slot with its newest earlier status.

        A change of owner is no progress, so owners cannot alternate forever.
        """
        self.last_progress_at.setdefault(status.owner, now)
        known = self.latest_by_slot.get(status.slot)
        if known is None:
            self.latest_by_slot[status.slot] = status
        elif status.progress > known.progress:
            self.latest_by_slot[status.slot] = status
            if status.owner == known.owner:
                self.last_progress_at[status.owner] = now

    def is_stalled(self, status: SlotCopyStatus, now: float) -> bool:
        """Return whether the slot's owner has stalled.

        Without answers of a majority the owner may have made progress, so the
        slot does not count as stalled.
        """
        owner = self.latest_by_slot[status.slot].owner
        waited = now - self.last_progress_at[owner]
        return (
            status.is_owner_confirmed and waited >= self.stall_timeout_seconds
        )
