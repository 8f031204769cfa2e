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
from jasminewheel._internal.replication.stall_detector import (
    StallDetector,
    SlotCopyStatus,
)
from jasminewheel._internal.store.client import Store, StoredValue
from jasminewheel._internal.store.idempotent_put import (
    new_writer_mark,
    idempotent_put,
)
from jasminewheel._internal.wire.gen.history import ttypes as wire
from jasminewheel.errors import JasminewheelError

# Slots asked about at once: few enough to leave room for what owners ask.
MAX_CONCURRENT_SLOTS = 64
_LOGGER = logging.getLogger(__name__)


@frozen
class ChangeTiming:
    """Set how patient and how fast changes of replica sets are.

    An owner is waited for while it makes progress with its copies, and
    `owner_seconds` more.
    """

    interval_seconds: float = 5.0
    absent_seconds: float = 120.0
    stall_timeout_seconds: float = 15.0
    pause_seconds: float = 0.05
    poll_seconds: float = 2.0


@define
class AbsenceTracker:
    """Know since when replicas are missed."""

    absent_seconds: float
    missing_since: dict[str, float] = field(factory=dict)

    def absent_replicas(
        self, expected: frozenset[str], present: frozenset[str], now: float
    ) -> frozenset[str]:
        """Return the replicas missed for long enough to be replaced."""
        missing = expected - present
        self.missing_since = {
            name: self.missing_since.get(name, now) for name in missing
        }
        return frozenset(
            name
            for name, since in self.missing_since.items()
            if now - since >= self.absent_seconds
        )


class ReplicaChangeCoordinator:
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
        self.absence = AbsenceTracker(timing.absent_seconds)
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
                events.CHANGE_RETRIED.log(_LOGGER, problem=error)

    async def step(self, now: float) -> None:
        """Carry on a change, or begin one if a disk is gone."""
        stored = await self.store.get(PLACEMENT_KEY)
        if stored is None:
            return
        placement = Placement.from_json(stored.value)
        if placement.previous is None:
            target = await self.desired_sets(placement, now)
            if target != placement.current:
                await begin_change(self.store, stored, target, self.writer)
            return
        await self.copy_slots(placement)
        await finish_change(self.store, stored, self.writer)

    async def desired_sets(self, placement: Placement, now: float) -> Sets:
        """Return the sets with each disk that is gone replaced."""
        pool = self.ownership.replicas.pool
        disks = await find_disks(pool, self.histories())
        present = frozenset(
            name for disk in disks if not disk.leaving for name in disk.names
        )
        # A member that says that it leaves, or has lost its disk, is not
        # waited for; one that is only silent is.
        known = {disk.member for disk in disks}
        expected = placement.members()
        certain = frozenset(
            name
            for name in expected - present
            if name.partition('#')[0] in known
        )
        absent = certain | self.absence.absent_replicas(expected, present, now)
        return replace_disks(placement.current, absent, disks)

    async def copy_slots(self, placement: Placement) -> None:
        """Return once every slot is whole at a majority of its new set."""
        slots = [
            slot
            for slot in range(placement.slots)
            if placement.sets_of(slot).is_changing
        ]
        events.CHANGE_COPYING.log(
            _LOGGER, epoch=placement.epoch, slots=len(slots)
        )
        detector = StallDetector(self.timing.stall_timeout_seconds)
        while slots:
            statuses = await self.describe_slots(placement, slots, detector)
            # A slot is done only once its replicas say so: that a copy was
            # begun or waited for here proves nothing.
            left = [status for status in statuses if not status.is_copied]
            slots = [status.slot for status in left]
            due = [
                status.slot
                for status in left
                if self.should_copy(status, detector)
            ]
            await self.copy_due(placement, due)
            await trio.sleep(self.timing.poll_seconds)

    async def copy_due(self, placement: Placement, due: list[int]) -> None:
        """Copy slots for as long as what was seen of them is fresh."""
        fresh_until = trio.current_time() + self.timing.poll_seconds
        while due and trio.current_time() < fresh_until:
            await self.copy_slot(placement, due.pop(0))
            await trio.sleep(self.timing.pause_seconds)

    def should_copy(
        self, status: SlotCopyStatus, detector: StallDetector
    ) -> bool:
        """Tell whether to copy the slot here."""
        is_own = self.ownership.owned(status.slot) is not None
        return is_own or detector.is_stalled(status, trio.current_time())

    async def describe_slots(
        self, placement: Placement, slots: list[int], detector: StallDetector
    ) -> list[SlotCopyStatus]:
        """Ask the replicas how far the slots are, some slots at once."""
        statuses = [
            SlotCopyStatus(slot, placement.sets_of(slot)) for slot in slots
        ]
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_SLOTS)
        async with trio.open_nursery() as nursery:
            for status in statuses:
                nursery.start_soon(self.describe, status, limiter)
        now = trio.current_time()
        for described in statuses:
            detector.update(described, now)
        return statuses

    async def describe(
        self, status: SlotCopyStatus, limiter: trio.CapacityLimiter
    ) -> None:
        """Ask all replicas of one slot."""
        async with limiter, trio.open_nursery() as nursery:
            for name in status.sets.members():
                nursery.start_soon(self.describe_at, status, name)

    async def describe_at(self, status: SlotCopyStatus, replica: str) -> None:
        """Note what one replica tells; one that is silent tells nothing."""
        try:
            answer = await self.ownership.replicas.ask(
                replica,
                wire.DescribeSlot(replica, status.slot),
                wire.SlotDescribed,
            )
        except JasminewheelError as error:
            _LOGGER.debug('%s tells nothing of its slots: %s', replica, error)
            return
        status.add(replica, answer)

    async def copy_slot(self, placement: Placement, slot: int) -> None:
        """Take the slot over under the new sets and copy its logs."""
        if self.ownership.owned(slot):
            await self.ownership.move(slot, placement)
            return
        copier = self.ownership.of_placement(placement)
        owned = await copier.seal(slot, placement)
        await owned.copy_logs()


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
    await idempotent_put(
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
    await idempotent_put(
        store, PLACEMENT_KEY, placement.to_json(writer), stored.revision
    )
    events.CHANGE_FINISHED.log(_LOGGER, epoch=placement.epoch)
    return placement
