"""Send a call that is slow to be answered to a second runner as well.

This answers the load in which some runners of a target turn slow: an entry of
a large fleet sends each of them too few calls to learn it in time.
"""

import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial

import trio
from attrs import define, field, frozen

from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.gateway.attempts import (
    AnswerReader,
    CallRecord,
    RetryingSender,
)
from jasminewheel._internal.gateway.choice import CallRequirements
from jasminewheel._internal.gateway.routes import Route
from jasminewheel.errors import CallError, ConnectionLostError

# The second runner gets the call after this share of the time in which the
# route's calls should be answered.
LATENCY_SHARE = 0.5
# Second runners are tried for this share of the calls, and for a few in a row;
# more would add to the load when all runners are slow.
HEDGED_SHARE = 0.1
MAX_SAVED_HEDGES = 3.0
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class HedgeBudget:
    """Bound how many calls are sent to a second runner."""

    saved: float = MAX_SAVED_HEDGES

    def record_call(self) -> None:
        """Save a share for a call."""
        self.saved = min(MAX_SAVED_HEDGES, self.saved + HEDGED_SHARE)

    def spend(self) -> bool:
        """Take one second try; return False if none is left."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True


def hedge_delay(route: Route) -> float | None:
    """Return after how many seconds a call gets a second runner, if ever."""
    may_hedge = route.latency_seconds and route.max_attempts > 1
    return route.latency_seconds * LATENCY_SHARE if may_hedge else None


@frozen
class HedgingSender:
    """Send calls that may be repeated to a second runner if need be."""

    sender: RetryingSender
    budget: HedgeBudget

    async def run(
        self,
        record: CallRecord,
        body: bytes,
        requirements: CallRequirements,
        read: AnswerReader,
    ) -> None:
        """Send the call; `read` may be called for two answers at once.

        Raise as RetryingSender.run does, once both tries have failed.
        """
        send = partial(self.sender.run, record, body, requirements, read)
        delay = hedge_delay(record.route)
        if delay is None or not record.repeatable:
            await send()
            return
        self.budget.record_call()
        race = _Race(send)
        try:
            async with race.open_nursery():
                await self.hedge_after(delay, record, race)
        except BaseExceptionGroup as errors:
            raise _first_error(errors) from errors
        race.check()

    async def hedge_after(
        self, delay: float, record: CallRecord, race: '_Race'
    ) -> None:
        """Start the call; start it once more if it is not answered in time."""
        race.start()
        with trio.move_on_after(delay):
            await race.ended.wait()
        if not self.may_hedge(record, race):
            return
        # Two calls at one runner would tell nothing new.
        record.excluded_runners.add(record.runner)
        events.HEDGED.log(
            _LOGGER,
            request=record.call.call_id,
            slow=record.runner,
            after=delay,
        )
        race.start()

    def may_hedge(self, record: CallRecord, race: '_Race') -> bool:
        """Return whether the call is to be sent to a second runner now."""
        waits = not race.ended.is_set() and record.can_attempt()
        return waits and self.budget.spend()


@define(eq=False)
class _Race:
    send: Callable[[], Awaitable[None]]
    running: int = 0
    # Set when an answer was read, or no try is left.
    ended: trio.Event = field(factory=trio.Event)
    errors: list[Exception] = field(factory=list)
    answered: bool = False
    # Shielded once the answer is sent: a caller that leaves then has it whole.
    scope: trio.CancelScope = field(factory=trio.CancelScope)
    nursery: trio.Nursery = field(init=False)

    @asynccontextmanager
    async def open_nursery(self) -> AsyncIterator[None]:
        """Run the tries until one is answered or all have failed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                yield

    def start(self) -> None:
        """Start a try beside those that run."""
        self.running += 1
        self.nursery.start_soon(self.run)

    async def run(self) -> None:
        """Run one try; the first answer ends the other one."""
        try:
            await self.send()
        except (CallError, ConnectionLostError) as error:
            self.errors.append(error)
        else:
            self.answered = True
            self.scope.shield = True
            self.nursery.cancel_scope.cancel()
        self.running -= 1
        if self.answered or not self.running:
            self.ended.set()

    def check(self) -> None:
        """Raise the last error if no try was answered."""
        if not self.answered and self.errors:
            raise self.errors[-1]


def _first_error(errors: BaseExceptionGroup) -> BaseException:
    """Return what a group of errors holds, as if no tasks had raised it."""
    error: BaseException = errors
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
