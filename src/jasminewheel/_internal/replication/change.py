"""Move slots to other disks when a disk leaves.

The state of a change stands in the store: first previous and current sets
together, then current alone. So whoever finds a change begun carries it on.
"""

import logging
from collections.abc import Callable

import trio
from attrs import define, evolve, field, frozen

from jasminewheel._internal.events import replication as events
from jasminewheel._internal.replication.disks import HistoryMember, find_disks
from jasminewheel._internal.replication.ownership import Ownership
from jasminewheel._internal.replication.placement import (
    PLACEMENT_KEY,
    Placement,
    Sets,
)
from jasminewheel._internal.replication.replacement import replace_disks
from jasminewheel._internal.store.client import Store, StoredValue
from jasminewheel._internal.store.settled import (
    new_writer_mark,
    settled_put,
)
from jasminewheel._internal.wire.gen.history import ttypes as wire
from jasminewheel.errors import JasminewheelError

_LOGGER = logging.getLogger(__name__)


@frozen
class ChangeTiming:
    """Set how patient and how fast changes of replica sets are."""

    interval_seconds: float = 5.0
    absent_seconds: float = 120.0
    owner_seconds: float = 15.0
    pause_seconds: float = 0.05


@define
class AbsenceWatch:
    """Know since when replicas are missed."""

    absent_seconds: float
    since: dict[str, float] = field(factory=dict)

    def gone(
        self, wanted: frozenset[str], present: frozenset[str], now: float
    ) -> frozenset[str]:
        """Return the replicas missed for long enough to be replaced."""
        missing = wanted - present
        self.since = {name: self.since.get(name, now) for name in missing}
        return frozenset(
            name
            for name, since in self.since.items()
            if now - since >= self.absent_seconds
        )


class ReplicaChange:
    """Replace disks that left and carry on changes that others began."""

    def __init__(
        self,
        store: Store,
        ownership: Ownership,
        histories: Callable[[], list[HistoryMember]],
        timing: ChangeTiming,
    ) -> None:
        """Hold what a change needs; histories gives the live ones."""
        self.store = store
        self.ownership = ownership
        self.histories = histories
        self.timing = timing
        self.watch = AbsenceWatch(timing.absent_seconds)
        self.writer = new_writer_mark()

    async def run(self, is_chosen: Callable[[], bool]) -> None:
        """Look for work at each interval while chosen, until cancelled."""
        while True:
            await trio.sleep(self.timing.interval_seconds)
            if not is_chosen():
                continue
            try:
                await self.step(trio.current_time())
            except JasminewheelError as error:
                events.CHANGE_WAITS.log(_LOGGER, problem=error)

    async def step(self, now: float) -> None:
        """Carry on a change, or begin one if a disk is gone."""
        stored = await self.store.get(PLACEMENT_KEY)
        if stored is None:
            return
        placement = Placement.from_json(stored.value)
        if placement.previous is None:
            target = await self.wanted_sets(placement, now)
            if target != placement.current:
                await begin_change(self.store, stored, target, self.writer)
            return
        await self.copy(placement)
        await finish_change(self.store, stored, self.writer)

    async def wanted_sets(self, placement: Placement, now: float) -> Sets:
        """Return the sets with each disk that is gone replaced."""
        pool = self.ownership.replicas.pool
        disks = await find_disks(pool, self.histories())
        present = frozenset(
            name for disk in disks if not disk.leaving for name in disk.names
        )
        # A member that says that it leaves, or has lost its disk, is not
        # waited for; one that is only silent is.
        known = {disk.member for disk in disks}
        wanted = placement.members()
        certain = frozenset(
            name for name in wanted - present if name.partition('#')[0] in known
        )
        gone = certain | self.watch.gone(wanted, present, now)
        return replace_disks(placement.current, gone, disks)

    async def copy(self, placement: Placement) -> None:
        """Return once every slot is whole at a majority of its new set."""
        slots = [
            slot
            for slot in range(placement.slots)
            if placement.sets_of(slot).is_changing
        ]
        events.CHANGE_CARRIED.log(
            _LOGGER, epoch=placement.epoch, slots=len(slots)
        )
        deadline = trio.current_time() + self.timing.owner_seconds
        while slots:
            slots = await self.copy_next(placement, slots, deadline)
            await trio.sleep(self.timing.pause_seconds)

    async def copy_next(
        self, placement: Placement, slots: list[int], deadline: float
    ) -> list[int]:
        """Look after the first slot; return those still to be copied.

        A slot is done only once its replicas say so: that a copy was begun
        or waited for here proves nothing.
        """
        slot, *others = slots
        if await self.is_copied(placement, slot):
            return others
        # Its owner copies it as soon as it has the new placement.
        if trio.current_time() >= deadline or self.is_own(slot):
            await self.copy_slot(placement, slot)
        return [*others, slot]

    def is_own(self, slot: int) -> bool:
        """Tell whether this process owns the slot."""
        return self.ownership.owned(slot) is not None

    async def is_copied(self, placement: Placement, slot: int) -> bool:
        """Ask the replicas whether the slot was copied at this epoch."""
        sets = placement.sets_of(slot)
        copied: set[str] = set()
        async with trio.open_nursery() as nursery:
            for name in sets.members():
                nursery.start_soon(
                    self.note_copied, copied, name, slot, placement.epoch
                )
        return sets.has_majority(copied)

    async def note_copied(
        self, copied: set[str], replica: str, slot: int, epoch: int
    ) -> None:
        """Add the replica if it has the slot whole since the epoch."""
        try:
            answer = await self.ownership.replicas.ask(
                replica,
                wire.DescribeSlot(replica, slot),
                wire.SlotDescribed,
            )
        except JasminewheelError:
            return
        if answer.copied_epoch >= epoch:
            copied.add(replica)

    async def copy_slot(self, placement: Placement, slot: int) -> None:
        """Take the slot over under the new sets and copy its logs."""
        if self.is_own(slot):
            await self.ownership.move(slot, placement)
            return
        copier = self.ownership.of_placement(placement)
        owned = await copier.own(slot)
        await owned.copy()


async def begin_change(
    store: Store, stored: StoredValue, target: Sets, writer: str
) -> Placement:
    """Write previous and current sets; raise StoreConflictError if beaten."""
    placement = Placement.from_json(stored.value)
    joint = evolve(
        placement,
        epoch=placement.epoch + 1,
        current=target,
        previous=placement.current,
    )
    await settled_put(
        store, PLACEMENT_KEY, joint.to_json(writer), stored.revision
    )
    events.CHANGE_BEGUN.log(_LOGGER, epoch=joint.epoch)
    return joint


async def finish_change(
    store: Store, stored: StoredValue, writer: str
) -> Placement:
    """Drop the previous sets; raise StoreConflictError if beaten."""
    joint = Placement.from_json(stored.value)
    placement = evolve(joint, epoch=joint.epoch + 1, previous=None)
    await settled_put(
        store, PLACEMENT_KEY, placement.to_json(writer), stored.revision
    )
    events.CHANGE_FINISHED.log(_LOGGER, epoch=placement.epoch)
    return placement
