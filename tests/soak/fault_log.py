"""Remember which subjects were disturbed, and when."""

import math
from collections.abc import Iterator
from contextlib import contextmanager

import trio
from attrs import define, field

# A stall of the soak itself makes its measured times uncertain.
SOAK = 'soak'
STORE = 'store'


@define
class FaultInterval:
    """Hold one fault of a subject; a fault that lasts has no end yet."""

    kind: str
    subject: str
    started_at: float
    ended_at: float = math.inf

    def to_text(self, start: float) -> str:
        """Return the fault as a line of the schedule."""
        begin = round(self.started_at - start, 2)
        end = round(self.ended_at - start, 2)
        return f'{begin} to {end} {self.kind} {self.subject}'


@define(eq=False)
class FaultLog:
    """Hold the faults in the order in which they began."""

    start: float
    intervals: list[FaultInterval] = field(factory=list)

    def begin(self, kind: str, subject: str, now: float) -> FaultInterval:
        """Note the begin of a fault."""
        interval = FaultInterval(kind, subject, now)
        self.intervals.append(interval)
        return interval

    def has_fault_between(
        self, subjects: set[str], since: float, until: float
    ) -> bool:
        """Tell whether a subject was disturbed at some time between."""
        return any(
            interval.subject in subjects
            and interval.started_at <= until
            and interval.ended_at >= since
            for interval in self.intervals
        )

    def to_text(self) -> str:
        """Return the schedule so far."""
        return '\n'.join(
            interval.to_text(self.start) for interval in self.intervals
        )


@contextmanager
def recorded_fault(log: FaultLog, kind: str, subject: str) -> Iterator[None]:
    """Note a fault that lasts as long as the block."""
    interval = log.begin(kind, subject, trio.current_time())
    try:
        yield
    finally:
        interval.ended_at = trio.current_time()
