"""Check that a breaker does not wait for a probe that was refused."""

import math
from contextlib import asynccontextmanager

import trio
from attrs import define, field

from jasminewheel._internal.gateway.attempts import CallRecord, RetryingSender
from jasminewheel._internal.gateway.call import Call
from jasminewheel._internal.gateway.choice import RunnerChoice
from jasminewheel._internal.gateway.routes import CallKind, Route, TargetShare
from jasminewheel._internal.gateway.runners import (
    Runner,
    RunnerDirectory,
    RunnerView,
)
from jasminewheel._internal.scheduling.breaker import BreakerState


@define(eq=False)
class Refusal:
    """Represent a refusal of a call."""

    status: int = 503
    refused: bool = True
    headers: list = field(factory=list)
    load: None = None
    leaving: bool = False
    limit_rate: float | None = None

    async def drop_rest(self) -> None:
        """Return at once, as the refusal has no body."""


@define(eq=False)
class RefusingPort:
    """Refuse each attempt."""

    @asynccontextmanager
    async def attempt(self, _attempt):
        """Yield the refusal."""
        yield Refusal()


def test_refused_probe_allows_another_probe():
    """A runner that was busy when it was probed is not excluded for ever."""
    view = RunnerView(Runner('r1', 'desk', '127.0.0.1:1', 'a', False, 6))
    view.breaker.state = BreakerState.open
    route = Route(
        'r', 'h', '/', CallKind.unsafe, (TargetShare('desk', 1),), 4, 1, 2
    )
    call = Call('q1', 'h', '/', b'GET', b'/', [], b'', 0, math.inf)
    record = CallRecord(call, route, 'desk', 1e9)
    choice = RunnerChoice(RunnerDirectory(), lambda _runner: 0)
    sender = RetryingSender(choice, RefusingPort())

    async def run() -> bool:
        await sender.try_once(record, view, b'', trio.sleep)
        return view.breaker.allows(trio.current_time())

    assert trio.run(run)
