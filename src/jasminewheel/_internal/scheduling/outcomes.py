"""Learn from how placed calls went."""

import logging
from collections.abc import Callable

from jasminewheel._internal.events import scheduling as events
from jasminewheel._internal.scheduling.breaker import BreakerState
from jasminewheel._internal.scheduling.decision import PlacementDecision
from jasminewheel._internal.scheduling.request import Usage
from jasminewheel._internal.scheduling.runners import RunnerBook, RunnerState
from jasminewheel._internal.scheduling.waiting import TargetBook

LOGGER = logging.getLogger(__name__)


class OutcomeLedger:
    """Keep loads, beliefs, rates and breakers in step with placed calls."""

    def __init__(
        self,
        runners: RunnerBook,
        targets: TargetBook,
        freed: Callable[[str, float], None],
    ) -> None:
        """Call `freed` with the target whenever one of its calls ended."""
        self.runners = runners
        self.targets = targets
        self.freed = freed

    def placed(self, decision: PlacementDecision, now: float) -> None:
        """Count the call at its runner."""
        state = self._state(decision)
        state.load.started(now)
        state.breaker.sent(now)

    def first_token(self, decision: PlacementDecision, now: float) -> None:
        """Learn the time to compute the prompt."""
        computed = (
            decision.request.prompt_tokens - decision.expected_cached_tokens
        )
        rates = self.targets.state(decision.request.target).rates
        rates.learn_prefill(computed, now - decision.placed_at)

    def finished(
        self, decision: PlacementDecision, usage: Usage | None, now: float
    ) -> None:
        """Learn what was cached and close the breaker."""
        state = self._state(decision)
        was_closed = state.breaker.state is BreakerState.closed
        state.breaker.succeeded()
        if not was_closed:
            events.BREAKER_CLOSED.log(LOGGER, runner=decision.runner)
        if usage is not None:
            state.belief.learn(
                decision.expected_cached_tokens, usage.cached_tokens
            )
        for block in decision.request.blocks:
            state.belief.touch(block.block, now)
        rates = self.targets.state(decision.request.target).rates
        rates.learn_service(now - decision.placed_at)
        self._end(decision, now)

    def failed(self, decision: PlacementDecision, now: float) -> None:
        """Count the failure against the runner."""
        breaker = self._state(decision).breaker
        was_closed = breaker.state is BreakerState.closed
        breaker.failed(now)
        if was_closed and breaker.state is BreakerState.open:
            events.BREAKER_OPENED.log(LOGGER, runner=decision.runner)
        self._end(decision, now)

    def abandoned(self, decision: PlacementDecision, now: float) -> None:
        """Count the end only."""
        self._state(decision).breaker.abandoned(now)
        self._end(decision, now)

    def _state(self, decision: PlacementDecision) -> RunnerState:
        return self.runners.state(decision.runner)

    def _end(self, decision: PlacementDecision, now: float) -> None:
        self._state(decision).load.ended(now)
        target = decision.request.target
        self.targets.state(target).throughput.ended(now)
        self.freed(target, now)
