"""Correct a runner's reported load by what was sent since the report."""

from collections import deque

from attrs import define, field, frozen

from jasminewheel._internal.targets.load_report import LoadReport

DEFAULT_LAG_SECONDS = 0.2
HISTORY_RETENTION_SECONDS = 10
# A report this old says nothing about other entries' calls any more.
MAX_REPORT_AGE_SECONDS = 10
# Reports do not tell the priorities of other entries' calls.
OTHER_CALL_WEIGHT = 2


@frozen
class _RunningCount:
    at: float
    running: int


@define(eq=False)
class RunnerLoad:
    """Estimate how many calls one runner has now."""

    lag_seconds: float = DEFAULT_LAG_SECONDS
    reported_at: float = 0
    own_running: int = 0
    own_weight: float = 0
    others_running: int = 0
    counts: deque[_RunningCount] = field(factory=deque)

    def started(self, now: float, weight: float = 1) -> None:
        """Count a call sent by this entry."""
        self.own_running += 1
        self.own_weight += weight
        self._record_count(now)

    def ended(self, now: float, weight: float = 1) -> None:
        """Count an end of a call sent by this entry."""
        self.own_running -= 1
        self.own_weight -= weight
        self._record_count(now)

    def reported(self, report: LoadReport, now: float) -> None:
        """Take in a report; what is not this entry's is the others'."""
        self.reported_at = now
        total = report.running + report.waiting
        own_then = self._own_running_at(now - self.lag_seconds)
        self.others_running = max(0, total - own_then)

    def estimate(self, now: float) -> int:
        """Return the calls that the runner has now."""
        if now - self.reported_at > MAX_REPORT_AGE_SECONDS:
            return self.own_running
        return self.own_running + self.others_running

    def weight(self, now: float) -> float:
        """Return the weight of the calls that the runner has now."""
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
