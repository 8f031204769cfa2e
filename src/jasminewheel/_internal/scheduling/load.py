"""Correct a runner's reported load by what was sent since the report."""

from collections import deque

from attrs import define, field, frozen

DEFAULT_LAG_SECONDS = 0.2
HISTORY_SECONDS = 10
# A report this old says nothing about other entries' calls any more.
REPORT_LIFE_SECONDS = 10


@frozen
class LoadReport:
    """Hold what an engine says of itself, late by its lag."""

    running: int
    waiting: int
    kv_used_tokens: int
    kv_capacity_tokens: int


@frozen
class _Step:
    at: float
    running: int


@define(eq=False)
class RunnerLoad:
    """Estimate how many calls one runner has now."""

    lag_seconds: float = DEFAULT_LAG_SECONDS
    report: LoadReport | None = None
    reported_at: float = 0
    own_running: int = 0
    others_running: float = 0
    steps: deque[_Step] = field(factory=deque)

    def started(self, now: float) -> None:
        """Count a call sent by this entry."""
        self.own_running += 1
        self._remember(now)

    def ended(self, now: float) -> None:
        """Count an end of a call sent by this entry."""
        self.own_running -= 1
        self._remember(now)

    def reported(self, report: LoadReport, now: float) -> None:
        """Take in a report; what is not this entry's is the others'."""
        self.report = report
        self.reported_at = now
        total = report.running + report.waiting
        own_then = self._own_at(now - self.lag_seconds)
        self.others_running = max(0, total - own_then)

    def estimate(self, now: float) -> float:
        """Return the calls that the runner has now."""
        return self.own_running + self.others(now)

    def others(self, now: float) -> float:
        """Return the calls of other entries, fading as the report ages."""
        age = now - self.reported_at
        if age >= REPORT_LIFE_SECONDS:
            return 0
        return self.others_running * (1 - age / REPORT_LIFE_SECONDS)

    def _own_at(self, moment: float) -> int:
        running = self.own_running
        for step in reversed(self.steps):
            running = step.running
            if step.at <= moment:
                return running
        return 0 if self.steps else running

    def _remember(self, now: float) -> None:
        self.steps.append(_Step(now, self.own_running))
        while len(self.steps) > 1 and self.steps[1].at < now - HISTORY_SECONDS:
            self.steps.popleft()
