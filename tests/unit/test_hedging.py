"""Check what callers get when some runners of a target turn slow."""

import logging
import math
from collections.abc import Callable
from contextlib import asynccontextmanager
from random import Random

import pytest
import trio
from attrs import define, field
from trio.testing import MockClock

from jasminewheel._internal.gateway.attempts import CallRecord, RetryingSender
from jasminewheel._internal.gateway.call import Call
from jasminewheel._internal.gateway.choice import CallRequirements, RunnerChoice
from jasminewheel._internal.gateway.hedging import HedgeBudget, HedgingSender
from jasminewheel._internal.gateway.plain_flow import FirstAnswerRelay
from jasminewheel._internal.gateway.routes import CallKind, Route, TargetShare
from jasminewheel._internal.gateway.runners import Runner, RunnerDirectory
from jasminewheel.errors import ConnectionLostError, TargetFailedError

USUAL_SECONDS = 0.05
SLOW_SECONDS = 1.2
LATENCY_SECONDS = 0.3
HEDGE_SECONDS = 0.15


@define(eq=False)
class PlayedAnswer:
    """Represent an answer that is whole as soon as it starts."""

    runner_id: str
    status: int = 200
    refused: bool = False
    load: None = None
    leaving: bool = False
    limit_rate: float | None = None
    headers: tuple = ()

    async def whole_body(self) -> bytes:
        """Return the body."""
        return b'whole'


@define(eq=False)
class PlayedRunners:
    """Answer after a time that is set for each runner."""

    seconds: dict[str, float]
    sent: list[str] = field(factory=list)
    cancelled: list[str] = field(factory=list)
    # Runners that lose the connection instead of answering.
    broken: frozenset[str] = frozenset()

    @asynccontextmanager
    async def attempt(self, attempt):
        """Yield the answer of a runner after its time."""
        runner_id = attempt.runner.runner_id
        attempt.observer.on_connected()
        self.sent.append(runner_id)
        attempt.observer.on_sent()
        try:
            await trio.sleep(self.seconds[runner_id])
        except trio.Cancelled:
            self.cancelled.append(runner_id)
            raise
        if runner_id in self.broken:
            raise ConnectionLostError('lost')
        yield PlayedAnswer(runner_id)


@define(eq=False)
class PlayedEntry:
    """Send calls as an entry does, with beliefs of its own."""

    port: PlayedRunners
    zone: str = 'a'
    seed: int = 1
    hedges: bool = True
    directory: RunnerDirectory = field(factory=RunnerDirectory)
    budget: HedgeBudget = field(factory=HedgeBudget)
    answered_by: list[str] = field(factory=list)
    # Reads answers in place of `read`, which records them.
    reader: Callable | None = None

    def __attrs_post_init__(self) -> None:
        """List the runners; the zone of each is the start of its name."""
        for name in self.port.seconds:
            address = f'{name}:1'
            listed = Runner(name, 'desk', address, name[0], False, 6)
            self.directory.put(listed)

    async def call(self, kind=CallKind.safe, attempts=2) -> float:
        """Send one call; return the seconds to its answer."""
        shares = (TargetShare('desk', 1),)
        route = Route(
            'look', 'h', '/', kind, shares, 4, 1, attempts, False, 0,
            LATENCY_SECONDS,
        )  # fmt: skip
        call = Call('q1', 'h', '/', b'GET', b'/', [], b'', 0, math.inf)
        record = CallRecord(call, route, 'desk', math.inf)
        rates = self.directory.route_rates_of('look')
        requirements = CallRequirements(
            'desk',
            kind,
            usual_seconds=rates.service_seconds,
            excluded_runners=record.excluded_runners,
        )
        started_at = trio.current_time()
        read = self.reader or self.read
        await self.sender().run(record, b'', requirements, read)
        return trio.current_time() - started_at

    def sender(self):
        """Return the sender, with second tries or without."""
        choice = RunnerChoice(
            self.directory,
            lambda zone: 0.0004 if zone == self.zone else 0.002,
            Random(self.seed),
        )
        sender = RetryingSender(choice, self.port)
        return HedgingSender(sender, self.budget) if self.hedges else sender

    async def read(self, answer) -> None:
        """Record who answered."""
        await trio.sleep(0)
        self.answered_by.append(answer.runner_id)


def _run(scenario) -> None:
    trio.run(scenario, clock=MockClock(autojump_threshold=0))


def _slow_and_fast() -> PlayedRunners:
    """Return two runners; the slow one is nearer."""
    return PlayedRunners({'a1': SLOW_SECONDS, 'b1': USUAL_SECONDS})


def test_slow_call_is_answered_by_a_second_runner():
    """The first answer counts, and the other runner is let go."""

    async def scenario() -> None:
        entry = PlayedEntry(_slow_and_fast())
        took = await entry.call()
        assert took == pytest.approx(HEDGE_SECONDS + USUAL_SECONDS, abs=0.01)
        assert entry.answered_by == ['b1']
        assert entry.port.cancelled == ['a1']

    _run(scenario)


def test_next_calls_avoid_a_slow_runner_for_a_while():
    """It gets calls again by itself once it had time to recover."""

    async def scenario() -> None:
        entry = PlayedEntry(_slow_and_fast())
        await entry.call()
        await entry.call()
        assert entry.port.sent == ['a1', 'b1', 'b1']
        entry.port.seconds['a1'] = USUAL_SECONDS
        await trio.sleep(60)
        await entry.call()
        assert entry.port.sent[-1] == 'a1'

    _run(scenario)


@pytest.mark.parametrize(
    ('kind', 'attempts'), [(CallKind.unsafe, 2), (CallKind.safe, 1)]
)
def test_call_that_may_not_be_repeated_waits(kind, attempts):
    """One runner gets it, however slow; the next call avoids that runner."""

    async def scenario() -> None:
        entry = PlayedEntry(_slow_and_fast())
        assert await entry.call(kind, attempts) == pytest.approx(SLOW_SECONDS)
        assert entry.port.sent == ['a1']
        await entry.call(kind, attempts)
        assert entry.port.sent == ['a1', 'b1']

    _run(scenario)


def test_second_try_outlives_the_loss_of_the_first():
    """The call fails only if both fail."""

    async def scenario() -> None:
        port = PlayedRunners({'a1': 0.2, 'b1': 0.4}, broken=frozenset(('a1',)))
        entry = PlayedEntry(port)
        await entry.call()
        assert entry.answered_by == ['b1']
        port.broken = frozenset(('a1', 'b1'))
        with pytest.raises(TargetFailedError):
            await PlayedEntry(port).call()

    _run(scenario)


def test_quick_call_has_one_runner():
    """Nothing is sent twice while runners answer as usual."""

    async def scenario() -> None:
        entry = PlayedEntry(PlayedRunners({'a1': 0.1, 'b1': 0.1}))
        await entry.call()
        await trio.sleep(1)
        assert entry.port.sent == ['a1']

    _run(scenario)


def test_second_tries_are_a_small_share_when_all_are_slow():
    """They would add to the load that makes the runners slow."""
    calls = 100

    async def scenario() -> None:
        entry = PlayedEntry(PlayedRunners({'a1': 0.5, 'b1': 0.5}))
        sent = 0
        while sent < calls:
            await entry.call()
            sent += 1
        assert len(entry.port.sent) - calls <= 0.1 * calls + 3

    _run(scenario)


def test_cancelled_call_lets_both_runners_go():
    """The caller left before an answer."""

    async def scenario() -> None:
        entry = PlayedEntry(PlayedRunners({'a1': 5, 'b1': 5}))
        with trio.move_on_after(1) as left:
            await entry.call()
        assert left.cancelled_caught
        assert sorted(entry.port.cancelled) == ['a1', 'b1']

    _run(scenario)


@pytest.mark.parametrize('seed', range(5))
def test_slow_runners_delay_few_calls_of_a_large_fleet(seed, caplog):
    """Eight of 40 runners are six times as slow for five seconds.

    Each of 150 entries sends some two calls a second, so it sends each of its
    near runners one call in three seconds.
    """
    # Other tests leave handlers that would count each of the many events.
    caplog.set_level(logging.ERROR, logger='jasminewheel')
    late = {
        hedges: _late_share(seed, hedges=hedges) for hedges in (False, True)
    }
    assert late[True] < 0.25 * late[False]


def _late_share(seed: int, *, hedges: bool) -> float:
    """Play the load; return the share of calls over the latency objective."""
    chance = Random(seed)
    zones = 'abcdef'
    names = [f'{zone}{number}' for number, zone in enumerate(zones * 7)][:40]
    seconds = dict.fromkeys(names, USUAL_SECONDS)
    seconds.update(dict.fromkeys(names[::5], 6 * USUAL_SECONDS + 0.1))
    port = PlayedRunners(seconds)
    took: list[float] = []

    async def send_calls(entry: PlayedEntry) -> None:
        ends_at = trio.current_time() + 5
        while trio.current_time() < ends_at:
            await trio.sleep(chance.expovariate(2))
            took.append(await entry.call())

    async def play() -> None:
        async with trio.open_nursery() as nursery:
            for number in range(150):
                entry = PlayedEntry(port, zones[number % 6], number, hedges)
                entry.directory.route_rates_of('look').service_seconds = 0.06
                nursery.start_soon(send_calls, entry)

    _run(play)
    return sum(one > LATENCY_SECONDS for one in took) / len(took)


@define(eq=False)
class SlowCaller:
    """Receive an answer slowly, as a caller behind a narrow link does."""

    receive_seconds: float = 0.5
    started: int = 0
    received: int = 0

    async def send_whole(self, status, headers, body) -> None:
        """Take the answer's time."""
        self.started += 1
        await trio.sleep(self.receive_seconds)
        self.received += 1


def test_second_answer_does_not_cut_the_first():
    """Both runners answer while the caller still receives one answer."""

    async def scenario() -> None:
        port = PlayedRunners({'a1': 0.2, 'b1': 0.2})
        caller = SlowCaller()
        entry = PlayedEntry(port)
        entry.reader = FirstAnswerRelay(caller).read
        await entry.call()
        assert len(port.sent) == 2
        assert (caller.started, caller.received) == (1, 1)

    _run(scenario)
