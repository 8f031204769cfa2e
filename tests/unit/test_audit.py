"""Check that the audit finds each kind of violation."""

import pytest

from jasminewheel._internal.history.entry import Entry
from jasminewheel._internal.replication.audit import (
    StoredEntry,
    audit_records,
    read_folder,
)
from jasminewheel._internal.replication.fence import Fence
from jasminewheel._internal.wire.gen.history.ttypes import StoredKind
from jasminewheel.errors import DamagedError

LOW = Fence(1, 1, 'a', '1')
HIGH = Fence(1, 2, 'b', '1')
TWIN = Fence(1, 2, 'c', '1')


def record(disk, fence, index, payload=b'x', kind='turn'):
    """Return a record that a disk stored."""
    entry = Entry(
        StoredKind.RECORD, 0, fence, 'p', index, kind, payload=payload
    )
    return StoredEntry(disk, entry)


def started_call(entry):
    """Return the call that a record starts."""
    return entry.payload.decode() if entry.kind == 'started' else None


def test_folder_without_a_log_is_an_error(tmp_path):
    """A folder without entries fails instead of passing the audit."""
    with pytest.raises(DamagedError, match='holds no disk log'):
        list(read_folder(tmp_path))


def test_sound_records_pass():
    """A takeover that rewrites the last record violates no rule."""
    stored = [
        record('h1', LOW, 0),
        record('h2', LOW, 0),
        record('h1', LOW, 1, b'lonely'),
        record('h2', HIGH, 1, b'chosen'),
        record('h3', HIGH, 1, b'chosen'),
    ]
    report = audit_records(stored, 2, started_call)
    assert not report.problems
    assert report.owners == 2


@pytest.mark.parametrize(
    ('stored', 'problem'),
    [
        (
            [record('h1', HIGH, 0), record('h2', TWIN, 0)],
            'share a term',
        ),
        (
            [record('h1', LOW, 0, b'x'), record('h2', LOW, 0, b'y')],
            'two records under one fence',
        ),
        (
            [
                record('h1', LOW, 0, b'x'),
                record('h2', LOW, 0, b'x'),
                record('h3', HIGH, 0, b'y'),
            ],
            'replaced later',
        ),
        ([record('h1', LOW, 0), record('h1', LOW, 2)], 'are lost'),
        (
            [
                record('h1', LOW, 0, b'call', 'started'),
                record('h1', LOW, 1, b'call', 'started'),
            ],
            'started 2 times',
        ),
    ],
)
def test_violations_are_found(stored, problem):
    """Each kind of violation is reported once."""
    report = audit_records(stored, 2, started_call)
    assert len(report.problems) == 1
    assert problem in report.problems[0]
