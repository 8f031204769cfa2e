"""Check that the soak's ledger detects each broken guarantee."""

import pytest

from tests.platform_fleet import ReceivedAnswer
from tests.soak.fault_log import FaultLog
from tests.soak.ledger import RETENTION_SECONDS, Attempt, Ledger
from tests.soak.plan import plan_faults

CALL = 'c1-1'
RUNNER = 'model-1'
SIGNED = f'{RUNNER}.{CALL}'


@pytest.fixture
def ledger() -> Ledger:
    """Return a ledger without recorded faults."""
    return Ledger(FaultLog(0))


def _record_attempt(ledger: Ledger, route: str = 'book', **fields) -> Attempt:
    attempt = Attempt(CALL, route, 'entry-1', 3, prompt=b'said', **fields)
    ledger.record_attempt(attempt, 1)
    return attempt


def _record_run(
    ledger: Ledger, now: float = 1.1, body: bytes = b'said'
) -> None:
    run = ledger.record_start(CALL, RUNNER, body, now)
    run.answer = b'done'
    ledger.record_end(CALL, run, now + 0.1)


def _answer(status: int, body: bytes = b'done') -> ReceivedAnswer:
    headers = {'request-id': CALL, 'response-signature': SIGNED}
    return ReceivedAnswer(status, headers, body, whole=True)


def _broken_promises(ledger: Ledger) -> list[str]:
    return [one.promise for one in ledger.violations]


def test_served_call_breaks_nothing(ledger):
    """A call that ran once and was answered completely is no violation."""
    attempt = _record_attempt(ledger)
    _record_run(ledger)
    ledger.record_answer(attempt, _answer(200), 1.3)
    assert not ledger.violations


def test_second_run_is_noticed(ledger):
    """An unsafe call must run at most once; a safe call may run twice."""
    _record_attempt(ledger)
    _record_run(ledger)
    _record_run(ledger)
    assert _broken_promises(ledger) == ['at most once']
    safe = Ledger(FaultLog(0))
    _record_attempt(safe, 'look')
    _record_run(safe)
    _record_run(safe)
    assert not safe.violations


@pytest.mark.parametrize('status', [402, 408, 421, 429, 503])
def test_run_of_a_refused_call_is_noticed(ledger, status):
    """A refused call must run neither before its refusal nor after it."""
    attempt = _record_attempt(ledger)
    ledger.record_answer(attempt, _answer(status), 1.05)
    _record_run(ledger)
    assert _broken_promises(ledger) == ['true refusals']
    ledger.record_answer(attempt, _answer(status), 1.3)
    assert _broken_promises(ledger) == ['true refusals', 'true refusals']


def test_wrong_bytes_are_noticed(ledger):
    """Check the prompt that a runner receives and the answer to a caller."""
    attempt = _record_attempt(ledger, 'turns')
    _record_run(ledger, body=b'of another program')
    assert _broken_promises(ledger) == ['histories']
    ledger.record_answer(attempt, _answer(200, b'don'), 1.3)
    assert _broken_promises(ledger) == ['histories', 'whole answers']


def test_answer_to_another_call_is_noticed(ledger):
    """An answer must carry the identifier of its request."""
    attempt = _record_attempt(ledger)
    _record_run(ledger)
    answer = _answer(200)
    answer.headers['request-id'] = 'c2-2'
    ledger.record_answer(attempt, answer, 1.3)
    assert _broken_promises(ledger) == ['right owner']


def test_lost_turn_is_noticed(ledger):
    """A turn may be missing only after its retention period."""
    attempt = _record_attempt(ledger, 'turns', previous_stored_at=0.5)
    ledger.record_answer(attempt, _answer(404), 0.4 + RETENTION_SECONDS)
    assert _broken_promises(ledger) == ['kept turns']
    ledger.record_answer(attempt, _answer(404), 0.6 + RETENTION_SECONDS)
    assert _broken_promises(ledger) == ['kept turns']


def test_overspent_budget_is_noticed(ledger):
    """Delivered tokens may exceed the budget by at most one turn."""
    attempt = _record_attempt(
        ledger, 'turns', program_id='p', budget=10, max_tokens=4
    )
    ledger.record_events(attempt, 7)
    assert not ledger.violations
    ledger.record_events(attempt, 1)
    assert _broken_promises(ledger) == ['budgets']


def test_work_after_its_caller_left_is_noticed(ledger):
    """Cancelled work has 0.5 s to stop, and more during faults of its entry."""
    attempt = _record_attempt(ledger)
    attempt.cancelled_at = 1.2
    _record_run(ledger, 1.69)
    assert _broken_promises(ledger) == ['cancelled work stops']
    troubled = Ledger(FaultLog(0))
    troubled.faults.begin('paused', 'entry-1', 1)
    _record_attempt(troubled).cancelled_at = 1.2
    _record_run(troubled, 1.69)
    assert not troubled.violations


def test_request_without_an_end_is_noticed(ledger):
    """Only a fault of the request's own entry excuses a missing answer."""
    attempt = _record_attempt(ledger)
    ledger.faults.begin('paused', 'entry-2', 1)
    ledger.record_timeout(attempt, 5)
    assert _broken_promises(ledger) == ['bounded ends']
    ledger.faults.begin('paused', 'entry-1', 4)
    ledger.record_timeout(attempt, 5)
    assert _broken_promises(ledger) == ['bounded ends']


def test_seed_gives_the_same_faults_again():
    """A seed determines its faults, so that a failed one can be repeated."""
    assert plan_faults(7, 30) == plan_faults(7, 30)
    assert plan_faults(7, 30) != plan_faults(8, 30)


@pytest.mark.parametrize(
    ('subject', 'promises'),
    [
        ('', ['leaving runners']),
        ('entry-2>store', ['leaving runners']),
        ('entry-1>store', []),
        ('store', []),
    ],
)
def test_call_at_a_runner_that_left_is_noticed(ledger, subject, promises):
    """A recent fault of the store or of the entry's link to it excuses it."""
    ledger.leaving_since[RUNNER] = 10
    interval = ledger.faults.begin('silent', subject, 6)
    interval.ended_at = 7
    _record_attempt(ledger)
    _record_run(ledger, 12.4)
    assert not ledger.violations
    late = Attempt('c1-2', 'look', 'entry-1', 3, prompt=b'said')
    ledger.record_attempt(late, 12.5)
    ledger.record_start('c1-2', RUNNER, b'said', 12.6)
    assert _broken_promises(ledger) == promises
