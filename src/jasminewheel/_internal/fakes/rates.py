"""Limit rates by token buckets."""

from attrs import define, field


@define
class TokenBucket:
    """Allow `rate` units per second, with bursts of up to `burst` units."""

    rate: float
    burst: float
    level: float = field(init=False)
    refilled_at: float | None = None

    def __attrs_post_init__(self) -> None:
        """Start with a full bucket."""
        self.level = self.burst

    def take(self, now: float, amount: float = 1) -> bool:
        """Take the amount and return True, or False if the level is lower."""
        self.refill(now)
        if self.level < amount:
            return False
        self.level -= amount
        return True

    def reserve(self, now: float, amount: float) -> float:
        """Take the amount in advance; return the seconds until it is due."""
        self.refill(now)
        self.level -= amount
        return max(0, -self.level / self.rate)

    def refill(self, now: float) -> None:
        """Add the units earned since the last call."""
        if self.refilled_at is not None:
            new_level = self.level + (now - self.refilled_at) * self.rate
            self.level = min(self.burst, new_level)
        self.refilled_at = now
