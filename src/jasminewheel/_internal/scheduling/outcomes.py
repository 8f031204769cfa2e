"""Update estimates, loads and breakers from outcomes of placed calls."""

import logging
from collections.abc import Callable

from attrs import define

from jasminewheel._internal.events import scheduling as events
from jasminewheel._internal.scheduling.breaker import (
    BreakerLimits,
    BreakerState,
)
from jasminewheel._internal.scheduling.cost import priority_weight
from jasminewheel._internal.scheduling.decision import PlacementDecision
from jasminewheel._internal.scheduling.fleet import FleetRegistry
from jasminewheel._internal.scheduling.rates import TargetRates
from jasminewheel._internal.scheduling.runners import (
    RunnerRegistry,
    RunnerState,
)
from jasminewheel._internal.scheduling.waiting import TargetRegistry
from jasminewheel._internal.targets.engine import EngineUsage

LOGGER = logging.getLogger(__name__)


@define(eq=False)
class OutcomeRecorder:
    """Update loads, cached prefixes, rates and breakers for placed calls.

    `on_capacity_freed` is called with target, time and runner when a call
    ends, `retain` with each answered call of a model.
    """

    runners: RunnerRegistry
    fleets: FleetRegistry
    targets: TargetRegistry
    on_capacity_freed: Callable[[str, float, str], None]
    retain: Callable[[PlacementDecision, float], None]
    breaker_limits: Callable[[], BreakerLimits]

    def placed(self, decision: PlacementDecision, now: float) -> None:
        """Record the start of the call at its runner."""
        state = self.runners.state(decision.runner)
        decision.runner_state = state
        state.load.started(now, _weight(decision))
        state.breaker.sent(now)
        self.fleets.update(decision.runner, now)

    def first_token(self, decision: PlacementDecision, now: float) -> None:
        """Update the prefill rate from the time to the first token."""
        computed = (
            decision.request.prompt_tokens - decision.expected_cached_tokens
        )
        self._rates(decision).learn_prefill(computed, now - decision.placed_at)

    def finished(
        self, decision: PlacementDecision, usage: EngineUsage | None, now: float
    ) -> None:
        """Update the estimates, and close the breaker of the runner."""
        self._close_breaker(decision)
        rates = self._rates(decision)
        rates.learn_service(now - decision.placed_at)
        if usage is not None:
            self._learn_usage(decision, usage, now)
            self.retain(decision, now)
        request = decision.request
        self.runners.prefixes.touch(decision.runner, request.blocks, now)
        retries = self.targets.state(request.target).retries
        retries.succeeded(request.program_id, request.request_id)
        self._record_end(decision, now)

    def failed(self, decision: PlacementDecision, now: float) -> None:
        """Record the failure in the runner's breaker and the retry budget."""
        breaker = self._state(decision).breaker
        was_closed = breaker.state is BreakerState.closed
        breaker.failed(now, self.breaker_limits())
        if was_closed and breaker.state is BreakerState.open:
            events.BREAKER_OPENED.log(LOGGER, runner=decision.runner)
        request = decision.request
        retries = self.targets.state(request.target).retries
        retries.failed(request.program_id, request.request_id, decision.runner)
        self._record_end(decision, now)

    def abandoned(self, decision: PlacementDecision, now: float) -> None:
        """Record the end, and allow another probe of the runner."""
        self._state(decision).breaker.abandoned(now)
        self._record_end(decision, now)

    def _learn_usage(
        self, decision: PlacementDecision, usage: EngineUsage, now: float
    ) -> None:
        cache = self.runners.prefixes.cache(decision.runner)
        cache.learn(decision.expected_cached_tokens, usage.cached_tokens)
        if decision.first_token_at is not None:
            self._rates(decision).learn_answer(
                usage.completion_tokens,
                now - decision.first_token_at,
                decision.option.situation.running,
            )

    def _close_breaker(self, decision: PlacementDecision) -> None:
        breaker = self._state(decision).breaker
        was_closed = breaker.state is BreakerState.closed
        breaker.succeeded()
        if not was_closed:
            events.BREAKER_CLOSED.log(LOGGER, runner=decision.runner)

    def _rates(self, decision: PlacementDecision) -> TargetRates:
        return self.targets.state(decision.request.target).rates

    def _state(self, decision: PlacementDecision) -> RunnerState:
        # The registry has another state if the runner was declared again since.
        return decision.runner_state

    def _record_end(self, decision: PlacementDecision, now: float) -> None:
        self._state(decision).load.ended(now, _weight(decision))
        self.fleets.update(decision.runner, now)
        target = decision.request.target
        self.targets.state(target).throughput.record_completion(now)
        self.on_capacity_freed(target, now, decision.runner)


def _weight(decision: PlacementDecision) -> float:
    return priority_weight(decision.request.priority)
