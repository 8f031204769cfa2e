"""Present the state of a target's runners to a placement rule."""

from collections.abc import Mapping
from types import MappingProxyType

from attrs import frozen

from jasminewheel._internal.scheduling.cost import (
    Cost,
    CostWeights,
    Demand,
    Situation,
    estimate_cost,
    priority_weight,
)
from jasminewheel._internal.scheduling.fleet import TargetFleet
from jasminewheel._internal.scheduling.prefixes import (
    NO_CACHED_PREFIX,
    CachedPrefix,
)
from jasminewheel._internal.scheduling.queue import TOP_PRIORITY
from jasminewheel._internal.scheduling.rates import TargetRates
from jasminewheel._internal.scheduling.request import PlacementRequest
from jasminewheel._internal.scheduling.runners import RunnerRegistry
from jasminewheel.models.policy import Policy
from jasminewheel.models.target import Runner


NO_WAITING_CALLS: Mapping[str, int] = MappingProxyType({})


@frozen
class Option:
    """Represent a candidate runner and its cost."""

    runner: Runner
    situation: Situation
    cost: Cost


@frozen
class Choice:
    """Represent the chosen option, or None to wait, and all weighed ones."""

    option: Option | None
    weighed: tuple[Option, ...]
    reason: str


@frozen
class TargetView:
    """Represent the inputs of a rule that chooses a runner."""

    fleet: TargetFleet
    runners: RunnerRegistry
    rates: TargetRates
    policy: Policy
    region: str
    weights: CostWeights
    waited_seconds: float = 0
    waiting_by_runner: Mapping[str, int] = NO_WAITING_CALLS
    # Runners that have failed this call.
    avoided: frozenset[str] = frozenset()

    def allows(self, runner: str, now: float) -> bool:
        """Return whether the call may be sent to a runner now.

        The runner must serve the target, must not have failed this call, and
        its breaker must be closed or due for a probe.
        """
        if runner in self.avoided or runner not in self.fleet.runners:
            return False
        return self.runners.state(runner).breaker.allows(now)

    def demand(self, request: PlacementRequest) -> Demand:
        """Return the demand of a call, the same for every runner."""
        return Demand(
            request.prompt_tokens,
            min(self.rates.answer_tokens, request.max_tokens),
            headroom_share(request.priority, self.policy),
            self._weight(request.priority),
        )

    def option(
        self,
        runner: Runner,
        demand: Demand,
        now: float,
        cached_prefix: CachedPrefix = NO_CACHED_PREFIX,
    ) -> Option:
        """Return a candidate runner with its situation and cost."""
        reserved_calls = round(demand.headroom_share * runner.max_running)
        load = self.runners.state(runner.name).load
        situation = Situation(
            load.estimate(now),
            max(1, runner.max_running - reserved_calls),
            cached_prefix,
            runner.region == self.region,
            self.waiting_by_runner.get(runner.name, 0),
            load.weight(now),
        )
        cost = estimate_cost(situation, demand, self.rates, self.weights)
        return Option(runner, situation, cost)

    def _weight(self, priority: int) -> float:
        if 'priority' in self.policy.without:
            return 1
        return priority_weight(priority)


def headroom_share(priority: int, policy: Policy) -> float:
    """Return the share of a runner that a priority must leave free."""
    if 'reserve' in policy.without:
        return 0
    steps_down = (TOP_PRIORITY - priority) / TOP_PRIORITY
    return policy.reserved_share * steps_down


def cost_weights(policy: Policy) -> CostWeights:
    """Return the cost weights that a policy sets."""
    return CostWeights(
        prefix=policy.prefix_weight,
        load=policy.load_weight,
        link=policy.link_weight,
        link_bytes_per_second=policy.link_bytes_per_second,
        link_share=policy.link_share,
    )
