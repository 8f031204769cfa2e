"""Check in virtual time that live owners copy their slots in a change."""

from contextlib import asynccontextmanager, suppress
from itertools import product

import pytest
import trio
from attrs import evolve

from jasminewheel._internal.replication.change import (
    ChangeTiming,
    ReplicaChangeCoordinator,
)
from jasminewheel._internal.replication.placement import (
    PLACEMENT_KEY,
    Placement,
    PlacementView,
)
from jasminewheel.errors import FencedError, QuorumError
from tests.histories import placement_of
from tests.memory_store import MemoryStore
from tests.timed_replicas import run_timed, timed_fleet

FOUR = ('h1', 'h2', 'h3', 'h4')
LOGS = tuple('abcdefghijklmnopqrstuvwx')
RECORDS = 20
# Takes 1 s to list, and four pages and batches to read and write.
LONG_RECORDS = 1000
LONG_PAYLOAD = bytes(4096)
# The stall timeout of an owner and the coordinator's copy of the slot.
MAX_STALLED_SECONDS = 5
# Writes during the copy may take as much time of the disks as the copy.
MAX_SLOWDOWN = 2
TIMING = ChangeTiming(
    interval_seconds=0.05,
    absent_seconds=0.2,
    stall_timeout_seconds=1,
    pause_seconds=0.05,
    poll_seconds=0.05,
)


async def fill(*slots):
    """Append records to each log of the slots."""
    async with trio.open_nursery() as nursery:
        for slot, log_id in product(slots, LOGS):
            nursery.start_soon(append_numbered, slot, log_id, RECORDS)


async def own_all(owner, count):
    """Own the first slots and return them."""
    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(owner.own, number)
    return [owner.owned(slot) for slot in range(count)]


async def count_records(slot):
    """Return how many records each log has."""
    counts = {}

    async def count_log(log_id):
        counts[log_id] = len(await slot.read(log_id))

    async with trio.open_nursery() as nursery:
        for log_id in LOGS:
            nursery.start_soon(count_log, log_id)
    return counts


async def append_numbered(slot, log_id, count, payload=b'x'):
    """Append records."""
    index = 0
    while index < count:
        await slot.append(log_id, index, 'turn', payload)
        index += 1


async def append_on(slot, log_id, index=RECORDS):
    """Append numbered records without pause until cancelled."""
    while True:
        await slot.append(log_id, index, 'turn', b'%d' % index)
        index += 1


def joint_of(fleet, first):
    """Return the joint placement in which h4 replaces h1."""
    return evolve(
        first,
        epoch=first.epoch + 1,
        current=(fleet.replicas('h4', 'h2', 'h3'),),
        previous=first.current,
    )


async def move_seconds(folder, *, beside_writes):
    """Return how long an owner takes to copy its slot to a new disk."""
    async with timed_fleet(folder, *FOUR) as fleet:
        first = placement_of(*fleet.replicas(*FOUR[:3]), slots=1)
        owner = fleet.owner('owner', first)
        slot = await owner.own(0)
        await fill(slot)
        fleet.stop('h1')
        async with trio.open_nursery() as nursery:
            for log_id in LOGS if beside_writes else ():
                nursery.start_soon(append_on, slot, log_id)
            started = trio.current_time()
            await owner.move(0, joint_of(fleet, first))
            taken = trio.current_time() - started
            nursery.cancel_scope.cancel()
        return taken


def test_writes_without_a_pause_do_not_starve_the_copy(tmp_path, monkeypatch):
    """A copy beside writes takes at most MAX_SLOWDOWN times as long."""

    async def scenario(folder):
        quiet = await move_seconds(folder / 'quiet', beside_writes=False)
        busy = await move_seconds(folder / 'busy', beside_writes=True)
        assert busy <= MAX_SLOWDOWN * quiet

    run_timed(scenario, tmp_path, monkeypatch)


class ChangeInProgress:
    """Represent a change of replica sets with an owner and a coordinator."""

    def __init__(self, fleet, slots=1):
        """Start with three disks, before the change."""
        self.fleet = fleet
        self.store = MemoryStore()
        self.first = placement_of(*fleet.replicas(*FOUR[:3]), slots=slots)
        self.view = PlacementView(self.first)
        self.owner = fleet.owner('owner', self.first)
        self.coordinator = self.coordinated_by(
            fleet.owner('carrier', self.first)
        )

    def coordinated_by(self, ownership):
        """Return a coordinator that uses the given ownership."""
        return ReplicaChangeCoordinator(self.store, ownership, list, TIMING)

    async def begin(self):
        """Put the joint placement into the store and notify the owner."""
        joint = joint_of(self.fleet, self.first)
        await self.store.put(PLACEMENT_KEY, joint.to_json(), 0)
        self.view.install(joint)

    async def placement(self):
        """Return the placement in the store."""
        stored = await self.store.get(PLACEMENT_KEY)
        return Placement.from_json(stored.value)


@asynccontextmanager
async def coordinator_that_copies(folder):
    """Yield a change whose coordinator owns the slot and is copying it.

    Only h1 and h3 have the records, so h2 and h4 would lack them if the change
    ended before the copy.
    """
    async with timed_fleet(folder, *FOUR) as fleet:
        change = ChangeInProgress(fleet)
        slot = await change.owner.own(0)
        stopped = fleet.handlers.pop('h2')
        await fill(slot)
        fleet.handlers['h2'] = stopped
        fleet.nursery.start_soon(change.owner.follow, change.view)
        change.coordinator = change.coordinated_by(change.owner)
        await change.begin()
        await trio.sleep(0.1)
        yield change


async def assert_complete_without(change, *lost):
    """Check that a new owner reads all records without these disks."""
    for member in lost:
        change.fleet.stop(member)
    reader = change.fleet.owner('reader', await change.placement())
    slot = await reader.own(0)
    assert await count_records(slot) == dict.fromkeys(LOGS, RECORDS)


def test_coordinator_waits_for_copies_of_its_own_slots(tmp_path, monkeypatch):
    """A change does not end before the coordinator's slots are copied."""

    async def scenario(folder):
        async with coordinator_that_copies(folder) as change:
            await change.coordinator.step(trio.current_time())
            assert (await change.placement()).previous is None
            await assert_complete_without(change, 'h1', 'h3')

    run_timed(scenario, tmp_path, monkeypatch)


def test_failed_copy_of_an_own_slot_does_not_end_the_change(
    tmp_path, monkeypatch
):
    """A coordinator retries the copy of its own slot after a failure."""

    async def scenario(folder):
        async with coordinator_that_copies(folder) as change:
            serving = change.fleet.handlers
            stopped = {name: serving.pop(name) for name in ('h3', 'h4')}
            await trio.sleep(1)
            with pytest.raises(QuorumError):
                await change.coordinator.step(trio.current_time())
            assert (await change.placement()).previous is not None
            serving.update(stopped)
            await change.coordinator.step(trio.current_time())
            assert (await change.placement()).previous is None
            await assert_complete_without(change, 'h1', 'h3')

    run_timed(scenario, tmp_path, monkeypatch)


def test_coordinator_leaves_slots_to_an_owner_that_copies(
    tmp_path, monkeypatch
):
    """An owner keeps its slots if its copy exceeds the stall timeout."""

    async def scenario(folder):
        async with timed_fleet(folder, *FOUR) as fleet:
            change = ChangeInProgress(fleet, slots=4)
            slots = await own_all(change.owner, 4)
            await fill(*slots)
            fleet.nursery.start_soon(change.owner.follow, change.view)
            await trio.testing.wait_all_tasks_blocked()
            await change.begin()
            started = trio.current_time()
            await change.coordinator.step(started)
            assert (
                trio.current_time() - started > 2 * TIMING.stall_timeout_seconds
            )
            assert {slot.fence.member for slot in slots} == {'owner'}
            assert [change.owner.owned(number) for number in range(4)] == slots
            await slots[0].append('a', RECORDS, 'turn', b'next')

    run_timed(scenario, tmp_path, monkeypatch)


def test_owner_copying_a_long_log_is_not_stalled(tmp_path, monkeypatch):
    """Progress within one log counts, not only completed logs."""

    async def scenario(folder):
        async with timed_fleet(folder, *FOUR) as fleet:
            change = ChangeInProgress(fleet)
            change.coordinator.timing = evolve(
                TIMING, stall_timeout_seconds=2.5
            )
            slot = await change.owner.own(0)
            await append_numbered(slot, 'long', LONG_RECORDS, LONG_PAYLOAD)
            fleet.nursery.start_soon(change.owner.follow, change.view)
            await change.begin()
            started = trio.current_time()
            await change.coordinator.step(started)
            assert trio.current_time() - started > 3
            assert change.owner.owned(0) is slot

    run_timed(scenario, tmp_path, monkeypatch)


def test_owner_that_copies_nothing_is_replaced(tmp_path, monkeypatch):
    """An owner that only appends is stalled, and the change completes."""

    async def scenario(folder):
        async with timed_fleet(folder, *FOUR) as fleet:
            change = ChangeInProgress(fleet)
            slot = await change.owner.own(0)
            await fill(slot)
            fleet.nursery.start_soon(append_until_fenced, slot)
            await change.begin()
            with trio.fail_after(MAX_STALLED_SECONDS):
                await change.coordinator.step(trio.current_time())
            assert (await change.placement()).previous is None
            await assert_complete_without(change, 'h1', 'h3')

    run_timed(scenario, tmp_path, monkeypatch)


async def append_until_fenced(slot):
    """Append to a separate log until another process owns the slot."""
    with suppress(FencedError):
        await append_on(slot, 'new', 0)


def test_owner_that_takes_a_slot_during_a_change_keeps_it(
    tmp_path, monkeypatch
):
    """A slot taken over under the joint sets is copied by its new owner."""

    async def scenario(folder):
        async with timed_fleet(folder, *FOUR) as fleet:
            change = ChangeInProgress(fleet)
            await fill(await change.owner.own(0))
            await change.begin()
            heir = fleet.owner('heir', await change.placement())
            fleet.nursery.start_soon(heir.follow, change.view)
            await trio.testing.wait_all_tasks_blocked()
            slot = await heir.own(0)
            await change.coordinator.step(trio.current_time())
            assert heir.owned(0) is slot
            await slot.append('a', RECORDS, 'turn', b'next')

    run_timed(scenario, tmp_path, monkeypatch)
