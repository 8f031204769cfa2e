"""Record the faults of a soak: kind, subject and time."""

import math
from collections.abc import Iterator
from contextlib import contextmanager

import trio
from attrs import define, field

# Subject of stalls of the soak process itself, in which measured times are
# unreliable.
SOAK = 'soak'
STORE = 'store'


@define
class FaultInterval:
    """Represent one fault of a subject; its end is infinite while it lasts."""

    kind: str
    subject: str
    started_at: float
    ended_at: float = math.inf

    def to_text(self, start: float) -> str:
        """Return the fault as one line, in seconds from the start."""
        begin = round(self.started_at - start, 2)
        end = round(self.ended_at - start, 2)
        return f'{begin} to {end} {self.kind} {self.subject}'


@define(eq=False)
class FaultLog:
    """Record faults in the order of their start."""

    start: float
    intervals: list[FaultInterval] = field(factory=list)

    def begin(self, kind: str, subject: str, now: float) -> FaultInterval:
        """Record the start of a fault."""
        interval = FaultInterval(kind, subject, now)
        self.intervals.append(interval)
        return interval

    def has_fault_between(
        self, subjects: set[str], since: float, until: float
    ) -> bool:
        """Return whether a fault of one of the subjects overlaps the period."""
        return any(
            interval.subject in subjects
            and interval.started_at <= until
            and interval.ended_at >= since
            for interval in self.intervals
        )

    def to_text(self) -> str:
        """Return all faults so far, one a line."""
        return '\n'.join(
            interval.to_text(self.start) for interval in self.intervals
        )


@contextmanager
def recorded_fault(log: FaultLog, kind: str, subject: str) -> Iterator[None]:
    """Record a fault that lasts as long as the block."""
    interval = log.begin(kind, subject, trio.current_time())
    try:
        yield
    finally:
        interval.ended_at = trio.current_time()
