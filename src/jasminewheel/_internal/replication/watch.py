"""Tell owners that copy their slots from those that do not."""

from attrs import define, field

from jasminewheel._internal.replication.fence import LOWEST_FENCE, Fence
from jasminewheel._internal.replication.replicas import ReplicaSets
from jasminewheel._internal.wire.gen.history.ttypes import SlotDescribed


@define
class SlotView:
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
    def is_known(self) -> bool:
        """Tell whether replicas that must know its owner answered."""
        return self.sets.has_majority(self.answered)

    @property
    def is_copied(self) -> bool:
        """Tell whether the slot is whole at a majority of both sets."""
        return self.sets.has_majority(self.copied)


@define
class OwnerWatch:
    """Know since when owners made no progress with any of their slots.

    An owner copies its slots in turn, so progress with one counts for all.
    Appends are no progress: an owner may take them and copy nothing.
    """

    owner_seconds: float
    seen: dict[int, SlotView] = field(factory=dict)
    advanced: dict[tuple[str, str], float] = field(factory=dict)

    def note(self, view: SlotView, now: float) -> None:
        """Compare a slot with the newest that was seen of it before."""
        self.advanced.setdefault(view.owner, now)
        known = self.seen.get(view.slot)
        if known is None:
            self.seen[view.slot] = view
        elif view.progress > known.progress:
            self.seen[view.slot] = view
            if view.owner == known.owner:
                self.advanced[view.owner] = now

    def is_stalled(self, view: SlotView, now: float) -> bool:
        """Tell whether the slot's owner is no longer waited for.

        What this process could not see is no sign of a stall.
        """
        owner = self.seen[view.slot].owner
        waited = now - self.advanced[owner]
        return view.is_known and waited >= self.owner_seconds
