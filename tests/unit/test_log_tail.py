"""Check what an owner may append next to a log."""

import pytest

from jasminewheel._internal.replication.record import LogRecord
from jasminewheel._internal.replication.recovery import RecoveredLog
from jasminewheel._internal.replication.tail import LogTail
from jasminewheel.errors import ConflictError

FIRST = LogRecord(0, 'turn', b'x')
SECOND = LogRecord(1, 'turn', b'y')
OTHER = LogRecord(1, 'turn', b'z')


@pytest.fixture
def tail():
    """Return the tail of a log with one record and an unsettled second."""
    known = LogTail(known=True)
    assert known.admits(FIRST)
    known.appended(FIRST)
    assert known.admits(SECOND)
    return known


def test_only_the_same_record_follows_an_unknown_outcome(tail):
    """Another record under the same fence would fork the log."""
    with pytest.raises(ConflictError):
        tail.admits(OTHER)
    assert tail.admits(SECOND)


def test_reading_does_not_settle_an_unseen_record(tail):
    """A majority without the record does not prove that none holds it."""
    tail.recovered(RecoveredLog([FIRST]))
    with pytest.raises(ConflictError):
        tail.admits(OTHER)


def test_reading_settles_a_seen_record(tail):
    """A recovery that found the record has completed it."""
    tail.recovered(RecoveredLog([FIRST, SECOND]))
    assert not tail.admits(SECOND)
    assert tail.admits(LogRecord(2, 'turn', b'z'))
