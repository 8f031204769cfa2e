"""Tell owners that copy their slots from those that do not."""

from attrs import define, field

from jasminewheel._internal.replication.fence import LOWEST_FENCE, Fence
from jasminewheel._internal.replication.replicas import ReplicaSets
from jasminewheel._internal.wire.gen.history.ttypes import SlotDescribed


@define
class SlotCopyStatus:
    """Hold what the replicas told of one slot during a change."""

    slot: int
    sets: ReplicaSets
    # What rises while one owner copies the slot: its fence, then its steps.
    progress: tuple[Fence, int] = (LOWEST_FENCE, 0)
    answered: set[str] = field(factory=set)
    copied: set[str] = field(factory=set)

    def add(self, replica: str, answer: SlotDescribed) -> None:
        """Note an answer; the highest fence rules."""
        told = Fence.from_wire(answer.promised), answer.copying_steps or 0
        self.progress = max(self.progress, told)
        self.answered.add(replica)
        if answer.copied_epoch >= self.sets.epoch:
            self.copied.add(replica)

    @property
    def owner(self) -> tuple[str, str]:
        """Return who owns the slot; a restarted process is another owner."""
        fence = self.progress[0]
        return fence.member, fence.incarnation

    @property
    def is_owner_confirmed(self) -> bool:
        """Tell whether replicas that must know its owner answered."""
        return self.sets.has_majority(self.answered)

    @property
    def is_copied(self) -> bool:
        """Tell whether the slot is whole at a majority of both sets."""
        return self.sets.has_majority(self.copied)


@define
class StallDetector:
    """Know since when owners made no progress with any of their slots.

    An owner copies its slots in turn, so progress with one counts for all.
    Appends are no progress: an owner may take them and copy nothing.
    """

    stall_timeout_seconds: float
    latest_by_slot: dict[int, SlotCopyStatus] = field(factory=dict)
    last_progress_at: dict[tuple[str, str], float] = field(factory=dict)

    def update(self, status: SlotCopyStatus, now: float) -> None:
        """Compare a slot with the newest that was seen of it before."""
        self.last_progress_at.setdefault(status.owner, now)
        known = self.latest_by_slot.get(status.slot)
        if known is None:
            self.latest_by_slot[status.slot] = status
        elif status.progress > known.progress:
            self.latest_by_slot[status.slot] = status
            if status.owner == known.owner:
                self.last_progress_at[status.owner] = now

    def is_stalled(self, status: SlotCopyStatus, now: float) -> bool:
        """Tell whether the slot's owner is no longer waited for.

        What this process could not see is no sign of a stall.
        """
        owner = self.latest_by_slot[status.slot].owner
        waited = now - self.last_progress_at[owner]
        return (
            status.is_owner_confirmed and waited >= self.stall_timeout_seconds
        )
