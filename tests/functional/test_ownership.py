"""Check ownership of slots with histories over real sockets."""

import time
from contextlib import suppress

import pytest
import trio

from jasminewheel._internal.replication.record import DROPPED_KIND, LogRecord
from jasminewheel.errors import (
    ConflictError,
    FencedError,
    NotFoundError,
    QuorumError,
)
from tests.histories import append_with_retries, fleet, placement_of, run

THREE = ('h1', 'h2', 'h3')
PLACEMENT = placement_of(*THREE)


def test_append_and_read_by_a_new_owner(tmp_path):
    """A new owner reads all records of the old owner in order."""

    async def scenario(folder):
        async with fleet(folder, *THREE) as running:
            async with running.owner('a', PLACEMENT) as first:
                slot = await first.own(3)
                await append_all(slot, 'p', b'0', b'1', b'2', b'3', b'4')
            async with running.owner('b', PLACEMENT) as second:
                taken = await second.own(3)
                assert taken.log_ids == {'p'}
                assert taken.fence > slot.fence
                assert taken.fence.number > slot.fence.number
                assert await taken.read('p') == [
                    LogRecord(index, 'turn', b'%d' % index)
                    for index in range(5)
                ]

    run(scenario, tmp_path)


def test_old_owner_cannot_append(tmp_path):
    """An owner loses its slot once another owner has sealed it."""

    async def scenario(folder):
        async with fleet(folder, *THREE) as running:
            async with (
                running.owner('a', PLACEMENT) as first,
                running.owner('b', PLACEMENT) as second,
            ):
                old = await first.own(3)
                await old.append('p', 0, 'turn', b'x')
                new = await second.own(3)
                with pytest.raises(FencedError):
                    await old.append('p', 1, 'turn', b'old')
                assert first.owned(3) is None
                await new.append('p', 1, 'turn', b'new')
                payloads = [one.payload for one in await new.read('p')]
                assert payloads == [b'x', b'new']

    run(scenario, tmp_path)


def test_one_replica_down(tmp_path):
    """A majority suffices; without one the outcome is unknown."""

    async def scenario(folder):
        async with fleet(folder, *THREE) as running:
            running.stop('h3')
            async with running.owner('a', PLACEMENT) as owner:
                slot = await owner.own(3)
                await slot.append('p', 0, 'turn', b'x')
                running.stop('h2')
                with pytest.raises(QuorumError):
                    await slot.append('p', 1, 'turn', b'y')
                await running.start('h3')
                with pytest.raises(ConflictError, match='unknown outcome'):
                    await slot.append('p', 1, 'turn', b'z')
                await append_with_retries(slot, 'p', 1, 'turn', b'y')
                payloads = [one.payload for one in await slot.read('p')]
                assert payloads == [b'x', b'y']

    run(scenario, tmp_path)


async def append_all(slot, log_id, *payloads):
    """Append records from index 0 on."""
    numbered = enumerate(payloads)
    while True:
        index, payload = next(numbered, (None, None))
        if payload is None:
            return
        await slot.append(log_id, index, 'turn', payload)


def test_record_of_a_lost_minority_is_settled_once(tmp_path):
    """A record on one replica only is either chosen or replaced."""

    async def scenario(folder):
        async with fleet(folder, *THREE) as running:
            async with running.owner('a', PLACEMENT) as first:
                old = await first.own(3)
                await old.append('p', 0, 'turn', b'x')
                running.stop('h2', 'h3')
                with pytest.raises(QuorumError):
                    await old.append('p', 1, 'turn', b'lonely')
            await running.start('h2')
            await running.start('h3')
            running.stop('h1')
            async with running.owner('b', PLACEMENT) as second:
                slot = await second.own(3)
                assert len(await slot.read('p')) == 1
                await slot.append('p', 1, 'turn', b'chosen')
            await running.start('h1')
            running.stop('h2')
            async with running.owner('c', PLACEMENT) as third:
                slot = await third.own(3)
                payloads = [one.payload for one in await slot.read('p')]
                assert payloads == [b'x', b'chosen']

    run(scenario, tmp_path)


def test_unsettled_last_record_is_written_again(tmp_path):
    """A last record that one owner has read is read by all later owners.

    Only h1 has record 1 of owner a; only h3 has another record 1 of owner b,
    with a higher fence. Owner c reaches h1 and h2 and reads the record of a;
    owner d reaches h1 and h3 and must read the same record.
    """

    async def scenario(folder):
        async with fleet(folder, *THREE) as running:
            async with running.owner('a', PLACEMENT) as first:
                slot = await first.own(3)
                await slot.append('p', 0, 'turn', b'x')
                running.stop('h2', 'h3')
                with pytest.raises(QuorumError):
                    await slot.append('p', 1, 'turn', b'of a')
            await running.start('h2')
            await running.start('h3')
            running.stop('h1')
            async with running.owner('b', PLACEMENT) as second:
                slot = await second.own(3)
                await slot.read('p')
                running.stop('h2')
                with pytest.raises(QuorumError):
                    await slot.append('p', 1, 'turn', b'of b')
            running.stop('h3')
            await running.start('h1')
            await running.start('h2')
            async with running.owner('c', PLACEMENT) as third:
                slot = await third.own(3)
                seen = await slot.read('p')
                assert [one.payload for one in seen] == [b'x', b'of a']
            running.stop('h2')
            await running.start('h3')
            async with running.owner('d', PLACEMENT) as fourth:
                slot = await fourth.own(3)
                assert await slot.read('p') == seen

    run(scenario, tmp_path)


def test_history_stopped_amid_a_write_starts_again(tmp_path):
    """A restart waits until the stopped history has released its folder."""

    async def scenario(folder):
        async with fleet(folder, *THREE) as running:
            async with running.owner('a', PLACEMENT) as owner:
                slot = await owner.own(3)
                slow_down(running.histories['h3'].journal.disk)
                await slot.append('p', 0, 'turn', b'x')
                running.stop('h3')
                await running.start('h3')
                running.stop('h2')
                await append_with_retries(slot, 'p', 1, 'turn', b'y')

    run(scenario, tmp_path)


def slow_down(disk):
    """Make each write of a disk take half a second."""
    write = disk.write

    def write_slowly(blocks):
        time.sleep(0.5)
        return write(blocks)

    disk.write = write_slowly


def test_append_is_idempotent(tmp_path):
    """Appending the same record again succeeds; another is refused."""

    async def scenario(folder):
        async with fleet(folder, *THREE) as running:
            async with running.owner('a', PLACEMENT) as owner:
                slot = await owner.own(3)
                await slot.append('p', 0, 'turn', b'x')
                await slot.append('p', 0, 'turn', b'x')
                with pytest.raises(ConflictError):
                    await slot.append('p', 0, 'turn', b'y')
                with pytest.raises(ConflictError):
                    await slot.append('p', 2, 'turn', b'y')
                assert len(await slot.read('p')) == 1

    run(scenario, tmp_path)


def test_dropped_log_stays_dropped(tmp_path):
    """A replica that missed the drop does not restore the log."""

    async def scenario(folder):
        async with fleet(folder, *THREE) as running:
            async with running.owner('a', PLACEMENT) as first:
                slot = await first.own(3)
                await slot.append('p', 0, 'turn', b'x')
                running.stop('h3')
                await slot.drop('p')
                with pytest.raises(NotFoundError):
                    await slot.append('p', 1, 'turn', b'y')
            await running.start('h3')
            running.stop('h1')
            async with running.owner('b', PLACEMENT) as second:
                slot = await second.own(3)
                assert slot.log_ids == frozenset()
                assert await slot.read('p') == []
                with pytest.raises(NotFoundError):
                    await slot.append('p', 0, 'turn', b'again')

    run(scenario, tmp_path)


def test_drop_is_completed_by_the_next_owner(tmp_path):
    """The next owner drops a log whose owner failed after its last record."""

    async def scenario(folder):
        async with fleet(folder, *THREE) as running:
            async with running.owner('a', PLACEMENT) as first:
                slot = await first.own(3)
                await slot.append('p', 0, 'turn', b'x')
                await slot.append('p', 1, DROPPED_KIND, b'')
            async with running.owner('b', PLACEMENT) as second:
                slot = await second.own(3)
                assert await slot.read('p') == []
                with pytest.raises(NotFoundError):
                    await slot.append('p', 2, 'turn', b'y')

    run(scenario, tmp_path)


def test_dropped_logs_are_purged_by_the_next_owner(tmp_path):
    """Replicas purge a dropped log once all of them have dropped it."""

    async def scenario(folder):
        async with fleet(folder, *THREE) as running:
            async with running.owner('a', PLACEMENT) as first:
                slot = await first.own(3)
                await slot.append('p', 0, 'turn', b'x')
                running.stop('h3')
                await slot.drop('p')
            await running.start('h3')
            # h3 missed the drop, so the first seal completes it.
            async with running.owner('b', PLACEMENT) as second:
                await second.own(3)
                while any(slot.logs for slot in slots_of(running)):
                    await trio.sleep(0.01)
            async with running.owner('c', PLACEMENT) as third:
                await third.own(3)
                while any(slot.live_dropped() for slot in slots_of(running)):
                    await trio.sleep(0.01)

    run(scenario, tmp_path)


def slots_of(running):
    """Return the state of slot 3 at each history."""
    return [
        history.journal.state.slot(3) for history in running.histories.values()
    ]


def test_unfinished_drop_loses_nothing(tmp_path):
    """A drop that reached only one replica frees no records."""

    async def scenario(folder):
        async with fleet(folder, *THREE) as running:
            running.stop('h2')
            async with running.owner('a', PLACEMENT) as first:
                slot = await first.own(3)
                await slot.append('p', 0, 'turn', b'x')
                running.stop('h1')
                with pytest.raises(QuorumError):
                    await slot.drop('p')
            await running.start_all('h1', 'h2')
            running.stop('h3')
            async with running.owner('b', PLACEMENT) as second:
                slot = await second.own(3)
                await slot.append('p', 1, 'turn', b'y')
            running.stop('h1')
            await running.start('h3')
            async with running.owner('c', PLACEMENT) as third:
                slot = await third.own(3)
                payloads = [one.payload for one in await slot.read('p')]
                assert payloads == [b'x', b'y']

    run(scenario, tmp_path)


def test_snapshot_frees_older_records(tmp_path):
    """A snapshot record replaces the records before it."""

    async def scenario(folder):
        async with fleet(folder, *THREE) as running:
            async with running.owner('a', PLACEMENT) as first:
                slot = await first.own(3)
                await append_all(slot, 'p', b'x', b'x', b'x')
                await slot.snapshot('p', 3, 'whole', b'xxx')
                await slot.append('p', 4, 'turn', b'y')
            async with running.owner('b', PLACEMENT) as second:
                slot = await second.own(3)
                records = await slot.read('p')
                assert records[-2:] == [
                    LogRecord(3, 'whole', b'xxx', snapshot=True),
                    LogRecord(4, 'turn', b'y'),
                ]
                assert len(records) == 2

    run(scenario, tmp_path)


async def race(running, name, numbers):
    """Try to own a slot; record the number of its fence."""
    async with running.owner(name, PLACEMENT) as owner:
        with suppress(FencedError):
            numbers.append((await owner.own(3)).fence.number)


def test_racing_owners_share_no_fence(tmp_path):
    """Owners that seal a slot concurrently get different fences."""

    async def scenario(folder):
        async with fleet(folder, *THREE) as running:
            numbers = []

            async with trio.open_nursery() as nursery:
                nursery.start_soon(race, running, 'a', numbers)
                nursery.start_soon(race, running, 'b', numbers)
                nursery.start_soon(race, running, 'c', numbers)
            assert numbers
            assert len(set(numbers)) == len(numbers)

    run(scenario, tmp_path)


def test_old_placement_is_refused(tmp_path):
    """An owner with an old placement cannot seal a slot of a newer one."""

    async def scenario(folder):
        async with fleet(folder, *THREE) as running:
            newer = placement_of(*THREE, epoch=2)
            async with running.owner('a', newer) as first:
                await first.own(3)
            async with running.owner('b', PLACEMENT) as second:
                with pytest.raises(FencedError, match='newer epoch'):
                    await second.own(3)

    run(scenario, tmp_path)


def test_wiped_disk_is_not_counted(tmp_path):
    """A member that lost its disk no longer counts as the same replica."""

    async def scenario(folder):
        async with fleet(folder, *THREE) as running:
            named = placement_of(*running.replicas(*THREE))
            async with running.owner('a', named) as owner:
                slot = await owner.own(3)
                await slot.append('p', 0, 'turn', b'x')
            running.stop(*THREE)
            await trio.sleep(0.05)
            (folder / 'h1').rename(folder / 'gone-1')
            (folder / 'h2').rename(folder / 'gone-2')
            await running.start_all(*THREE)
            async with running.owner('b', named) as owner:
                with pytest.raises(QuorumError, match='was asked'):
                    await owner.own(3)

    run(scenario, tmp_path)
