"""Check the log of a disk after compaction, faults and restarts."""

import os
from pathlib import Path

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from jasminewheel._internal.conversation.cleaner import LogCleaner
from jasminewheel._internal.conversation.journal import Journal
from jasminewheel._internal.conversation.log_file import LogFile, log_files
from jasminewheel._internal.conversation.records import (
    StoredReservation,
    StoredRevision,
    StoredTurn,
)
from jasminewheel._internal.conversation.segments import LogBlock
from jasminewheel._internal.conversation.state import ConversationState
from jasminewheel.errors import DiskFullError
from tests.turn_replicas import reservation, turn

SEGMENTS = 'jasminewheel._internal.conversation.segments'
SMALL_SEGMENT = 400


def _loaded(folder: Path) -> Journal:
    journal = Journal(folder, ConversationState())
    journal.load(0)
    return journal


def _run(journal: Journal, scenario) -> None:
    async def bounded() -> None:
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(journal.run)
                await scenario()
                nursery.cancel_scope.cancel()

    trio.run(bounded)


def _store(journal: Journal, *records) -> None:
    async def store() -> None:
        left = list(records)
        while left:
            await journal.store(left.pop(0))

    _run(journal, store)


def _clean(journal: Journal) -> None:
    _run(journal, LogCleaner(journal).clean_all)


@pytest.fixture(autouse=True)
def small_segments(monkeypatch):
    """Use segments that a few records fill."""
    monkeypatch.setattr(f'{SEGMENTS}.SEGMENT_BYTES', SMALL_SEGMENT)


def test_space_of_forgotten_turns_is_given_back(tmp_path):
    """Compaction frees space and keeps all live turns."""
    journal = _loaded(tmp_path)
    names = [f't{number}' for number in range(60)]
    _store(journal, *(StoredTurn(turn(name)) for name in names))
    before = journal.log.stored_bytes
    kept = set(names[::10])
    for name in set(names) - kept:
        journal.state.turns.pop(name)
    _clean(journal)
    assert journal.log.stored_bytes < before / 2
    assert set(_loaded(tmp_path).state.turns) == kept


def test_replica_set_s_revision_outlives_its_file(tmp_path):
    """The newest set revision survives compaction of its segment."""
    journal = _loaded(tmp_path)
    _store(journal, StoredRevision(7))
    names = [f't{number}' for number in range(30)]
    _store(journal, *(StoredTurn(turn(name)) for name in names))
    journal.state.turns.clear()
    _clean(journal)
    assert len(log_files(tmp_path)) == 1
    assert _loaded(tmp_path).state.durable_revision == 7


def test_failed_write_is_refused_and_later_ones_are_kept(tmp_path, monkeypatch):
    """Records acknowledged before and after a failed write are kept."""
    journal = _loaded(tmp_path)
    _store(journal, StoredTurn(turn('t1')))
    with monkeypatch.context() as patch:
        patch.setattr(os, 'fdatasync', _fail)
        with pytest.raises(ExceptionGroup) as refused:
            _store(journal, StoredTurn(turn('t2')))
        assert refused.group_contains(DiskFullError)
    assert 't2' not in journal.state.turns
    _store(journal, StoredTurn(turn('t3')))
    assert {'t1', 't3'} <= set(_loaded(tmp_path).state.turns)


def test_bytes_of_failed_writes_are_given_back(tmp_path, monkeypatch):
    """A segment left by a failed write is counted and later removed."""
    journal = _loaded(tmp_path)
    with monkeypatch.context() as patch:
        patch.setattr(os, 'fdatasync', _fail)
        with pytest.raises(ExceptionGroup):
            _store(journal, StoredTurn(turn('t1')))
    stored = sum(path.stat().st_size for path in log_files(tmp_path))
    assert stored
    assert journal.log.stored_bytes == stored
    _store(journal, StoredTurn(turn('t2')))
    _clean(journal)
    assert len(log_files(tmp_path)) == 1


def test_removal_that_failed_once_is_done_again(tmp_path, monkeypatch):
    """After a failed removal the next compaction removes all old files."""
    journal = _loaded(tmp_path)
    names = [f't{number}' for number in range(30)]
    _store(journal, *(StoredTurn(turn(name)) for name in names))
    journal.state.turns.clear()
    with monkeypatch.context() as patch:
        patch.setattr(f'{SEGMENTS}.sync_folder', _fail)
        with pytest.raises(ExceptionGroup):
            _clean(journal)
    _clean(journal)
    assert len(log_files(tmp_path)) == 1


def test_files_change_only_beside_no_thread(tmp_path):
    """A write, which runs in a thread, does not change shared state."""
    journal = _loaded(tmp_path)
    _store(journal, *(StoredTurn(turn(f't{number}')) for number in range(5)))
    before = dict(journal.log.closed), journal.log.head
    journal.log.prepare()
    prepared = dict(journal.log.closed), journal.log.head
    journal.log.write(LogBlock.of([StoredTurn(turn('t9'))]))
    assert (dict(journal.log.closed), journal.log.head) == prepared
    assert before[0].keys() <= prepared[0].keys()


def _fail(_descriptor: int) -> None:
    raise OSError('injected disk fault')


def test_torn_end_hides_no_later_record(tmp_path):
    """After a power loss, writes go to a new file behind the torn one."""
    journal = _loaded(tmp_path)
    _store(journal, StoredTurn(turn('t1')))
    path = log_files(tmp_path)[-1]
    with path.open('ab') as stored:
        stored.write(b'torn')
    again = _loaded(tmp_path)
    _store(again, StoredTurn(turn('t2')))
    assert set(_loaded(tmp_path).state.turns) == {'t1', 't2'}


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ('turn', 'reserve', 'settle', 'forget', 'clean', 'load')
        ),
        st.integers(0, 9),
    ),
    max_size=40,
)


@settings(max_examples=40, deadline=None)
@given(steps=STEPS)
def test_log_holds_what_the_state_holds(tmp_path_factory, steps):
    """After any steps a restart finds all acknowledged records."""
    folder = tmp_path_factory.mktemp('log')
    journal = _loaded(folder)
    for step, number in steps:
        journal = _apply_step(journal, step, number)
    found = _loaded(folder).state
    assert set(found.turns) >= set(journal.state.turns)
    held = {one.turn_id: one for one in journal.state.reservations()}
    read = {one.turn_id: one for one in found.reservations()}
    assert {name: read[name].settled for name in held} == {
        name: one.settled for name, one in held.items()
    }


def _apply_step(journal: Journal, step: str, number: int) -> Journal:
    name = f't{number}'
    reserved = reservation(name, number)
    written = {
        'turn': StoredTurn(turn(name)),
        'reserve': StoredReservation(reserved.to_wire()),
        'settle': StoredReservation(reserved.as_settled(1).to_wire()),
    }
    record = written.get(step)
    if record:
        _store(journal, record)
    elif step == 'forget':
        journal.state.turns.pop(name, None)
    elif step == 'clean':
        _clean(journal)
    return _loaded(journal.folder) if step == 'load' else journal


def test_writes_beside_cleaning_wait_for_one_slice_only(tmp_path, monkeypatch):
    """Compaction moves records in small groups, so commits wait briefly."""
    groups: list[int] = []
    append = LogFile.append

    def counted(log_file: LogFile, block: bytes) -> None:
        groups.append(len(block))
        append(log_file, block)

    journal = _loaded(tmp_path)
    names = [f't{number}' for number in range(200)]
    records = [StoredTurn(turn(name)) for name in names]

    async def fill() -> None:
        await journal.store(*records)

    _run(journal, fill)
    head = journal.log.head
    entry_bytes = head.logged[-1].stored_bytes
    for name in names[:120]:
        journal.state.turns.pop(name)
    _store(journal, StoredTurn(turn('head')))
    monkeypatch.setattr(LogFile, 'append', counted)
    _clean(journal)
    assert sum(groups) >= 80 * entry_bytes
    assert max(groups) <= 33 * entry_bytes
