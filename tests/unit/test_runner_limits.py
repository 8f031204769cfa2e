"""Check that all entries together keep to the limit that a runner names."""

import heapq
import math
from contextlib import asynccontextmanager
from random import Random

import pytest
import trio
from attrs import define, field
from trio.testing import MockClock

from jasminewheel._internal.gateway.attempts import CallRecord, RetryingSender
from jasminewheel._internal.gateway.call import Call
from jasminewheel._internal.gateway.choice import CallRequirements, RunnerChoice
from jasminewheel._internal.gateway.limits import RunnerLimits
from jasminewheel._internal.gateway.routes import CallKind, Route, TargetShare
from jasminewheel._internal.gateway.runners import (
    Runner,
    RunnerDirectory,
    RunnerView,
)
from jasminewheel.errors import UnavailableError
from jasminewheel.models.verdict import Verdict

# What the users allow: in some WINDOW_SECONDS a runner gets at most this
# factor of what its limit allows, and some requests.
WINDOW_SECONDS = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_REQUESTS = 5
# After this time all entries count that had passed on the limit by then.
LEARNED_SECONDS = 0.5
PLAYED_SECONDS = 300.0
# A limit is capacity: at least this share of it is used under load.
USED_SHARE = 0.6


@define(eq=False)
class Fleet:
    """Name all entries but one."""

    own_vm: str
    others: tuple[str, ...]

    def names(self) -> tuple[str, ...]:
        """Return the names of the others."""
        return self.others


def _runner(runner_id: str = 'a', started_ms: int = 1) -> Runner:
    return Runner(runner_id, 'desk', 'h:1', 'a', False, 6, started_ms)


@define(eq=False)
class Sender:
    """Represent one entry that has more calls than it may send."""

    limits: RunnerLimits
    view: RunnerView = field(factory=lambda: RunnerView(_runner()))

    def learn(self, rate: float, now: float) -> None:
        """Pass on an answer that names a limit."""
        self.limits.record_answer(self.view, rate, -1, now)

    def ready_at(self) -> float:
        """Return when the entry may send."""
        return self.limits.ready_at(self.view)


def _senders(count: int, seed: int) -> list[Sender]:
    names = [f'front-{number}' for number in range(count)]
    senders = []
    for name in names:
        others = tuple(one for one in names if one != name)
        limits = RunnerLimits(Fleet(name, others), Random(f'{seed}/{name}'))
        senders.append(Sender(limits))
    return senders


def _play(senders, first_rate: float, rate: float) -> list[float]:
    """Send whenever allowed; return when the runner got a request."""
    for sender in senders:
        sender.learn(first_rate, 0)
        sender.learn(rate, 0.1)
    waiting = [(one.ready_at(), at) for at, one in enumerate(senders)]
    heapq.heapify(waiting)
    sent = []
    while waiting[0][0] < PLAYED_SECONDS:
        now, at = waiting[0]
        senders[at].view.limit.sent_at = now
        sent.append(now)
        heapq.heapreplace(waiting, (senders[at].ready_at(), at))
    return sent


def _most_in_window(sent: list[float]) -> int:
    most = 0
    start = 0
    for end, moment in enumerate(sent):
        while sent[start] < moment - WINDOW_SECONDS:
            start += 1
        most = max(most, end - start + 1)
    return most


@pytest.mark.parametrize('seed', [1, 2, 3, 4])
@pytest.mark.parametrize('rate', [0, 0.2, 1.1, 2.2, 8, 40])
@pytest.mark.parametrize('count', [1, 2, 10, 195])
def test_all_entries_keep_to_a_limit_together(count, rate, seed):
    """Guard against LIMIT: each entry has more calls than it may send."""
    sent = _play(_senders(count, seed), rate, rate)
    counted = [moment for moment in sent if moment > LEARNED_SECONDS]
    allowed = ALLOWED_FACTOR * WINDOW_SECONDS * rate + ALLOWED_REQUESTS
    assert _most_in_window(counted) <= allowed
    assert len(sent) >= USED_SHARE * rate * PLAYED_SECONDS


@pytest.mark.parametrize('count', [1, 10, 195])
def test_lower_limit_counts_at_once(count):
    """A runner in more need lowers its limit."""
    sent = _play(_senders(count, 1), 20, 1)
    allowed = ALLOWED_FACTOR * WINDOW_SECONDS + ALLOWED_REQUESTS
    assert _most_in_window(sent) <= allowed


@define(eq=False)
class LimitedPort:
    """Answer each call at once, and name the limit of its runner."""

    limits: dict[str, float]
    sent: list[str] = field(factory=list)
    status: int = 200
    refused: bool = False
    headers: list = field(factory=list)
    load: None = None
    leaving: bool = False
    limit_rate: float | None = None

    @asynccontextmanager
    async def attempt(self, attempt):
        """Yield an answer."""
        self.sent.append(attempt.runner.runner_id)
        attempt.observer.on_connected()
        attempt.observer.on_sent()
        self.limit_rate = self.limits.get(attempt.runner.runner_id)
        yield self


def _choice(*runner_ids: str) -> RunnerChoice:
    directory = RunnerDirectory()
    for runner_id in runner_ids:
        directory.put(_runner(runner_id))
    return RunnerChoice(directory, {'a': 0}.__getitem__)


async def _call(choice, port) -> None:
    route = Route(
        'r', 'h', '/', CallKind.unsafe, (TargetShare('desk', 1),), 4, 1, 2
    )
    call = Call('q1', 'h', '/', b'GET', b'/', [], b'', 0, math.inf)
    record = CallRecord(call, route, 'desk', 1e9)
    await RetryingSender(choice, port).run(
        record,
        b'',
        CallRequirements(
            'desk', CallKind.unsafe, excluded_runners=record.excluded_runners
        ),
        lambda _: trio.sleep(0),
    )


def _run(scenario) -> None:
    trio.run(scenario, clock=MockClock(autojump_threshold=0))


async def _call_each(seconds: float, count: int, choice, port) -> None:
    for _ in range(count):
        await trio.sleep(seconds)  # noqa: WPS476
        await _call(choice, port)  # noqa: WPS476


def test_calls_over_a_limit_go_to_other_runners():
    """A runner at its limit costs no call."""
    choice, port = _choice('a', 'b'), LimitedPort({'a': 0.5})

    async def scenario() -> None:
        await _call_each(0.1, 400, choice, port)
        assert 10 <= port.sent.count('a') <= 25

    _run(scenario)


def test_calls_over_all_limits_are_refused_at_once():
    """Guard against LIMIT: they have not run, and may return by spread."""
    choice, port = _choice('a'), LimitedPort({'a': 0.1})

    async def scenario() -> None:
        await _call(choice, port)
        asked_at = trio.current_time()
        refusals = [
            await _refused(choice, port)  # noqa: WPS476
            for _ in range(5)
        ]
        assert trio.current_time() == asked_at
        assert all(one.verdict is Verdict.not_run for one in refusals)
        waits = {one.retry_after_seconds for one in refusals}
        assert len(waits) == len(refusals)
        assert max(waits) <= 2 * 10
        assert port.sent == ['a']

    _run(scenario)


async def _refused(choice, port) -> UnavailableError:
    try:
        await _call(choice, port)
    except UnavailableError as error:
        return error
    raise AssertionError('the call was sent')


def test_limit_ends_with_an_answer_that_names_none():
    """An answer to an older request tells nothing."""
    limits, view = RunnerLimits(), RunnerView(_runner())
    limits.record_answer(view, 2, 0, 1)
    limits.record_answer(view, None, 0.5, 1.5)
    assert view.limit
    limits.record_answer(view, None, 2, 3)
    assert view.limit is None


def test_new_incarnation_has_no_limit():
    """It starts without the need of the one before."""
    choice = _choice('a')
    choice.limits.record_answer(choice.directory.views['a'], 0.1, 0, 1)
    choice.directory.put(_runner('a', started_ms=2))
    assert choice.directory.views['a'].limit is None


def test_runner_is_asked_whether_its_limit_still_holds():
    """A limit of zero would hold for ever if the runner got no request."""
    choice, port = _choice('a', 'b'), LimitedPort({'a': 0})

    async def scenario() -> None:
        await _call_each(1, 60, choice, port)
        assert 'a' in port.sent[-30:]

    _run(scenario)
