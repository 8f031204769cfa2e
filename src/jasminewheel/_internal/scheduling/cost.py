"""Price running a call at a runner, in weighed seconds of latency.

A second of the least favoured program costs 1, of others their weight.
"""

from attrs import frozen

from jasminewheel._internal.scheduling.prefixes import CachedPrefix
from jasminewheel._internal.scheduling.rates import TargetRates

BYTES_PER_PROMPT_TOKEN = 4
REGION_ROUND_TRIP_SECONDS = 0.04
PRIORITY_STEPS_PER_DOUBLING = 3


@frozen
class CostWeights:
    """Weigh the parts of a cost against each other."""

    prefix: float = 1
    load: float = 1
    link: float = 1
    link_bytes_per_second: float = 1_875_000
    link_share: float = 0.5

    @property
    def usable_bytes_per_second(self) -> float:
        """Return the rate this product may use of the link."""
        return max(1, self.link_bytes_per_second * self.link_share)


def priority_weight(priority: int) -> float:
    """Return what a second of a program's latency is worth."""
    return 2 ** (priority / PRIORITY_STEPS_PER_DOUBLING)


@frozen
class Demand:
    """Hold what a call asks of a runner and has to leave free of it."""

    prompt_tokens: int
    answer_tokens: float
    headroom_share: float = 0
    weight: float = 1


@frozen
class Situation:
    """Hold what is known of one runner when a call is to be placed.

    `limit` is how many calls this call's priority may fill the runner up to.
    """

    running: int
    limit: int
    cached_prefix: CachedPrefix
    same_region: bool
    # Calls of this entry that wait for this very runner.
    waiting_calls: int = 0
    # The worth of the running calls, which a further call slows.
    running_weight: float = 0

    @property
    def free(self) -> bool:
        """Return whether a call would start at once."""
        return self.running < self.limit


@frozen
class Cost:
    """Hold the parts of a cost in seconds."""

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
    """Return what running the call at the runner costs all programs there."""
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
    # A prompt that is computed holds up every answer of the same batch.
    held_up = demand.weight + situation.running_weight
    return uncached_tokens * rates.prefill_seconds_per_token * held_up


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
