"""Estimate the cost of running a call on a runner, in weighted seconds.

One second of latency costs 1 for the lowest priority, and the priority weight
for others.
"""

from attrs import frozen

from jasminewheel._internal.scheduling.prefixes import CachedPrefix
from jasminewheel._internal.scheduling.rates import TargetRates

BYTES_PER_PROMPT_TOKEN = 4
REGION_ROUND_TRIP_SECONDS = 0.04
PRIORITY_STEPS_PER_DOUBLING = 3


@frozen
class CostWeights:
    """Represent the relative weights of the parts of a cost."""

    prefix: float = 1
    load: float = 1
    link: float = 1
    link_bytes_per_second: float = 1_875_000
    link_share: float = 0.5

    @property
    def usable_bytes_per_second(self) -> float:
        """Return the bandwidth that this product may use on the link."""
        return max(1, self.link_bytes_per_second * self.link_share)


def priority_weight(priority: int) -> float:
    """Return the cost of one second of latency at a priority."""
    return 2 ** (priority / PRIORITY_STEPS_PER_DOUBLING)


@frozen
class Demand:
    """Represent the load of a call and the headroom it must leave."""

    prompt_tokens: int
    answer_tokens: float
    headroom_share: float = 0
    weight: float = 1


@frozen
class Situation:
    """Represent the known state of one runner when a call is placed.

    `limit` is the number of calls up to which the priority of the call may
    fill the runner.
    """

    running: int
    limit: int
    cached_prefix: CachedPrefix
    same_region: bool
    # Queued calls of this entry that wait for this runner.
    waiting_calls: int = 0
    # Total priority weight of the running calls, which a further call slows.
    running_weight: float = 0

    @property
    def free(self) -> bool:
        """Return whether a call would start at once."""
        return self.running < self.limit


@frozen
class Cost:
    """Represent the parts of a cost, in weighted seconds."""

    recompute_seconds: float
    crowding_seconds: float
    wait_seconds: float
    link_seconds: float
    total_seconds: float


def estimate_cost(
    situation: Situation,
    demand: Demand,
    rates: TargetRates,
    weights: CostWeights,
) -> Cost:
    """Return the cost of the call to all programs on the runner."""
    recompute = weights.prefix * _recompute_seconds(situation, demand, rates)
    crowding = weights.load * _crowding_seconds(situation, demand, rates)
    ahead = situation.running + situation.waiting_calls
    excess = max(0, ahead + 1 - situation.limit)
    wait = demand.weight * rates.service_seconds * excess / situation.limit
    link = weights.link * _link_seconds(situation, demand, weights)
    total = recompute + crowding + wait + link
    return Cost(recompute, crowding, wait, link, total)


def _recompute_seconds(
    situation: Situation, demand: Demand, rates: TargetRates
) -> float:
    uncached_tokens = max(
        0, demand.prompt_tokens - situation.cached_prefix.expected_tokens
    )
    # Computing a prompt delays every answer in the same batch.
    delayed_weight = demand.weight + situation.running_weight
    return uncached_tokens * rates.prefill_seconds_per_token * delayed_weight


def _crowding_seconds(
    situation: Situation, demand: Demand, rates: TargetRates
) -> float:
    if not demand.prompt_tokens:
        occupied = situation.running / situation.limit
        return demand.weight * rates.service_seconds * occupied
    # Each running call slows this one, and this one slows each of them.
    slowed = demand.weight * situation.running + situation.running_weight
    return demand.answer_tokens * rates.crowding.seconds * slowed


def _link_seconds(
    situation: Situation, demand: Demand, weights: CostWeights
) -> float:
    if situation.same_region:
        return 0
    sent = demand.prompt_tokens * BYTES_PER_PROMPT_TOKEN
    transfer = sent / weights.usable_bytes_per_second
    return demand.weight * (transfer + REGION_ROUND_TRIP_SECONDS)
