"""Correct a runner's reported load by the calls sent since the report."""

from collections import deque

from attrs import define, field, frozen

from jasminewheel._internal.targets.load_report import LoadReport

DEFAULT_LAG_SECONDS = 0.2
HISTORY_RETENTION_SECONDS = 10
# Older reports are ignored: the calls of other entries may have ended.
MAX_REPORT_AGE_SECONDS = 10
# Weight assumed for a call of another entry: reports omit its priority.
OTHER_CALL_WEIGHT = 2


@frozen
class _RunningCount:
    at: float
    running: int


@define(eq=False)
class RunnerLoad:
    """Estimate the number and weight of the calls at one runner."""

    lag_seconds: float = DEFAULT_LAG_SECONDS
    reported_at: float = 0
    # The calls of all entries, as of then.
    reported_calls: int = 0
    own_running: int = 0
    own_weight: float = 0
    others_running: int = 0
    counts: deque[_RunningCount] = field(factory=deque)

    def started(self, now: float, weight: float = 1) -> None:
        """Record the start of a call sent by this entry."""
        self.own_running += 1
        self.own_weight += weight
        self._record_count(now)

    def ended(self, now: float, weight: float = 1) -> None:
        """Record the end of a call sent by this entry."""
        self.own_running -= 1
        self.own_weight -= weight
        self._record_count(now)

    def reported(self, report: LoadReport, now: float) -> None:
        """Apply a report; count calls not sent by this entry as others'."""
        self.reported_at = now
        total = report.running + report.waiting
        self.reported_calls = total
        own_then = self._own_running_at(now - self.lag_seconds)
        self.others_running = max(0, total - own_then)

    def estimate(self, now: float) -> int:
        """Return the estimated number of calls at the runner."""
        if now - self.reported_at > MAX_REPORT_AGE_SECONDS:
            return self.own_running
        return self.own_running + self.others_running

    def weight(self, now: float) -> float:
        """Return the estimated total weight of the calls at the runner."""
        others = self.estimate(now) - self.own_running
        return self.own_weight + OTHER_CALL_WEIGHT * others

    def _own_running_at(self, moment: float) -> int:
        for count in reversed(self.counts):
            if count.at <= moment:
                return count.running
        return 0 if self.counts else self.own_running

    def _record_count(self, now: float) -> None:
        self.counts.append(_RunningCount(now, self.own_running))
        while (
            len(self.counts) > 1
            and self.counts[1].at < now - HISTORY_RETENTION_SECONDS
        ):
            self.counts.popleft()
