"""Stop sending to a runner that fails, and probe it for recovery."""

from enum import Enum

from attrs import define, frozen

MAX_OPEN_SECONDS = 60


@frozen
class BreakerLimits:
    """Say when a breaker opens and for how long at first."""

    failures: int = 3
    open_seconds: float = 0.5


DEFAULT_LIMITS = BreakerLimits()


class BreakerState(Enum):
    """Say whether a runner may be sent calls."""

    closed = 'closed'
    open = 'open'
    probing = 'probing'


@define(eq=False)
class CircuitBreaker:
    """Open after failures in a row; let one probe through at a time."""

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
        """Make the call just sent the probe if the breaker was open."""
        if self.state is BreakerState.open and now >= self.open_until:
            self.state = BreakerState.probing

    def succeeded(self) -> None:
        """Close the breaker."""
        self.failures = 0
        self.openings = 0
        self.state = BreakerState.closed

    def failed(
        self, now: float, limits: BreakerLimits = DEFAULT_LIMITS
    ) -> None:
        """Count a failure; open at the limit or when a probe failed."""
        self.failures += 1
        probe_failed = self.state is BreakerState.probing
        if probe_failed or self.failures >= limits.failures:
            self._open(now, limits)

    def abandoned(self, now: float) -> None:
        """Let another probe go when one ended without a result."""
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
