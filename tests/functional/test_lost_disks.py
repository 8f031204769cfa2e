"""Check the requests to lost disks while the other disks are slow."""

from collections import Counter

import trio

from tests.relay_entries import start_entries
from tests.turn_replicas import turn, turn_replicas

ENTRIES = 16
DISKS = 5
LOST = 2
# Longer than the hedge delay of a request.
SLOW_SECONDS = 0.2
TURNS = 72
CONCURRENT_TURNS = 6
# Limit on requests to other entries for one lost disk.
MAX_RELAYS_PER_SECOND = 3


async def _serve_turns(entry) -> float:
    began = trio.current_time()
    left = [f't{number}' for number in range(TURNS)]

    async def work() -> None:
        while left:
            await entry.conversations.commit(turn(left.pop()))

    async with trio.open_nursery() as nursery:
        for _ in range(CONCURRENT_TURNS):
            nursery.start_soon(work)
    return trio.current_time() - began


async def _count_relayed(tmp_path, lose) -> tuple[int, float]:
    async with turn_replicas(tmp_path) as replicas:
        await replicas.start_all(DISKS)
        entries = await start_entries(replicas, ENTRIES)
        for lost in replicas.running[:LOST]:
            lose(entries, lost)
        busy = entries[0]
        busy.pool.delay_seconds = SLOW_SECONDS
        seconds = await _serve_turns(busy)
        asked = Counter(busy.pool.relayed)
        lost_ids = [one.replica.disk_id for one in replicas.running[:LOST]]
        return sum(asked[disk_id] for disk_id in lost_ids), seconds


def _stop(_entries, lost) -> None:
    lost.stop()


def _partition(entries, lost) -> None:
    for entry in entries:
        entry.pool.unreachable.add(lost.replica.address)


def _check(tmp_path, lose) -> None:
    asked, seconds = trio.run(_count_relayed, tmp_path, lose)
    assert asked <= MAX_RELAYS_PER_SECOND * LOST * (seconds + 1)


def test_dead_disks_are_not_asked_for_with_each_turn(tmp_path):
    """Stopped disks that no entry reaches are not searched for each turn."""
    _check(tmp_path, _stop)


def test_silent_disks_are_not_asked_for_with_each_turn(tmp_path):
    """Unresponsive disks are searched for at intervals, not for each turn."""
    _check(tmp_path, _partition)


def test_empty_disk_is_not_asked_for_the_records_it_lost(tmp_path):
    """A disk reported as replaced by its process is not asked again."""

    async def scenario() -> None:
        async with turn_replicas(tmp_path) as replicas:
            await replicas.start_all(DISKS)
            entries = await start_entries(replicas, 2)
            busy = entries[0]
            lost = replicas.running[0]
            await replicas.lose_disk(lost)
            busy.pool.delay_seconds = SLOW_SECONDS
            await busy.conversations.commit(turn('first'))
            busy.pool.asked.clear()
            await _serve_turns(busy)
            assert lost.replica.address not in busy.pool.asked
            assert lost.replica.disk_id not in busy.pool.relayed

    trio.run(scenario)
