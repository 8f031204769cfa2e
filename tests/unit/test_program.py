"""Check the rules of a program and its replay from records."""

import json

import pytest

from jasminewheel._internal.program.call import finish_record
from jasminewheel._internal.program.program import Program
from jasminewheel._internal.program.records import (
    decode_record,
    encode_record,
    kind_of,
)
from jasminewheel._internal.wire.gen.program.ttypes import (
    CallStarted,
    ProgramEnded,
    ProgramOpened,
)
from jasminewheel.errors import (
    ConflictError,
    DeadlineError,
    HistoryError,
    NotFoundError,
    OverloadedError,
)
from jasminewheel.models.call import CallOutcome, CallRequest, Message
from jasminewheel.models.verdict import Verdict

CONTENT = json.dumps(
    {'messages': [{'role': 'user', 'content': 'the kettle hums'}]}
).encode()
OPENED = ProgramOpened(
    caller='cafe',
    request_id='open-1',
    digest='d',
    opened_at=1,
    deadline_at=100,
    parent='',
    labels=b'{}',
)


def make_request(request_id='call-1', digest='a', **fields):
    """Return a request for a model."""
    return CallRequest(
        request_id, digest, 'helper-models', content=CONTENT, **fields
    )


def make_start(request, *, repeatable=True, operation='', attempt=0):
    """Return the start record of a request."""
    return CallStarted(
        request_id=request.request_id,
        digest=request.digest,
        target=request.target,
        operation=operation,
        content=request.content,
        repeatable=repeatable,
        attempt=attempt,
        runner='helper-models-1',
        generation=0,
        text='',
        started_at=2,
        deadline_at=0,
        reserved_tokens=0,
    )


def make_finish(request, text='replace the fuse'):
    """Return the finish record of a request that ran."""
    outcome = CallOutcome(Verdict.ran, 200, b'{}', text=text)
    return finish_record(request.request_id, outcome, 3)


class Stored:
    """Represent a record as a log returns it."""

    def __init__(self, record, index):
        """Encode the record."""
        self.index = index
        self.kind = kind_of(record)
        self.payload = encode_record(record)


def test_replay_rebuilds_the_conversation():
    """A program replayed from its log has the same conversation."""
    request = make_request()
    records = [OPENED, make_start(request), make_finish(request)]
    stored = [Stored(each, index) for index, each in enumerate(records)]
    program = Program.replay('p', map(decode_record, stored))
    assert program.length == 3
    assert program.messages == [
        Message('user', 'the kettle hums'),
        Message('assistant', 'replace the fuse'),
    ]
    assert program.recorded_call(request).outcome.text == 'replace the fuse'


def test_an_unknown_record_is_refused():
    """A record of an unknown kind, as of a newer version, is refused."""
    stored = Stored(OPENED, 0)
    stored.kind = 'later'
    with pytest.raises(HistoryError, match='unknown kind'):
        decode_record(stored)


def test_same_identifier_with_another_body_is_a_conflict():
    """A reused identifier never gets another request's answer."""
    request = make_request()
    program = Program.replay('p', [OPENED, make_start(request)])
    with pytest.raises(ConflictError):
        program.recorded_call(make_request(digest='other'))
    assert program.recorded_call(request) is program.unfinished


@pytest.mark.parametrize(
    'records',
    [
        [make_start(make_request())],
        [OPENED, OPENED],
        [OPENED, make_finish(make_request())],
        [OPENED, make_start(make_request()), make_start(make_request('x'))],
        [OPENED, ProgramEnded(reason='done', ended_at=2), OPENED],
    ],
)
def test_records_out_of_order_are_refused(records):
    """A log that mixes programs or calls is never served."""
    with pytest.raises(HistoryError):
        Program.replay('p', records)


def test_finished_call_is_not_started_again():
    """A second start after the outcome is an error."""
    request = make_request()
    program = Program.replay(
        'p', [OPENED, make_start(request), make_finish(request)]
    )
    with pytest.raises(HistoryError):
        program.apply(make_start(request, attempt=1))


def test_turns_are_limited():
    """A call over the limit is refused with the verdict "not run"."""
    request = make_request()
    program = Program.replay(
        'p', [OPENED, make_start(request), make_finish(request)]
    )
    with pytest.raises(OverloadedError) as caught:
        program.check_may_call(make_request('call-2'), 1, 5)
    assert caught.value.verdict is Verdict.not_run
    program.check_may_call(make_request('call-2'), 2, 5)


def test_deadline_is_the_earlier_one():
    """The deadline of the request or of the program refuses the call."""
    program = Program.replay('p', [OPENED])
    with pytest.raises(DeadlineError):
        program.check_may_call(make_request(), 0, 100)
    with pytest.raises(DeadlineError):
        program.check_may_call(make_request(deadline_at=50), 0, 60)
    program.check_may_call(make_request(deadline_at=50), 0, 40)


def test_ended_program_takes_no_call():
    """An ended program accepts no calls."""
    ended = ProgramEnded(reason='done', ended_at=2)
    program = Program.replay('p', [OPENED, ended])
    with pytest.raises(ConflictError, match='done'):
        program.check_may_call(make_request(), 0, 5)


def test_other_callers_see_nothing():
    """A program of another caller looks like an unknown one."""
    program = Program.replay('p', [OPENED])
    with pytest.raises(NotFoundError):
        program.require_caller('yard')
    with pytest.raises(NotFoundError):
        Program('q').require_caller('cafe')
    assert program.require_caller('cafe') is OPENED


def test_verdict_follows_the_records():
    """A verdict states no more than the log shows."""
    request = make_request()
    program = Program.replay('p', [OPENED])
    assert program.verdict_of('call-1') is Verdict.not_run
    program.apply(make_start(request, repeatable=False, operation='text'))
    assert program.verdict_of('call-1') is Verdict.may_have_run
    lost = program.lost_outcome()
    assert lost.verdict is Verdict.may_have_run
    program.apply(finish_record('call-1', lost, 4))
    assert program.verdict_of('call-1') is Verdict.may_have_run
    assert not program.messages


def test_repeatable_call_is_not_lost():
    """A repeatable call has no lost outcome, since it is resumed."""
    program = Program.replay('p', [OPENED, make_start(make_request())])
    assert program.lost_outcome() is None


def test_children_are_numbered_once():
    """A retry of an opening returns the same child."""
    program = Program.replay('p', [OPENED])
    child = program.open_child('child-1', 'a', 2)
    program.apply(child)
    assert program.open_child('child-1', 'a', 3) is child
    assert program.child_id(program.open_child('child-2', 'b', 3)) == 'p.2'
    assert program.view().children == ('p.1',)
    with pytest.raises(ConflictError):
        program.open_child('child-1', 'b', 3)
