"""Check that the soak's ledger notices each broken promise."""

import pytest

from tests.platform_fleet import ReceivedAnswer
from tests.soak.interval_log import IntervalLog
from tests.soak.ledger import RETENTION_SECONDS, Ledger, Sent
from tests.soak.plan import plan

CALL = 'c1-1'
RUNNER = 'model-1'
SIGNED = f'{RUNNER}.{CALL}'


@pytest.fixture
def ledger() -> Ledger:
    """Return a ledger without faults."""
    return Ledger(IntervalLog(0))


def _sent(ledger: Ledger, route: str = 'book', **fields) -> Sent:
    sent = Sent(CALL, route, 'entry-1', 3, prompt=b'said', **fields)
    ledger.open(sent, 1)
    return sent


def _run(ledger: Ledger, now: float = 1.1, body: bytes = b'said') -> None:
    run = ledger.began(CALL, RUNNER, body, now)
    run.answer = b'done'
    ledger.finished(CALL, run, now + 0.1)


def _got(status: int, body: bytes = b'done') -> ReceivedAnswer:
    headers = {'request-id': CALL, 'response-signature': SIGNED}
    return ReceivedAnswer(status, headers, body, whole=True)


def _promises(ledger: Ledger) -> list[str]:
    return [one.promise for one in ledger.violations]


def test_served_call_breaks_nothing(ledger):
    """A call that ran once and was answered whole is right."""
    sent = _sent(ledger)
    _run(ledger)
    ledger.answered(sent, _got(200), 1.3)
    assert not ledger.violations


def test_second_run_is_noticed(ledger):
    """An unsafe call that runs twice breaks a promise; a safe one may."""
    _sent(ledger)
    _run(ledger)
    _run(ledger)
    assert _promises(ledger) == ['at most once']
    safe = Ledger(IntervalLog(0))
    _sent(safe, 'look')
    _run(safe)
    _run(safe)
    assert not safe.violations


@pytest.mark.parametrize('status', [402, 408, 421, 429, 503])
def test_run_of_a_refused_call_is_noticed(ledger, status):
    """Whether it runs before the refusal or after it."""
    sent = _sent(ledger)
    ledger.answered(sent, _got(status), 1.05)
    _run(ledger)
    assert _promises(ledger) == ['true refusals']
    ledger.answered(sent, _got(status), 1.3)
    assert _promises(ledger) == ['true refusals', 'true refusals']


def test_wrong_bytes_are_noticed(ledger):
    """Those that a runner gets, and those that a caller gets."""
    sent = _sent(ledger, 'turns')
    _run(ledger, body=b'of another program')
    assert _promises(ledger) == ['histories']
    ledger.answered(sent, _got(200, b'don'), 1.3)
    assert _promises(ledger) == ['histories', 'whole answers']


def test_answer_to_another_call_is_noticed(ledger):
    """An answer names the call that it answers."""
    sent = _sent(ledger)
    _run(ledger)
    got = _got(200)
    got.headers['request-id'] = 'c2-2'
    ledger.answered(sent, got, 1.3)
    assert _promises(ledger) == ['right owner']


def test_lost_turn_is_noticed(ledger):
    """A turn is kept as long as was told, and no longer."""
    sent = _sent(ledger, 'turns', previous_kept_at=0.5)
    ledger.answered(sent, _got(404), 0.4 + RETENTION_SECONDS)
    assert _promises(ledger) == ['kept turns']
    ledger.answered(sent, _got(404), 0.6 + RETENTION_SECONDS)
    assert _promises(ledger) == ['kept turns']


def test_overspent_budget_is_noticed(ledger):
    """What is handed out may pass the budget by one turn."""
    sent = _sent(ledger, 'turns', program_id='p', budget=10, most_tokens=4)
    ledger.received(sent, 7)
    assert not ledger.violations
    ledger.received(sent, 1)
    assert _promises(ledger) == ['budgets']


def test_work_after_its_caller_left_is_noticed(ledger):
    """Half a second is allowed, and more while the entry is in trouble."""
    sent = _sent(ledger)
    sent.cancelled_at = 1.2
    _run(ledger, 1.69)
    assert _promises(ledger) == ['cancelled work stops']
    troubled = Ledger(IntervalLog(0))
    troubled.faults.begin('paused', 'entry-1', 1)
    _sent(troubled).cancelled_at = 1.2
    _run(troubled, 1.69)
    assert not troubled.violations


def test_request_without_an_end_is_noticed(ledger):
    """Only the trouble of its own entry excuses it."""
    sent = _sent(ledger)
    ledger.faults.begin('paused', 'entry-2', 1)
    ledger.unanswered(sent, 5)
    assert _promises(ledger) == ['bounded ends']
    ledger.faults.begin('paused', 'entry-1', 4)
    ledger.unanswered(sent, 5)
    assert _promises(ledger) == ['bounded ends']


def test_seed_gives_the_same_faults_again():
    """A seed that failed can be played again."""
    assert plan(7, 30) == plan(7, 30)
    assert plan(7, 30) != plan(8, 30)


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
    """Unless its entry, or the store, was in trouble not long before."""
    ledger.left[RUNNER] = 10
    row = ledger.faults.begin('silent', subject, 6)
    row.ended = 7
    _sent(ledger)
    _run(ledger, 12.4)
    assert not ledger.violations
    late = Sent('c1-2', 'look', 'entry-1', 3, prompt=b'said')
    ledger.open(late, 12.5)
    ledger.began('c1-2', RUNNER, b'said', 12.6)
    assert _promises(ledger) == promises
