"""Check which record an owner may append next to a log."""

import pytest

from jasminewheel._internal.replication.record import LogRecord
from jasminewheel._internal.replication.recovery import RecoveredLog
from jasminewheel._internal.replication.log_tail import LogTail
from jasminewheel.errors import ConflictError

FIRST = LogRecord(0, 'turn', b'x')
SECOND = LogRecord(1, 'turn', b'y')
OTHER = LogRecord(1, 'turn', b'z')


@pytest.fixture
def tail():
    """Return the tail of a log whose second record has an unknown outcome."""
    log_tail = LogTail(is_recovered=True)
    assert log_tail.begin_append(FIRST)
    log_tail.complete_append(FIRST)
    assert log_tail.begin_append(SECOND)
    return log_tail


def test_only_the_same_record_follows_an_unknown_outcome(tail):
    """Another record under the same fence would fork the log."""
    with pytest.raises(ConflictError):
        tail.begin_append(OTHER)
    assert tail.begin_append(SECOND)


def test_reading_does_not_settle_an_unseen_record(tail):
    """A majority without the record does not prove that no replica has it."""
    tail.apply_recovery(RecoveredLog([FIRST]))
    with pytest.raises(ConflictError):
        tail.begin_append(OTHER)


def test_reading_settles_a_seen_record(tail):
    """A recovery that found the record has completed it."""
    tail.apply_recovery(RecoveredLog([FIRST, SECOND]))
    assert not tail.begin_append(SECOND)
    assert tail.begin_append(LogRecord(2, 'turn', b'z'))
