"""Refuse early what would wait too long, before queues grow without bound."""

from attrs import define, frozen

SMOOTHING_FACTOR = 0.1
# Below this many measured completions the expected wait is not judged.
MIN_COMPLETIONS = 20
MIN_RETRY_AFTER_SECONDS = 0.5
MAX_GAP_SECONDS = 5


@define(eq=False)
class Throughput:
    """Measure how many calls of a target end each second."""

    completions: int = 0
    ended_at: float = 0
    mean_gap_seconds: float = 0

    def record_completion(self, now: float) -> None:
        """Take in the end of a call."""
        if self.completions:
            gap = min(now - self.ended_at, MAX_GAP_SECONDS)
            self.mean_gap_seconds += SMOOTHING_FACTOR * (
                gap - self.mean_gap_seconds
            )
        self.completions += 1
        self.ended_at = now

    def expected_wait(self, calls_ahead: int) -> float:
        """Return the seconds until so many calls ended."""
        if self.completions < MIN_COMPLETIONS:
            return 0
        return calls_ahead * self.mean_gap_seconds


@frozen
class Refusal:
    """Say why a call is refused and when a retry makes sense."""

    reason: str
    retry_after_seconds: float


def check_admission(
    calls_ahead: int,
    max_wait_seconds: float,
    throughput: Throughput,
) -> Refusal | None:
    """Return a refusal if the call would wait longer than it may."""
    expected = throughput.expected_wait(calls_ahead)
    if expected <= max_wait_seconds:
        return None
    retry = max(MIN_RETRY_AFTER_SECONDS, expected - max_wait_seconds)
    return Refusal(f'expected to wait {expected:.1f} s', retry)
