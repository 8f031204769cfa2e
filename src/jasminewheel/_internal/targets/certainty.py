"""Know for how long orders may go to runners that ignore fences."""

from attrs import define


@define
class LeaseCertainty:
    """Tell whether the lease of this process certainly holds.

    Times are of the process's own monotonic clock, in seconds. A renewal
    counts from before its request was sent, since the service may have
    extended the lease at any moment after.
    """

    certain_until: float = 0

    def renewed(self, sent_at: float, ttl_seconds: float) -> None:
        """Take in that a renewal sent at a time was granted."""
        self.certain_until = max(self.certain_until, sent_at + ttl_seconds)

    def given_up(self) -> None:
        """Take in that the lease was revoked."""
        self.certain_until = 0

    def covers(self, now: float, order_seconds: float) -> bool:
        """Tell whether an order that takes so long ends within the lease."""
        return now + order_seconds < self.certain_until
