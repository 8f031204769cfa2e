"""Price running a call at a runner, in seconds of its program's latency."""

from attrs import define, frozen

from jasminewheel._internal.scheduling.belief import Held

RATE_STEP = 0.2
DEFAULT_PREFILL_SECONDS_PER_TOKEN = 0.0002
DEFAULT_SERVICE_SECONDS = 1
MOST_PREFILL_SECONDS_PER_TOKEN = 0.01
BYTES_PER_PROMPT_TOKEN = 4
REGION_ROUND_TRIP_SECONDS = 0.04
# Fewer computed tokens tell more of the network than of the engine.
FEWEST_MEASURED_TOKENS = 64


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


@define(eq=False)
class TargetRates:
    """Learn how fast a target's runners work."""

    prefill_seconds_per_token: float = DEFAULT_PREFILL_SECONDS_PER_TOKEN
    service_seconds: float = DEFAULT_SERVICE_SECONDS

    def learn_prefill(self, computed_tokens: int, seconds: float) -> None:
        """Take in the time to the first token of a call."""
        if computed_tokens < FEWEST_MEASURED_TOKENS:
            return
        measured = min(
            seconds / computed_tokens, MOST_PREFILL_SECONDS_PER_TOKEN
        )
        change = measured - self.prefill_seconds_per_token
        self.prefill_seconds_per_token += RATE_STEP * change

    def learn_service(self, seconds: float) -> None:
        """Take in the whole time of a call at its runner."""
        self.service_seconds += RATE_STEP * (seconds - self.service_seconds)


@frozen
class Situation:
    """Hold what is known of one runner when a call is to be placed."""

    running: float
    max_running: int
    held: Held
    same_region: bool

    @property
    def free(self) -> bool:
        """Return whether a call would start at once."""
        return self.running + 1 <= self.max_running


@frozen
class Cost:
    """Hold the parts of a cost in seconds."""

    recompute_seconds: float
    wait_seconds: float
    crowding_seconds: float
    link_seconds: float

    @property
    def total_seconds(self) -> float:
        """Return the sum of all parts."""
        return (
            self.recompute_seconds
            + self.wait_seconds
            + self.crowding_seconds
            + self.link_seconds
        )


def price(
    situation: Situation,
    prompt_tokens: int,
    rates: TargetRates,
    weights: CostWeights,
) -> Cost:
    """Return what running the call at the runner costs."""
    missing = max(0, prompt_tokens - situation.held.expected_tokens)
    occupied = situation.running / situation.max_running
    excess = situation.running + 1 - situation.max_running
    turns_to_wait = max(0, excess) / situation.max_running
    return Cost(
        recompute_seconds=(
            weights.prefix * missing * rates.prefill_seconds_per_token
        ),
        wait_seconds=turns_to_wait * rates.service_seconds,
        crowding_seconds=weights.load * occupied * rates.service_seconds,
        link_seconds=_link_seconds(situation, prompt_tokens, weights),
    )


def _link_seconds(
    situation: Situation, prompt_tokens: int, weights: CostWeights
) -> float:
    if situation.same_region:
        return 0
    sent = prompt_tokens * BYTES_PER_PROMPT_TOKEN
    transfer = sent / weights.usable_bytes_per_second
    return weights.link * (transfer + REGION_ROUND_TRIP_SECONDS)
