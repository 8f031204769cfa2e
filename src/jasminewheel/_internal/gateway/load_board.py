"""Share the loads that runners report among the entries.

This answers many entries that each call a runner seldom: what one entry was
told by a runner is known to the others soon after.
"""

from collections.abc import Iterable, Iterator

from attrs import define, field, frozen

# Older reports say nothing about the present load.
MAX_REPORT_AGE_SECONDS = 3.0


@frozen
class ReportedCalls:
    """Represent the calls that a runner reported at a time."""

    runner: str
    calls: int
    reported_at: float


@define(eq=False)
class LoadBoard:
    """Keep the newest report of each runner."""

    reports: dict[str, ReportedCalls] = field(factory=dict)

    def record(self, told: Iterable[ReportedCalls]) -> None:
        """Keep the reports that are newer than those known."""
        for report in told:
            known = self.reports.get(report.runner)
            if known is None or report.reported_at > known.reported_at:
                self.reports[report.runner] = report

    def recent(self, now: float) -> Iterator[ReportedCalls]:
        """Yield the reports that still count, and forget the others."""
        for report in list(self.reports.values()):
            if now - report.reported_at > MAX_REPORT_AGE_SECONDS:
                self.reports.pop(report.runner)
            else:
                yield report
