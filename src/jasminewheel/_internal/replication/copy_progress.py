"""Count and report what an owner has copied under one fence."""

import math

import trio
from attrs import define, field

from jasminewheel._internal.replication.replicas import Replicas, SlotTarget
from jasminewheel._internal.wire.gen.history import ttypes as wire

# Much shorter than the stall timeout of the coordinator of a change.
REPORT_SECONDS = 0.25


@define
class CopyProgress:
    """Count steps of the copy of a slot and report them to its replicas.

    Work on a log that is repeated after a failure counts once, so an owner
    whose recoveries fail at the same place each time makes no progress.
    """

    replicas: Replicas
    target: SlotTarget
    steps: int = 0
    moved_by_log: dict[str, float] = field(factory=dict)
    next_report_at: float = 0

    def record_moved(self, log_id: str, moved_records: int) -> None:
        """Record how many records one recovery of a log has moved so far."""
        known = self.moved_by_log.get(log_id, 0)
        if moved_records > known:
            self.moved_by_log[log_id] = moved_records
            self.add_step(trio.current_time())

    def finish_log(self, log_id: str) -> None:
        """Record that a log is complete; its later records do not count."""
        self.moved_by_log[log_id] = math.inf
        self.add_step(trio.current_time())

    def add_step(self, now: float) -> None:
        """Add a step; report it in the background if the last report is old."""
        self.steps += 1
        if now >= self.next_report_at and self.target.sets.is_changing:
            self.next_report_at = now + REPORT_SECONDS
            self.report()

    def report(self) -> None:
        """Report the steps to the replicas, which the coordinator queries."""
        self.replicas.ask_all(
            self.target.sets,
            lambda name: wire.NoteCopying(self.target.scope(name), self.steps),
            wire.Acknowledged,
        )


@define
class LogProgress:
    """Count the records that one recovery of a log moves."""

    copying: CopyProgress
    log_id: str
    moved_records: int = 0

    def advance(self, records: int) -> None:
        """Count records that were read, or written at one replica."""
        self.moved_records += records
        self.copying.record_moved(self.log_id, self.moved_records)
