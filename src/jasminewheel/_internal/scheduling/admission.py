"""Refuse calls whose expected wait is too long, so that queues stay short."""

from attrs import define, frozen

SMOOTHING_FACTOR = 0.1
# Completions needed before a wait is estimated; until then it counts as 0.
MIN_COMPLETIONS = 20
MIN_RETRY_AFTER_SECONDS = 0.5
# Longest gap that is counted, so that an idle period hardly raises the mean.
MAX_GAP_SECONDS = 5


@define(eq=False)
class Throughput:
    """Estimate the mean time between the ends of a target's calls."""

    completions: int = 0
    ended_at: float = 0
    mean_gap_seconds: float = 0

    def record_completion(self, now: float) -> None:
        """Record the end of a call."""
        if self.completions:
            gap = min(now - self.ended_at, MAX_GAP_SECONDS)
            self.mean_gap_seconds += SMOOTHING_FACTOR * (
                gap - self.mean_gap_seconds
            )
        self.completions += 1
        self.ended_at = now

    def expected_wait(self, calls_ahead: int) -> float:
        """Return the expected seconds until `calls_ahead` calls have ended."""
        if self.completions < MIN_COMPLETIONS:
            return 0
        return calls_ahead * self.mean_gap_seconds


@frozen
class Refusal:
    """Represent why a call is refused and when to retry it."""

    reason: str
    retry_after_seconds: float


def check_admission(
    calls_ahead: int,
    max_wait_seconds: float,
    throughput: Throughput,
) -> Refusal | None:
    """Return a refusal if the expected wait exceeds the maximum."""
    expected = throughput.expected_wait(calls_ahead)
    if expected <= max_wait_seconds:
        return None
    retry = max(MIN_RETRY_AFTER_SECONDS, expected - max_wait_seconds)
    return Refusal(
        f'expected wait of {expected:.1f} s exceeds the limit', retry
    )
