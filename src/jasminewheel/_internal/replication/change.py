"""Move slots to other disks when a disk leaves.

The store has the state of a change: first the previous and current sets
together, then the current sets alone. So any entry can continue a change that
another entry began.
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

# Limit on slots that are queried at once, to leave capacity for the requests
# of owners.
MAX_CONCURRENT_SLOTS = 64
_LOGGER = logging.getLogger(__name__)


@frozen
class ChangeTiming:
    """Configure intervals and timeouts of changes of replica sets.

    A slot is taken from its owner once the owner has made no progress with its
    copies for `stall_timeout_seconds`. A disk that does not answer is replaced
    after `absent_seconds`; `pause_seconds` separates two copies.
    """

    interval_seconds: float = 5.0
    absent_seconds: float = 120.0
    stall_timeout_seconds: float = 15.0
    pause_seconds: float = 0.05
    poll_seconds: float = 2.0


@define
class AbsenceTracker:
    """Track since when replicas are absent."""

    absent_seconds: float
    missing_since: dict[str, float] = field(factory=dict)

    def absent_replicas(
        self, expected: frozenset[str], present: frozenset[str], now: float
    ) -> frozenset[str]:
        """Return the replicas absent for `absent_seconds` or longer."""
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
    """Replace disks that left and complete changes begun by any entry."""

    def __init__(
        self,
        store: Store,
        ownership: Ownership,
        histories: Callable[[], list[HistoryMember]],
        timing: ChangeTiming,
    ) -> None:
        """Start with no absent replicas; `histories` lists live processes."""
        self.store = store
        self.ownership = ownership
        self.histories = histories
        self.timing = timing
        self.absence = AbsenceTracker(timing.absent_seconds)
        self.writer = new_writer_mark()

    async def run(self, is_chosen: Callable[[], bool]) -> None:
        """Run a step at each interval while chosen, until cancelled."""
        while True:
            await trio.sleep(self.timing.interval_seconds)
            if not is_chosen():
                continue
            try:
                await self.step(trio.current_time())
            except JasminewheelError as error:
                events.CHANGE_RETRIED.log(_LOGGER, problem=error)

    async def step(self, now: float) -> None:
        """Complete a pending change, or begin one if a disk is absent."""
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
        """Return the sets with absent disks replaced."""
        pool = self.ownership.replicas.pool
        disks = await find_disks(pool, self.histories())
        present = frozenset(
            name for disk in disks if not disk.leaving for name in disk.names
        )
        # A replica is replaced at once if its process answers but is leaving
        # or has lost the disk, and only after a timeout if it does not answer.
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
        """Return once all slots are complete at a majority of both sets."""
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
            # Only the replicas' answers show that a slot is copied. A copy that
            # was started or awaited here may have failed.
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
        """Copy slots until their statuses are older than one poll."""
        fresh_until = trio.current_time() + self.timing.poll_seconds
        while due and trio.current_time() < fresh_until:
            await self.copy_slot(placement, due.pop(0))
            await trio.sleep(self.timing.pause_seconds)

    def should_copy(
        self, status: SlotCopyStatus, detector: StallDetector
    ) -> bool:
        """Return whether this process owns the slot or its owner stalled."""
        is_own = self.ownership.owned(status.slot) is not None
        return is_own or detector.is_stalled(status, trio.current_time())

    async def describe_slots(
        self, placement: Placement, slots: list[int], detector: StallDetector
    ) -> list[SlotCopyStatus]:
        """Ask the replicas for the copy status of all slots."""
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
        """Ask all replicas of one slot for its status."""
        async with limiter, trio.open_nursery() as nursery:
            for name in status.sets.members():
                nursery.start_soon(self.describe_at, status, name)

    async def describe_at(self, status: SlotCopyStatus, replica: str) -> None:
        """Add the answer of one replica; ignore a replica that fails."""
        try:
            answer = await self.ownership.replicas.ask(
                replica,
                wire.DescribeSlot(replica, status.slot),
                wire.SlotDescribed,
            )
        except JasminewheelError as error:
            _LOGGER.debug('no slot status from replica %s: %s', replica, error)
            return
        status.add(replica, answer)

    async def copy_slot(self, placement: Placement, slot: int) -> None:
        """Move or take over the slot under the joint sets; copy its logs."""
        if self.ownership.owned(slot):
            await self.ownership.move(slot, placement)
            return
        copier = self.ownership.of_placement(placement)
        owned = await copier.seal(slot, placement)
        await owned.copy_logs()


async def begin_change(
    store: Store, stored: StoredValue, target: Sets, writer: str
) -> Placement:
    """Store the joint sets; raise StoreConflictError on a lost race."""
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
    """Remove the previous sets; raise StoreConflictError on a lost race."""
    joint = Placement.from_json(stored.value)
    placement = evolve(joint, epoch=joint.epoch + 1, previous=None)
    await idempotent_put(
        store, PLACEMENT_KEY, placement.to_json(writer), stored.revision
    )
    events.CHANGE_FINISHED.log(_LOGGER, epoch=placement.epoch)
    return placement
