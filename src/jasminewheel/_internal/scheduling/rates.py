"""Estimate the speed of a target's runners."""

from attrs import define

SMOOTHING_FACTOR = 0.1
DEFAULT_PREFILL_SECONDS_PER_TOKEN = 0.0001
DEFAULT_SERVICE_SECONDS = 0.2
DEFAULT_ANSWER_TOKENS = 50
DEFAULT_CROWDING_SECONDS = 0.0005
DEFAULT_TOKEN_SECONDS = 0.005
DEFAULT_RUNNING = 4
MIN_VARIANCE = 0.5
MIN_SLOPE_SHARE = 0.1
# With fewer computed tokens, the network dominates the time of a prefill.
MIN_MEASURED_TOKENS = 256
MAX_PREFILL_SECONDS_PER_TOKEN = 0.01


@define(eq=False)
class CrowdingSlope:
    """Fit how much each other call slows a token, with exponential decay."""

    mean_running: float = DEFAULT_RUNNING
    mean_seconds: float = DEFAULT_TOKEN_SECONDS
    variance: float = 1
    covariance: float = DEFAULT_CROWDING_SECONDS

    def learn(self, running: float, token_seconds: float) -> None:
        """Record the time per token of one call."""
        running_deviation = running - self.mean_running
        seconds_deviation = token_seconds - self.mean_seconds
        self.mean_running += SMOOTHING_FACTOR * running_deviation
        self.mean_seconds += SMOOTHING_FACTOR * seconds_deviation
        self.variance += SMOOTHING_FACTOR * (
            running_deviation**2 - self.variance
        )
        product = running_deviation * seconds_deviation
        self.covariance += SMOOTHING_FACTOR * (product - self.covariance)

    @property
    def seconds(self) -> float:
        """Return the seconds that each other call adds to a token."""
        slope = self.covariance / max(self.variance, MIN_VARIANCE)
        # Concurrent prefills distort the fitted slope, down to zero or below.
        return max(MIN_SLOPE_SHARE * self.mean_seconds, slope)


@define(eq=False)
class TargetRates:
    """Represent the estimated rates of one target."""

    crowding: CrowdingSlope
    prefill_seconds_per_token: float = DEFAULT_PREFILL_SECONDS_PER_TOKEN
    service_seconds: float = DEFAULT_SERVICE_SECONDS
    answer_tokens: float = DEFAULT_ANSWER_TOKENS

    def learn_prefill(self, computed_tokens: int, seconds: float) -> None:
        """Record the time to the first token of a call."""
        if computed_tokens < MIN_MEASURED_TOKENS:
            return
        measured = min(seconds / computed_tokens, MAX_PREFILL_SECONDS_PER_TOKEN)
        change = measured - self.prefill_seconds_per_token
        self.prefill_seconds_per_token += SMOOTHING_FACTOR * change

    def learn_answer(
        self, tokens: int, decode_seconds: float, running: float
    ) -> None:
        """Record the length and speed of an answer."""
        self.answer_tokens += SMOOTHING_FACTOR * (tokens - self.answer_tokens)
        if tokens > 1:
            self.crowding.learn(running, decode_seconds / tokens)

    def learn_service(self, seconds: float) -> None:
        """Record the total time of a call at its runner."""
        self.service_seconds += SMOOTHING_FACTOR * (
            seconds - self.service_seconds
        )


def new_rates() -> TargetRates:
    """Return the rates assumed before the first call ends."""
    return TargetRates(CrowdingSlope())
