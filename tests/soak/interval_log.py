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
class Disturbance:
    """Hold one fault of a subject; a fault that lasts has no end yet."""

    kind: str
    subject: str
    began: float
    ended: float = math.inf

    def to_text(self, start: float) -> str:
        """Return the fault as a line of the schedule."""
        begin = round(self.began - start, 2)
        end = round(self.ended - start, 2)
        return f'{begin} to {end} {self.kind} {self.subject}'


@define(eq=False)
class IntervalLog:
    """Hold the faults in the order in which they began."""

    start: float
    rows: list[Disturbance] = field(factory=list)

    def begin(self, kind: str, subject: str, now: float) -> Disturbance:
        """Note the begin of a fault."""
        row = Disturbance(kind, subject, now)
        self.rows.append(row)
        return row

    def touched(self, subjects: set[str], since: float, until: float) -> bool:
        """Tell whether a subject was disturbed at some time between."""
        return any(
            row.subject in subjects
            and row.began <= until
            and row.ended >= since
            for row in self.rows
        )

    def to_text(self) -> str:
        """Return the schedule so far."""
        return '\n'.join(row.to_text(self.start) for row in self.rows)


@contextmanager
def lasting(log: IntervalLog, kind: str, subject: str) -> Iterator[None]:
    """Note a fault that lasts as long as the block."""
    row = log.begin(kind, subject, trio.current_time())
    try:
        yield
    finally:
        row.ended = trio.current_time()
