"""Estimate how much slower a runner is than the others of its target."""

from attrs import define

# A runner that was slow gets its share of the calls back as this passes.
HALF_LIFE_SECONDS = 3.0
NEWEST_WEIGHT = 0.5
MAX_RATIO = 10.0


@define(eq=False)
class RunnerPace:
    """Track the time of calls at one runner, as a ratio to the usual time.

    The estimate returns to 1 by itself, since few calls go to a slow runner
    and tell that it is well again.
    """

    ratio: float = 1
    learned_at: float = 0
    newest_weight: float = NEWEST_WEIGHT
    half_life_seconds: float = HALF_LIFE_SECONDS

    def estimate(self, now: float) -> float:
        """Return how many times as long as usual calls take."""
        age = max(0, now - self.learned_at)
        return 1 + (self.ratio - 1) * 0.5 ** (age / self.half_life_seconds)

    def learn(self, ratio: float, now: float) -> None:
        """Record a call that took this many times as long as usual."""
        known = self.estimate(now)
        self.ratio = known + self.newest_weight * (
            min(ratio, MAX_RATIO) - known
        )
        self.learned_at = now

    def learn_at_least(self, ratio: float, now: float) -> None:
        """Record a call that was given up after this many times as long."""
        if ratio > self.estimate(now):
            self.learn(ratio, now)

    def delay_seconds(self, usual_seconds: float, now: float) -> float:
        """Return how much longer than usual a call is expected to take."""
        return max(0, self.estimate(now) - 1) * usual_seconds
