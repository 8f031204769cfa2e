"""Queue calls and place each of them on a runner."""

import logging
import time
from collections.abc import AsyncIterator, Callable
from contextlib import ExitStack, asynccontextmanager

import trio

from jasminewheel._internal.events import scheduling as events
from jasminewheel._internal.scheduling.admission import (
    MIN_RETRY_AFTER_SECONDS,
    Refusal,
    check_admission,
)
from jasminewheel._internal.scheduling.decision import PlacementDecision
from jasminewheel._internal.scheduling.dispatch import (
    RECHECK_INTERVAL_SECONDS,
    ConfigurationSource,
    Dispatcher,
)
from jasminewheel._internal.scheduling.explanations import (
    Explainer,
    explain_choice,
    explain_refusal,
)
from jasminewheel._internal.scheduling.queue import QueuedCall, ordering_of
from jasminewheel._internal.scheduling.request import PlacementRequest
from jasminewheel._internal.scheduling.retention import EngineClients
from jasminewheel._internal.scheduling.waiting import TargetState, Waiter
from jasminewheel._internal.targets.engine import CacheEvent
from jasminewheel._internal.targets.load_report import LoadReport
from jasminewheel.errors import DeadlineError, NotFoundError, OverloadedError

LOGGER = logging.getLogger(__name__)
RETRY_AFTER_SECONDS = 2


class Scheduler:
    """Queue calls by target and place them on runners."""

    def __init__(
        self,
        configuration: ConfigurationSource,
        region: str,
        clock: Callable[[], float] = time.time,
        salt: str = '',
    ) -> None:
        """Start with empty queues; clock returns Unix time in seconds.

        The salt, such as the member's name, makes entries choose different
        ones of equally loaded runners.
        """
        self.configuration = configuration
        self.clock = clock
        self.dispatcher = Dispatcher(configuration, region, salt)
        self.runners = self.dispatcher.runners
        self.targets = self.dispatcher.targets
        self.explainer: Explainer = self.dispatcher.explanations

    @asynccontextmanager
    async def place(
        self, request: PlacementRequest, now: float
    ) -> AsyncIterator[PlacementDecision]:
        """Wait for a runner; raise OverloadedError if that takes too long."""
        max_wait_seconds = self._max_wait_seconds(request, now)
        self._record_use(request, now)
        policy = self.configuration.current.policy
        waited = self.dispatcher.wait_times.seconds_of(request.program_id)
        rank_offset = ordering_of(policy).rank_offset(request, waited)
        waiter = Waiter(QueuedCall(request, now, rank_offset))
        state = self.targets.state(request.target)
        self._admit(state, waiter.call, max_wait_seconds)
        with ExitStack() as cleanup:
            cleanup.callback(_release, state, waiter, self.clock)
            state.push(waiter)
            yield await self._wait_for_placement(waiter, now + max_wait_seconds)

    def observe_load(self, runner: str, report: LoadReport, now: float) -> None:
        """Apply a runner's load report and place the calls it allows."""
        self.runners.observe_load(runner, report, now)
        self.dispatcher.dispatch_runner(runner, now)

    def observe_cache(self, runner: str, event: CacheEvent, now: float) -> None:
        """Apply a runner's cache event."""
        self.runners.prefixes.observe(runner, event, now)

    def forget_runner(self, runner: str) -> None:
        """Discard the state of a runner that left."""
        if self.runners.forget(runner):
            events.RUNNER_REMOVED.log(LOGGER, runner=runner)

    async def run(
        self, clients: EngineClients, is_owned: Callable[[str], bool]
    ) -> None:
        """Pin prefixes of owned programs in engines until cancelled."""
        await self.dispatcher.retention.run(clients, is_owned, self.clock)

    def program_ended(self, program_id: str) -> None:
        """Release the pinned prefix of a program that ended."""
        self.dispatcher.retention.handle_end(program_id)

    async def _wait_for_placement(
        self, waiter: Waiter, deadline: float
    ) -> PlacementDecision:
        target = waiter.call.request.target
        now = self.clock()
        self.dispatcher.dispatch(target, now)
        self._explain_wait(waiter, now)
        while not waiter.wakeup.is_set() and now < deadline:
            with trio.move_on_after(
                min(RECHECK_INTERVAL_SECONDS, deadline - now)
            ):
                await waiter.wakeup.wait()
            now = self.clock()
            if not waiter.wakeup.is_set():
                self.dispatcher.recheck(target, now)
        if waiter.decision is None:
            raise self._refuse(waiter.call, _refusal_of(waiter))
        return waiter.decision

    def _record_use(self, request: PlacementRequest, now: float) -> None:
        retention = self.dispatcher.retention
        if request.blocks:
            retention.handle_resume(request.program_id, now)
        else:
            retention.set_tool(request.program_id, request.target)

    def _explain_wait(self, waiter: Waiter, now: float) -> None:
        if waiter.choice is None or waiter.wakeup.is_set():
            return
        request = waiter.call.request
        ahead = self.targets.state(request.target).queue.count_ahead(
            waiter.call
        )
        self.dispatcher.explanations.record(
            explain_choice(request, waiter.choice, now, 0, ahead)
        )

    def _admit(
        self, state: TargetState, call: QueuedCall, max_wait_seconds: float
    ) -> None:
        policy = self.configuration.current.policy
        if 'admission' not in policy.without:
            self._check_limits(state, call, max_wait_seconds)
        full = len(state.queue) >= policy.max_queue_per_target
        if full and not state.displace_last(call):
            retry = state.throughput.expected_wait(len(state.queue))
            raise self._refuse(call, Refusal('the queue is full', retry))

    def _check_limits(
        self, state: TargetState, call: QueuedCall, max_wait_seconds: float
    ) -> None:
        request = call.request
        ahead = state.queue.count_ahead(call)
        refusal = check_admission(ahead, max_wait_seconds, state.throughput)
        if refusal is not None:
            raise self._refuse(call, refusal)
        if not state.retries.try_acquire(
            request.program_id, request.request_id
        ):
            raise self._refuse(
                call,
                Refusal('the retry budget is exhausted', RETRY_AFTER_SECONDS),
            )

    def _max_wait_seconds(self, request: PlacementRequest, now: float) -> float:
        snapshot = self.configuration.current
        if request.target not in snapshot.targets:
            raise NotFoundError(f'target {request.target} is not declared')
        if request.deadline <= now:
            raise DeadlineError('the deadline passed before the call ran')
        left = request.deadline - now
        return min(snapshot.policy.max_queue_seconds, left)

    def _refuse(self, call: QueuedCall, refusal: Refusal) -> OverloadedError:
        request = call.request
        now = self.clock()
        ahead = self.targets.state(request.target).queue.count_ahead(call)
        self.dispatcher.explanations.record(
            explain_refusal(request, refusal.reason, now, ahead)
        )
        return _overloaded(request, refusal)


def _release(
    state: TargetState, waiter: Waiter, clock: Callable[[], float]
) -> None:
    state.remove(waiter)
    if waiter.decision is not None:
        waiter.decision.abandoned(clock())


def _refusal_of(waiter: Waiter) -> Refusal:
    if waiter.displaced:
        return Refusal('calls of better rank filled the queue', 1)
    return Refusal('no runner became free in time', 1)


def _overloaded(request: PlacementRequest, refusal: Refusal) -> OverloadedError:
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
            MIN_RETRY_AFTER_SECONDS, refusal.retry_after_seconds
        ),
    )
