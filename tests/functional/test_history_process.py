"""Check history processes with kills, pauses, torn and full disks."""

import signal
from contextlib import suppress
from functools import partial

import pytest
import trio

from jasminewheel.errors import DiskFullError, FencedError, QuorumError
from tests.disks import NAMES, disks

PAYLOAD_BYTES = 200


def run(scenario, *arguments):
    """Run a scenario with a deadline."""

    async def bounded():
        with trio.fail_after(40):
            await scenario(*arguments)

    trio.run(bounded)


async def append_from(slot, first, count):
    """Append numbered records; retry each until a majority has stored it."""
    index = first
    while index < first + count:
        try:
            await slot.append('p', index, 'started', b'call-%d' % index)
        except (QuorumError, DiskFullError):
            await trio.sleep(0.02)
        else:
            index += 1


async def read_numbers(running, member):
    """Return the numbers of the records that a new owner reads."""
    async with running.owner(member) as owner:
        slot = await owner.own(0)
        records = await slot.read('p')
        return [int(one.payload.partition(b'-')[2]) for one in records]


def test_all_killed_at_once(tmp_path):
    """Acknowledged records survive a kill of all histories."""

    async def scenario(running):
        async with running.owner('a') as owner, trio.open_nursery() as nursery:
            slot = await owner.own(0)
            await append_from(slot, 0, 30)
            nursery.start_soon(append_from, slot, 30, 30)
            while slot.tails['p'].next_index < 40:
                await trio.sleep(0.001)
            running.kill(*NAMES)
            known = slot.tails['p'].next_index
            running.start(*NAMES)
            while slot.tails['p'].next_index < 60:
                await trio.sleep(0.01)
        assert known >= 40
        assert await read_numbers(running, 'b') == list(range(60))

    with disks(tmp_path) as running:
        run(scenario, running)
        report = running.audit()
    assert not report.problems
    assert report.records >= 120


def test_paused_history_catches_up(tmp_path):
    """A history that was paused during a takeover serves again afterwards."""

    async def scenario(running):
        async with running.owner('a') as owner:
            slot = await owner.own(0)
            await append_from(slot, 0, 10)
            running.signal('h1', signal.SIGSTOP)
            await append_from(slot, 10, 10)
        async with running.owner('b') as owner:
            slot = await owner.own(0)
            await append_from(slot, 20, 10)
            running.signal('h1', signal.SIGCONT)
            await append_from(slot, 30, 10)
        running.kill('h2')
        assert await read_numbers(running, 'c') == list(range(40))

    with disks(tmp_path) as running:
        run(scenario, running)
        assert not running.audit().problems


def test_paused_owner_cannot_append(tmp_path):
    """An owner that was paused during a takeover cannot append."""

    async def scenario(running, paused):
        in_thread = partial(trio.to_thread.run_sync, abandon_on_cancel=True)
        read_line = partial(in_thread, paused.stdout.readline)
        while int(await read_line()) < 20:
            assert paused.poll() is None
        paused.send_signal(signal.SIGSTOP)
        async with running.owner('new') as owner:
            slot = await owner.own(0)
            records = await slot.read('p')
            await slot.append('p', len(records), 'started', b'new-0')
            paused.send_signal(signal.SIGCONT)
            acknowledged = await in_thread(paused.stdout.read)
            *numbers, last = acknowledged.split()
            assert last == 'fenced'
            assert all(int(number) < len(records) for number in numbers)
            assert len(await slot.read('p')) == len(records) + 1

    with disks(tmp_path) as running, running.owner_process() as paused:
        run(scenario, running, paused)
        report = running.audit()
    assert not report.problems
    assert report.owners == 2


@pytest.mark.parametrize('torn', [b'\x10', b'\x10\x00\x00\x00' * 9, bytes(99)])
def test_torn_end_is_cut(tmp_path, torn):
    """Bytes of an unfinished write are truncated; earlier records stay."""

    async def scenario(running):
        async with running.owner('a') as owner:
            slot = await owner.own(0)
            await append_from(slot, 0, 10)
        running.kill(*NAMES)
        for name in NAMES:
            tear(running.folder / name, torn)
        running.start(*NAMES)
        assert await read_numbers(running, 'b') == list(range(10))
        async with running.owner('c') as owner:
            slot = await owner.own(0)
            await append_from(slot, 10, 5)
        running.kill(*NAMES)
        running.start(*NAMES)
        assert await read_numbers(running, 'd') == list(range(15))

    with disks(tmp_path) as running:
        run(scenario, running)
        assert not running.audit().problems


def tear(folder, torn):
    """Add bytes to the last segment."""
    last = max(folder.glob('segment-*.log'))
    with last.open('ab') as stream:
        stream.write(torn)


def test_damaged_record_is_read_elsewhere(tmp_path):
    """A record that changed on disk is read from another replica."""

    async def scenario(running):
        async with running.owner('a') as owner:
            slot = await owner.own(0)
            await append_from(slot, 0, 10)
        flip(running.folder / 'h1', b'call-3')
        assert await read_numbers(running, 'b') == list(range(10))

    with disks(tmp_path) as running:
        run(scenario, running)


def flip(folder, text):
    """Overwrite the first occurrence of the text in a segment."""
    path = min(folder.glob('segment-*.log'))
    position = path.read_bytes().index(text)
    with path.open('r+b') as stream:
        stream.seek(position)
        stream.write(b'call-9')


def test_full_disk_loses_nothing(tmp_path):
    """Full disks lose no records and accept more with a larger quota."""

    async def scenario(running):
        count = 0
        async with running.owner('a') as owner:
            slot = await owner.own(0)
            with suppress(DiskFullError, QuorumError):
                while True:
                    await slot.append('p', count, 'turn', bytes(50_000))
                    count += 1
        assert count > 5
        running.kill(*NAMES)
        running.settings['quota_bytes'] = 1 << 30
        running.start(*NAMES)
        async with running.owner('b') as owner:
            slot = await owner.own(0)
            records = await slot.read('p')
            assert len(records) in {count, count + 1}
            await slot.append('p', len(records), 'turn', b'more')

    with disks(tmp_path, quota_bytes=2 << 20) as running:
        run(scenario, running)
        assert not running.audit().problems


def test_folder_in_use_is_refused(tmp_path):
    """Two processes never share a data folder."""
    with disks(tmp_path) as running:
        running.ports['h1'] = 0
        popen, _ = running.launch('h1')
        assert popen.wait(30) == 1


def test_owner_is_refused_without_its_slot(tmp_path):
    """After each takeover only the newest owner can append."""

    async def scenario(running):
        async with running.owner('a') as one, running.owner('b') as other:
            first = await one.own(0)
            await append_from(first, 0, 3)
            second = await other.own(0)
            await append_from(second, 3, 3)
            with pytest.raises(FencedError):
                await append_from(first, 3, 1)
            third = await one.own(0)
            await append_from(third, 6, 3)
            assert first.fence < second.fence < third.fence

    with disks(tmp_path) as running:
        run(scenario, running)
        report = running.audit()
    assert not report.problems
    assert report.owners == 3
