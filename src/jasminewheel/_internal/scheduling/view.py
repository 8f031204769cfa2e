"""Show a rule what is known of a target's runners for one call."""

from attrs import frozen

from jasminewheel._internal.scheduling.cost import (
    Cost,
    CostWeights,
    Demand,
    Situation,
    price,
)
from jasminewheel._internal.scheduling.fleet import TargetFleet
from jasminewheel._internal.scheduling.prefixes import NOTHING_HELD, Held
from jasminewheel._internal.scheduling.queue import TOP_PRIORITY
from jasminewheel._internal.scheduling.rates import TargetRates
from jasminewheel._internal.scheduling.request import PlacementRequest
from jasminewheel._internal.scheduling.runners import RunnerBook
from jasminewheel.models.policy import Policy
from jasminewheel.models.target import Runner


@frozen
class Option:
    """Hold a runner that may be chosen and what it would cost."""

    runner: Runner
    situation: Situation
    cost: Cost


@frozen
class Choice:
    """Hold the chosen option, or none to wait, and all that was weighed."""

    option: Option | None
    weighed: tuple[Option, ...]
    reason: str


@frozen
class TargetView:
    """Hold what a rule may look at when it chooses a runner."""

    fleet: TargetFleet
    runners: RunnerBook
    rates: TargetRates
    policy: Policy
    region: str

    def allows(self, runner: str, now: float) -> bool:
        """Return whether a runner serves and its breaker is closed."""
        if runner not in self.fleet.runners:
            return False
        return self.runners.state(runner).breaker.allows(now)

    def option(
        self,
        runner: Runner,
        request: PlacementRequest,
        now: float,
        held: Held = NOTHING_HELD,
    ) -> Option:
        """Return a runner with its situation and cost."""
        situation = Situation(
            running=self.runners.state(runner.name).load.estimate(now),
            limit=running_limit(runner, request.priority, self.policy),
            held=held,
            same_region=runner.region == self.region,
        )
        demand = Demand(
            request.prompt_tokens,
            min(self.rates.answer_tokens, request.max_tokens),
        )
        cost = price(situation, demand, self.rates, weights_of(self.policy))
        return Option(runner, situation, cost)


def running_limit(runner: Runner, priority: int, policy: Policy) -> int:
    """Return how many calls a priority may fill a runner up to."""
    if 'reserve' in policy.without:
        return runner.max_running
    steps_down = (TOP_PRIORITY - priority) / TOP_PRIORITY
    kept_free = policy.reserved_share * steps_down * runner.max_running
    return max(1, round(runner.max_running - kept_free))


def weights_of(policy: Policy) -> CostWeights:
    """Return the weights that a policy sets."""
    return CostWeights(
        prefix=policy.prefix_weight,
        load=policy.load_weight,
        link=policy.link_weight,
        link_bytes_per_second=policy.link_bytes_per_second,
        link_share=policy.link_share,
    )
