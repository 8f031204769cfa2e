"""Give waiting calls runners as these become free."""

from collections.abc import Iterator
from typing import Protocol

from jasminewheel._internal.configuration.snapshot import Snapshot
from jasminewheel._internal.scheduling.cost import CostWeights, Situation
from jasminewheel._internal.scheduling.decision import PlacementDecision
from jasminewheel._internal.scheduling.outcomes import OutcomeLedger
from jasminewheel._internal.scheduling.placement import (
    CheapestRunner,
    Choice,
    price_options,
)
from jasminewheel._internal.scheduling.queue import QueuedCall
from jasminewheel._internal.scheduling.request import PlacementRequest, Runner
from jasminewheel._internal.scheduling.runners import RunnerBook
from jasminewheel._internal.scheduling.waiting import TargetBook, TargetState

# Calls behind the first may pass it when it waits for a certain runner.
LOOK_AHEAD = 16


class ConfigurationSource(Protocol):
    """Give the configuration in force."""

    current: Snapshot


class Dispatcher:
    """Place the waiting calls of each target in order of rank."""

    def __init__(
        self,
        configuration: ConfigurationSource,
        region: str,
        runners: RunnerBook,
        targets: TargetBook,
    ) -> None:
        """Place from the given region."""
        self.configuration = configuration
        self.region = region
        self.runners = runners
        self.targets = targets
        self.rule = CheapestRunner()
        self.ledger = OutcomeLedger(runners, targets, self.pump)

    def pump(self, target: str, now: float) -> None:
        """Place as many waiting calls of a target as runners allow."""
        state = self.targets.state(target)
        passed = 0
        while passed < min(LOOK_AHEAD, len(state.queue)):
            if not self._try_place(state, state.queue.at(passed), now):
                passed += 1

    def pump_all(self, now: float) -> None:
        """Place the waiting calls of all targets."""
        for target in self.targets.states:
            self.pump(target, now)

    def choose(self, request: PlacementRequest, now: float) -> Choice:
        """Weigh the runners for a call without placing it."""
        policy = self.configuration.current.policy
        weights = CostWeights(
            prefix=policy.prefix_weight,
            load=policy.load_weight,
            link=policy.link_weight,
            link_bytes_per_second=policy.link_bytes_per_second,
            link_share=policy.link_share,
        )
        options = price_options(
            self._situations(request, now),
            request.prompt_tokens,
            self.targets.state(request.target).rates,
            weights,
        )
        return self.rule.choose(options)

    def _try_place(
        self, state: TargetState, call: QueuedCall, now: float
    ) -> bool:
        choice = self.choose(call.request, now)
        if choice.option is None:
            return False
        waiter = state.waiters[call]
        state.remove(waiter)
        decision = PlacementDecision(
            call.request, choice.option, choice, now, self.ledger
        )
        self.ledger.placed(decision, now)
        waiter.place(decision)
        return True

    def _situations(
        self, request: PlacementRequest, now: float
    ) -> Iterator[tuple[Runner, Situation]]:
        target = self.configuration.current.targets.get(request.target)
        for runner in target.serving_runners() if target else ():
            state = self.runners.state(runner.name)
            if state.breaker.allows(now):
                yield (
                    runner,
                    Situation(
                        running=state.load.estimate(now),
                        max_running=runner.max_running,
                        held=state.belief.held(request.blocks, now),
                        same_region=runner.region == self.region,
                    ),
                )
