"""Check in virtual time that a live owner copies its slots in a change."""

from itertools import product

import trio
from attrs import evolve

from tests.histories import placement_of
from tests.timed_replicas import run_timed, timed_fleet

FOUR = ('h1', 'h2', 'h3', 'h4')
LOGS = tuple('abcdefghijklmnopqrstuvwx')
RECORDS = 20
# A copy beside writes may share its disks with as much again.
MOST_TIMES_LONGER = 2


async def fill(*slots):
    """Append records to each log of the slots."""
    async with trio.open_nursery() as nursery:
        for slot, log_id in product(slots, LOGS):
            nursery.start_soon(append_numbered, slot, log_id, RECORDS)


async def append_numbered(slot, log_id, count):
    """Append numbered records."""
    index = 0
    while index < count:
        await slot.append(log_id, index, 'turn', b'%d' % index)
        index += 1


async def append_on(slot, log_id, index=RECORDS):
    """Append numbered records without a pause until cancelled."""
    while True:
        await slot.append(log_id, index, 'turn', b'%d' % index)
        index += 1


def joint_of(fleet, first):
    """Return the placement in which h4 takes the place of h1."""
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
    """The copy ends within a stated multiple of its time without writes."""

    async def scenario(folder):
        quiet = await move_seconds(folder / 'quiet', beside_writes=False)
        busy = await move_seconds(folder / 'busy', beside_writes=True)
        assert busy <= MOST_TIMES_LONGER * quiet

    run_timed(scenario, tmp_path, monkeypatch)
