"""Estimate how long a runner takes until it has read a prompt.

What a runner has to read before is counted in tokens, from the number of calls
there and the usual number of tokens that a call makes it read.
"""

import math

from attrs import define, field

from jasminewheel._internal.gateway.runners import RunnerView

DEFAULT_SECONDS_PER_TOKEN = 0.00003
MIN_SECONDS_PER_TOKEN = 0.000001
MAX_SECONDS_PER_TOKEN = 0.001
DEFAULT_CALL_TOKENS = 1000.0
SMOOTHING_FACTOR = 0.05
# Of the calls at a runner so many are still being read; the others write.
READING_SHARE = 0.6
# With fewer tokens to read, the way and the first step take most of the time.
MIN_MEASURED_TOKENS = 300
# Reported loads lose half of their weight in this time, against the mean of
# the target's runners.
LOAD_HALF_LIFE_SECONDS = 1.0
# Runners are taken to be faster or slower than the mean by this at most; what
# is beyond comes from what they had to read before.
MIN_PACE = 0.6
MAX_PACE = 1.7


@define(eq=False)
class ReadingTime:
    """Track how fast the runners of one target read, and what they read."""

    seconds_per_token: float = DEFAULT_SECONDS_PER_TOKEN
    call_tokens: float = DEFAULT_CALL_TOKENS
    # The mean number of calls at a runner, as far as reported.
    mean_load: float = 0
    # Reports counted in the mean.
    reports: int = 0

    def record_load(self, calls: int) -> None:
        """Record the number of calls that a runner reported."""
        self.reports += 1
        weight = max(SMOOTHING_FACTOR, 1 / self.reports)
        self.mean_load += weight * (calls - self.mean_load)

    def load(self, view: RunnerView, now: float) -> float:
        """Return how many calls are expected at a runner.

        The older the latest report, the more the mean of all runners counts.
        """
        age = max(0, now - view.load.reported_at)
        weight = 0.5 ** (age / LOAD_HALF_LIFE_SECONDS)
        known = view.load.own_running + view.load.others_running
        expected = weight * known + (1 - weight) * self.mean_load
        return max(expected, view.load.own_running)

    def tokens(self, view: RunnerView, missing: int, now: float) -> float:
        """Return how many tokens a runner reads until it has read a prompt."""
        own = sum(view.reading.values())
        others = max(0, self.load(view, now) - view.load.own_running)
        before = own + others * READING_SHARE * self.call_tokens
        return missing + before

    def cost_seconds(self, view: RunnerView, missing: int, now: float) -> float:
        """Return the time that a prompt costs its caller and the others.

        What a runner reads delays the calls that wait there, about as many as
        at any other runner, and so counts for each of them.
        """
        others = self.mean_load * READING_SHARE
        tokens = self.tokens(view, missing, now) + missing * others
        return tokens * self.seconds_per_token * reading_pace(view, now)

    def learn(
        self,
        view: RunnerView,
        missing: int,
        expected_tokens: float,
        seconds: float,
        now: float,
    ) -> None:
        """Learn from the time until an answer began."""
        self.call_tokens += SMOOTHING_FACTOR * (missing - self.call_tokens)
        if expected_tokens < MIN_MEASURED_TOKENS:
            return
        per_token = seconds / expected_tokens
        view.reading_pace.learn(per_token / self.seconds_per_token, now)
        change = per_token - self.seconds_per_token
        learned = self.seconds_per_token + SMOOTHING_FACTOR * change
        self.seconds_per_token = min(
            MAX_SECONDS_PER_TOKEN, max(MIN_SECONDS_PER_TOKEN, learned)
        )


def reading_pace(view: RunnerView, now: float) -> float:
    """Return how many times as long as the mean a runner reads."""
    pace = view.reading_pace.estimate(now)
    return min(MAX_PACE, max(MIN_PACE, pace))


@define(eq=False)
class ReadingTimes:
    """Hold the reading times of all targets."""

    by_target: dict[str, ReadingTime] = field(factory=dict)
    # When a prompt was last placed by them.
    used_at: float = -math.inf

    def of_target(self, target: str) -> ReadingTime:
        """Return what is known of one target."""
        return self.by_target.setdefault(target, ReadingTime())

    def is_active(self, now: float, seconds: float) -> bool:
        """Return whether a prompt was placed so recently."""
        return now - self.used_at < seconds
