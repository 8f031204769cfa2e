"""Limit rates by token buckets."""

from attrs import define, field


@define
class TokenBucket:
    """Allow a number of units a second, with a burst."""

    rate: float
    burst: float
    level: float = field(init=False)
    filled_at: float | None = None

    def __attrs_post_init__(self) -> None:
        """Start with a full bucket."""
        self.level = self.burst

    def take(self, now: float, amount: float = 1) -> bool:
        """Take the amount if the bucket holds it."""
        self.fill(now)
        if self.level < amount:
            return False
        self.level -= amount
        return True

    def take_later(self, now: float, amount: float) -> float:
        """Take the amount in advance; return the seconds to wait for it."""
        self.fill(now)
        self.level -= amount
        return max(0, -self.level / self.rate)

    def fill(self, now: float) -> None:
        """Add what came in since the last call."""
        if self.filled_at is not None:
            grown = self.level + (now - self.filled_at) * self.rate
            self.level = min(self.burst, grown)
        self.filled_at = now
