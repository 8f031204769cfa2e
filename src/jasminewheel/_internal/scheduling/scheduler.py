"""Let each call wait its turn and give it a runner."""

import logging
import time
from collections.abc import AsyncIterator, Callable
from contextlib import ExitStack, asynccontextmanager

import trio

from jasminewheel._internal.events import scheduling as events
from jasminewheel._internal.scheduling.admission import (
    SHORTEST_RETRY_SECONDS,
    AdmissionLimits,
    Refusal,
    judge,
)
from jasminewheel._internal.scheduling.belief import CacheEvent
from jasminewheel._internal.scheduling.decision import PlacementDecision
from jasminewheel._internal.scheduling.dispatch import (
    ConfigurationSource,
    Dispatcher,
)
from jasminewheel._internal.scheduling.load import LoadReport
from jasminewheel._internal.scheduling.queue import (
    ProgramOrdering,
    QueuedCall,
)
from jasminewheel._internal.scheduling.request import PlacementRequest
from jasminewheel._internal.scheduling.runners import RunnerBook
from jasminewheel._internal.scheduling.waiting import (
    TargetBook,
    TargetState,
    Waiter,
)
from jasminewheel.errors import DeadlineError, NotFoundError, OverloadedError

LOGGER = logging.getLogger(__name__)
RECHECK_SECONDS = 0.25


class Scheduler:
    """Queue calls by target and place them on runners."""

    def __init__(
        self,
        configuration: ConfigurationSource,
        region: str,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Start with empty queues; clock gives Unix time in seconds."""
        self.configuration = configuration
        self.clock = clock
        self.runners = RunnerBook()
        self.targets = TargetBook()
        self.ordering = ProgramOrdering()
        self.dispatcher = Dispatcher(
            configuration, region, self.runners, self.targets
        )

    @asynccontextmanager
    async def place(
        self, request: PlacementRequest, now: float
    ) -> AsyncIterator[PlacementDecision]:
        """Wait for a runner; raise OverloadedError if that takes too long."""
        patience = self._patience(request, now)
        claim = self.ordering.claim(request, 0)
        waiter = Waiter(QueuedCall(request, now, claim))
        state = self.targets.state(request.target)
        self._admit(state, waiter.call, patience)
        with ExitStack() as cleanup:
            cleanup.callback(self._release, state, waiter)
            state.push(waiter)
            yield await self._turn_of(waiter, now + patience)

    def observe_load(self, runner: str, report: LoadReport, now: float) -> None:
        """Take in a runner's load report and place what it lets through."""
        self.runners.observe_load(runner, report, now)
        self.dispatcher.pump_all(now)

    def observe_cache(self, runner: str, event: CacheEvent, now: float) -> None:
        """Take in a runner's cache event."""
        self.runners.observe_cache(runner, event, now)

    def forget_runner(self, runner: str) -> None:
        """Drop what is known of a runner that left."""
        if self.runners.forget(runner):
            events.RUNNER_FORGOTTEN.log(LOGGER, runner=runner)

    async def _turn_of(
        self, waiter: Waiter, latest: float
    ) -> PlacementDecision:
        target = waiter.call.request.target
        now = self.clock()
        self.dispatcher.pump(target, now)
        while not waiter.turn.is_set() and now < latest:
            with trio.move_on_after(min(RECHECK_SECONDS, latest - now)):
                await waiter.turn.wait()
            now = self.clock()
            if not waiter.turn.is_set():
                self.dispatcher.pump(target, now)
        if waiter.decision is None:
            raise _refuse(waiter.call.request, _late_refusal(waiter))
        return waiter.decision

    def _release(self, state: TargetState, waiter: Waiter) -> None:
        state.remove(waiter)
        if waiter.decision is not None:
            waiter.decision.abandoned(self.clock())

    def _admit(
        self, state: TargetState, call: QueuedCall, patience: float
    ) -> None:
        limits = self._limits()
        full = len(state.queue) >= limits.max_queue
        if full and not state.displace_last(call):
            retry = state.throughput.expected_wait(len(state.queue))
            raise _refuse(call.request, Refusal('the queue is full', retry))
        ahead = state.queue.ahead_of(call)
        refusal = judge(ahead, patience, state.throughput)
        if refusal is not None:
            raise _refuse(call.request, refusal)

    def _patience(self, request: PlacementRequest, now: float) -> float:
        if request.target not in self.configuration.current.targets:
            raise NotFoundError(f'target {request.target} is not declared')
        if request.deadline <= now:
            raise DeadlineError('the deadline passed before the call ran')
        return min(self._limits().max_wait_seconds, request.deadline - now)

    def _limits(self) -> AdmissionLimits:
        policy = self.configuration.current.policy
        return AdmissionLimits(
            policy.max_queue_per_target, policy.max_queue_seconds
        )


def _late_refusal(waiter: Waiter) -> Refusal:
    if waiter.displaced:
        return Refusal('more favoured calls filled the queue', 1)
    return Refusal('no runner became free in time', 1)


def _refuse(request: PlacementRequest, refusal: Refusal) -> OverloadedError:
    events.REFUSED_EARLY.log(
        LOGGER,
        program=request.program_id,
        target=request.target,
        reason=refusal.reason,
    )
    return OverloadedError(
        f'{request.target} is overloaded: {refusal.reason}',
        remedy='retry after the time given',
        retry_after_seconds=max(
            SHORTEST_RETRY_SECONDS, refusal.retry_after_seconds
        ),
    )
