"""Stop sending calls to a failing runner and probe it for recovery."""

from enum import Enum

from attrs import define, frozen

MAX_OPEN_SECONDS = 60


@frozen
class BreakerLimits:
    """Configure after how many failures a breaker opens, and for how long.

    `open_seconds` is the first open period; it doubles with each reopening.
    """

    failures: int = 3
    open_seconds: float = 0.5


DEFAULT_LIMITS = BreakerLimits()


class BreakerState(Enum):
    """Represent the state of a circuit breaker."""

    closed = 'closed'
    open = 'open'
    probing = 'probing'


@define(eq=False)
class CircuitBreaker:
    """Open after consecutive failures; allow one probe at a time."""

    failures: int = 0
    openings: int = 0
    open_until: float = 0
    state: BreakerState = BreakerState.closed

    def allows(self, now: float) -> bool:
        """Return whether a call may be sent."""
        if self.state is BreakerState.closed:
            return True
        return self.state is BreakerState.open and now >= self.open_until

    def sent(self, now: float) -> None:
        """Mark the call just sent as the probe if the open period is over."""
        if self.state is BreakerState.open and now >= self.open_until:
            self.state = BreakerState.probing

    def succeeded(self) -> None:
        """Record a success and close the breaker."""
        self.failures = 0
        self.openings = 0
        self.state = BreakerState.closed

    def failed(
        self, now: float, limits: BreakerLimits = DEFAULT_LIMITS
    ) -> None:
        """Record a failure; open at the limit or when a probe failed."""
        self.failures += 1
        probe_failed = self.state is BreakerState.probing
        if probe_failed or self.failures >= limits.failures:
            self._open(now, limits)

    def abandoned(self, now: float) -> None:
        """Allow another probe after one ended without a result."""
        if self.state is BreakerState.probing:
            self.state = BreakerState.open
            self.open_until = now

    def _open(self, now: float, limits: BreakerLimits) -> None:
        if self.state is BreakerState.open and now < self.open_until:
            return
        pause = min(limits.open_seconds * 2**self.openings, MAX_OPEN_SECONDS)
        self.openings += 1
        self.open_until = now + pause
        self.state = BreakerState.open
