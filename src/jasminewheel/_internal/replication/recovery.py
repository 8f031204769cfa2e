"""Read a log at a majority and complete what an earlier owner left."""

from collections import Counter
from collections.abc import Callable, Iterator

from attrs import define, field, frozen

from jasminewheel._internal.replication.fence import Fence
from jasminewheel._internal.replication.record import DROPPED_KIND, LogRecord
from jasminewheel._internal.replication.replicas import (
    Replicas,
    SlotTarget,
    Votes,
)
from jasminewheel._internal.wire.gen.history import ttypes as wire
from jasminewheel.errors import (
    DamagedError,
    JasminewheelError,
    PeerError,
    QuorumError,
)

# What one request may carry: 1 MiB.
BATCH_BYTES = 1048576


@frozen
class RecoveredLog:
    """Hold a log's records, all of them at a majority now."""

    records: list[LogRecord]
    dropped: bool = False


@define
class LogSurvey:
    """Hold what each answering replica has of one log."""

    answers: dict[str, wire.LogIndexed]
    fences_by_replica: dict[str, dict[int, Fence]] = field(factory=dict)
    highest_fences: dict[int, Fence] = field(factory=dict)
    first: int = 0

    def __attrs_post_init__(self) -> None:
        """Find the highest fence of each index."""
        for replica, answer in self.answers.items():
            self.first = max(self.first, answer.first)
            self.fences_by_replica[replica] = {
                entry.index: Fence.from_wire(entry.fence)
                for entry in answer.entries
            }
        for fences in self.fences_by_replica.values():
            for index, fence in fences.items():
                self.record_fence(index, fence)

    def record_fence(self, index: int, fence: Fence) -> None:
        """Keep the fence if it is the highest of its index."""
        if index < self.first:
            return
        known = self.highest_fences.get(index)
        self.highest_fences[index] = max(known, fence) if known else fence

    @property
    def dropped(self) -> bool:
        """Tell whether any replica knows that the log was dropped."""
        return any(answer.dropped for answer in self.answers.values())

    def indexes(self) -> list[int]:
        """Return the indexes of the log; refuse a log with a hole."""
        indexes = sorted(self.highest_fences)
        expected = list(range(self.first, self.first + len(indexes)))
        if indexes != expected:
            raise DamagedError(f'a log has holes: {indexes}')
        return indexes

    def holders(self, index: int) -> list[str]:
        """Return the replicas that hold the record of the highest fence."""
        winner = self.highest_fences[index]
        return [
            replica
            for replica, fences in self.fences_by_replica.items()
            if fences.get(index) == winner
        ]

    def indexes_to_write(self, replica: str, target: SlotTarget) -> list[int]:
        """Return the indexes to write at the replica.

        A record before the last is known to be chosen, so it is only filled
        in where it lacks. The last may be chosen or not: unless a majority
        holds it under one fence, it is written again everywhere.
        """
        indexes = self.indexes()
        missing = [
            index for index in indexes if replica not in self.holders(index)
        ]
        last = indexes[-1:]
        if missing[-1:] == last or not last:
            return missing
        if target.sets.has_majority(self.holders(last[0])):
            return missing
        return missing + last


def ignore_progress(records: int) -> None:
    """Note nothing of records that were moved."""


@frozen
class Recovery:
    """Recover one log of a slot that is sealed at the target's fence.

    `advance` is told of records as they are read and written.
    """

    replicas: Replicas
    target: SlotTarget
    log: str
    advance: Callable[[int], None] = ignore_progress

    async def run(self, *, everywhere: bool = False) -> RecoveredLog:
        """Return the log; everywhere also waits for slow replicas."""
        survey = await self.survey(everywhere=everywhere)
        records: list[LogRecord] = []
        if not survey.dropped:
            found = await self.fetch(survey)
            await self.complete(survey, found, everywhere=everywhere)
            records = [found[index] for index in sorted(found)]
        if survey.dropped or ends_log(records):
            await self.drop()
            return RecoveredLog([], dropped=True)
        return RecoveredLog(records)

    async def survey(self, *, everywhere: bool) -> LogSurvey:
        """Ask what the replicas hold."""
        votes = self.replicas.ask_all(
            self.target.sets,
            lambda name: wire.ReadIndex(self.target.scope(name), self.log),
            wire.LogIndexed,
        )
        if everywhere:
            await votes.wait_all()
        else:
            await votes.wait_majority()
        return LogSurvey(dict(votes.accepted))

    async def drop(self) -> None:
        """Drop the log at a majority."""
        votes = self.replicas.ask_all(
            self.target.sets,
            lambda name: wire.DropLog(self.target.scope(name), self.log),
            wire.Acknowledged,
        )
        await votes.wait_majority()

    async def fetch(self, survey: LogSurvey) -> dict[int, LogRecord]:
        """Read each record from a replica that has its highest fence."""
        records: dict[int, LogRecord] = {}
        failed: dict[str, JasminewheelError] = {}
        missing = survey.indexes()
        while missing:
            source = _best_source(survey, missing, failed)
            available = [
                index for index in missing if source in survey.holders(index)
            ]
            try:
                records.update(await self.fetch_from(source, available))
            except JasminewheelError as error:
                failed[source] = error
            missing = [index for index in missing if index not in records]
        return records

    async def fetch_from(
        self, source: str, indexes: list[int]
    ) -> dict[int, LogRecord]:
        """Read records from one replica."""
        request = wire.ReadRecords(self.target.scope(source), self.log, indexes)
        found: dict[int, LogRecord] = {}
        pool = self.replicas.pool
        address = self.replicas.address(source)
        async with pool.stream(address, request, wire.LogPage) as pages:
            async for page in pages:
                self.advance(len(page.records))
                found.update(
                    (record.index, record_from_wire(record))
                    for record in page.records
                )
        if len(found) < len(indexes):
            raise QuorumError(f'{source} no longer holds {self.log}')
        return found

    async def complete(
        self,
        survey: LogSurvey,
        records: dict[int, LogRecord],
        *,
        everywhere: bool,
    ) -> None:
        """Write what replicas lack until a majority holds the whole log."""
        votes = Votes(self.target.sets)
        for replica in self.target.sets.members():
            if replica not in survey.fences_by_replica:
                votes.fail(replica, PeerError(f'{replica} did not answer'))
                continue
            missing = survey.indexes_to_write(replica, self.target)
            lacking = [records[index] for index in missing]
            self.replicas.pool.nursery.start_soon(
                self.write_missing, votes, replica, lacking
            )
        if everywhere:
            await votes.wait_all()
        else:
            await votes.wait_majority()

    async def write_missing(
        self, votes: Votes, replica: str, lacking: list[LogRecord]
    ) -> None:
        """Write what one replica lacks and add its vote."""
        answer = wire.Acknowledged(accepted=True)
        while lacking and answer.accepted:
            batch = [record_to_wire(record) for record in take_batch(lacking)]
            request = wire.AppendRecords(
                self.target.scope(replica), self.log, batch
            )
            try:
                answer = await self.replicas.ask(
                    replica, request, wire.Acknowledged
                )
            except JasminewheelError as error:
                votes.fail(replica, error)
                return
            self.advance(len(batch))
        votes.add(replica, answer)


def ends_log(records: list[LogRecord]) -> bool:
    """Tell whether the last record says that the log is dropped."""
    return bool(records) and records[-1].kind == DROPPED_KIND


def take_batch(records: list[LogRecord]) -> list[LogRecord]:
    """Remove and return about one message's worth of records."""
    batch: list[LogRecord] = []
    count = 0
    while records and count < BATCH_BYTES:
        count += len(records[0].payload)
        batch.append(records.pop(0))
    return batch


def record_from_wire(record: wire.WireRecord) -> LogRecord:
    """Return the record of a message."""
    return LogRecord(
        record.index, record.kind, record.payload, bool(record.snapshot)
    )


def record_to_wire(record: LogRecord) -> wire.WireRecord:
    """Return the wire form of a record."""
    return wire.WireRecord(
        index=record.index,
        kind=record.kind,
        payload=record.payload,
        snapshot=record.snapshot,
    )


def _best_source(
    survey: LogSurvey,
    missing: list[int],
    failed: dict[str, JasminewheelError],
) -> str:
    counts = Counter(_usable_holders(survey, missing, failed))
    if not counts:
        raise QuorumError(f'no replica gives the records: {failed}')
    return counts.most_common(1)[0][0]


def _usable_holders(
    survey: LogSurvey,
    missing: list[int],
    failed: dict[str, JasminewheelError],
) -> Iterator[str]:
    for index in missing:
        for replica in survey.holders(index):
            if replica not in failed:
                yield replica
