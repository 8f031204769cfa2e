"""Check the disk log of a history process and the order of its answers."""

import threading
from contextlib import contextmanager

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from jasminewheel._internal.history.disk import DiskLog
from jasminewheel._internal.history.entry import Entry
from jasminewheel._internal.history.fence_guard import FenceGuard
from jasminewheel._internal.history.journal import Compactor, Journal
from jasminewheel._internal.history.service import history_handlers
from jasminewheel._internal.history.state import DiskState
from jasminewheel._internal.replication.fence import Fence
from jasminewheel._internal.wire.gen.history import ttypes as wire
from jasminewheel.errors import DamagedError

QUOTA_BYTES = 1 << 24
SEGMENT_BYTES = 4096
PAYLOAD = bytes(500)
OLD = Fence(1, 1, 'a', '1')
NEW = Fence(1, 2, 'b', '1')


@contextmanager
def opened(folder):
    """Open a disk log and load it."""
    with DiskLog(folder, QUOTA_BYTES, SEGMENT_BYTES) as disk:
        journal = Journal(disk, DiskState(disk.read_head))
        journal.load()
        yield journal


def entry_of(what, fence=OLD, log='', index=0, payload=b''):
    """Return an entry of slot 0."""
    return Entry(what, 0, fence, log, index, payload=payload)


def record_of(log, index, fence=OLD, payload=PAYLOAD):
    """Return a record of slot 0."""
    return entry_of(wire.StoredKind.RECORD, fence, log, index, payload)


def commit(journal, *entries):
    """Make entries durable without a running journal."""
    blocks = [entry.to_bytes() for entry in entries]
    positions = journal.disk.write(blocks)
    for entry, position in zip(entries, positions, strict=True):
        journal.state.apply(entry, position)


def compact_all(journal):
    """Compact until no closed segment has mostly dead entries."""

    async def compact():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(journal.run)
            compactor = Compactor(journal, 1)
            while compactor.pick_segment() is not None:
                await compactor.compact_next()
            compactor.close_retired()
            nursery.cancel_scope.cancel()

    trio.run(compact)


def payloads(journal, log):
    """Return the payloads of a log."""
    state = journal.state.slot(0).logs[log]
    positions = [state.position(index) for index in state.indexes()]
    return [journal.disk.read(position).payload for position in positions]


def test_changed_payload_is_damaged(tmp_path):
    """Reading a record whose bytes changed raises DamagedError."""
    with opened(tmp_path) as journal:
        commit(journal, record_of('p', 0, payload=b'right'))
        position = journal.state.slot(0).logs['p'].position(0)
        path = journal.disk.active_segment.path
        path.write_bytes(path.read_bytes().replace(b'right', b'wrong'))
        with pytest.raises(DamagedError):
            journal.disk.read(position)


def test_compaction_keeps_what_lives(tmp_path):
    """Promises, records and drops survive the removal of their segments."""
    with opened(tmp_path) as journal:
        commit(journal, entry_of(wire.StoredKind.PROMISE, NEW))
        for index in range(30):
            log = 'gone' if index % 10 else 'kept'
            place = index if index % 10 else index // 10
            commit(journal, record_of(log, place))
        commit(journal, entry_of(wire.StoredKind.DROP, OLD, 'gone'))
        before = payloads(journal, 'kept')
        compact_all(journal)
        assert len(journal.disk.segments) < 4
    with opened(tmp_path) as journal:
        slot = journal.state.slot(0)
        assert slot.promised == NEW
        assert payloads(journal, 'kept') == before
        assert set(slot.logs) == {'kept'}
        assert slot.live_dropped() == ['gone']


def test_moved_copy_does_not_replace_a_newer_record(tmp_path):
    """A copy of an old record at a later position does not become live."""
    with opened(tmp_path) as journal:
        commit(journal, record_of('p', 0, OLD, b'old'))
        commit(journal, record_of('p', 0, NEW, b'new'))
        commit(journal, record_of('p', 0, OLD, b'old'))
        assert payloads(journal, 'p') == [b'new']
    with opened(tmp_path) as journal:
        assert payloads(journal, 'p') == [b'new']


def test_purged_log_stays_away(tmp_path):
    """A purge is removed only after all entries of its log.

    Otherwise a restart would restore the log from its dead entries.
    """
    with opened(tmp_path) as journal:
        for index in range(20):
            commit(journal, record_of('p', index))
        commit(journal, entry_of(wire.StoredKind.DROP, OLD, 'p'))
        commit(journal, entry_of(wire.StoredKind.PURGE, OLD, 'p'))
    with opened(tmp_path) as journal:
        assert not journal.state.slot(0).logs
        compact_all(journal)
    with opened(tmp_path) as journal:
        slot = journal.state.slot(0)
        assert not slot.logs
        assert not slot.live_dropped()


def test_drop_outlives_dead_copies_in_a_live_segment(tmp_path):
    """A purged log is not restored from dead copies in a live segment."""
    with opened(tmp_path) as journal:
        commit(journal, record_of('p', 0, OLD))
        for index in range(6):
            commit(journal, record_of('kept', index))
        for index in range(20):
            commit(journal, record_of('p', index, NEW))
        commit(journal, entry_of(wire.StoredKind.DROP, NEW, 'p'))
        commit(journal, entry_of(wire.StoredKind.PURGE, NEW, 'p'))
        for index in range(8):
            commit(journal, record_of('other', index))
        compact_all(journal)
        assert min(journal.disk.segments) == 1
        assert len(journal.disk.segments) < 5
    with opened(tmp_path) as journal:
        assert set(journal.state.slot(0).logs) == {'kept', 'other'}


def test_read_waits_for_what_was_accepted_before(tmp_path):
    """A new owner reads a record that was accepted before its promise.

    With a slow disk the old owner's append and the new owner's seal are still
    queued when the new owner reads.
    """
    gate_open = threading.Event()

    async def scenario(journal):
        write = journal.disk.write

        def slow_write(blocks):
            gate_open.wait()
            return write(blocks)

        journal.disk.write = slow_write
        handlers = history_handlers(FenceGuard(journal, 'h1'), 'zone')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(journal.run)
            record = wire.WireRecord(0, 'turn', b'x', snapshot=False)
            append = wire.AppendRecords(scope_of(OLD), 'p', [record])
            ask = ask_in(nursery, handlers)
            appended = await ask(append)
            await ask(wire.SealSlot(scope_of(NEW)))
            read = await ask(wire.ReadIndex(scope_of(NEW), 'p'))
            gate_open.set()
            with trio.fail_after(10):
                assert (await appended.receive()).accepted
                assert len((await read.receive()).entries) == 1
            nursery.cancel_scope.cancel()

    with opened(tmp_path) as journal:
        trio.run(scenario, journal)


def scope_of(fence):
    """Return the scope of a request for slot 0."""
    return wire.Scope('h1', 0, fence.to_wire(), 0)


def ask_in(nursery, handlers):
    """Return a function that starts a request and returns its channel."""

    async def answer(request, send):
        await send.send(await handlers[type(request)](None, request))

    async def ask(request):
        send, receive = trio.open_memory_channel(1)
        nursery.start_soon(answer, request, send)
        await wait_all_tasks_blocked()
        return receive

    return ask
