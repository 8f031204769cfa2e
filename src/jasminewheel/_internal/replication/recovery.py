"""Read a log at a majority and complete the writes of earlier owners."""

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

# Payload after which a request is full: 1 MiB.
BATCH_BYTES = 1048576


@frozen
class RecoveredLog:
    """Represent a log's records once a majority has stored all of them."""

    records: list[LogRecord]
    dropped: bool = False


@define
class LogSurvey:
    """Collect the indexes and fences of one log at each replica."""

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
        """Record the fence if it is the highest of its index."""
        if index < self.first:
            return
        known = self.highest_fences.get(index)
        self.highest_fences[index] = max(known, fence) if known else fence

    @property
    def dropped(self) -> bool:
        """Return whether any replica reports the log as dropped."""
        return any(answer.dropped for answer in self.answers.values())

    def indexes(self) -> list[int]:
        """Return the indexes of the log; raise DamagedError on a gap."""
        indexes = sorted(self.highest_fences)
        expected = list(range(self.first, self.first + len(indexes)))
        if indexes != expected:
            raise DamagedError(f'log has gaps, found only records {indexes}')
        return indexes

    def holders(self, index: int) -> list[str]:
        """Return the replicas that have the record of the highest fence."""
        winner = self.highest_fences[index]
        return [
            replica
            for replica, fences in self.fences_by_replica.items()
            if fences.get(index) == winner
        ]

    def indexes_to_write(self, replica: str, target: SlotTarget) -> list[int]:
        """Return the indexes to write at the replica.

        All records before the last are chosen, so they are written only to
        replicas that lack them. The last may not be chosen: unless a majority
        has it under one fence, it is written again to all replicas.
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
    """Do nothing for moved records."""


@frozen
class Recovery:
    """Recover one log of a slot that is sealed at the target's fence.

    `advance` gets the number of records as they are read and written.
    """

    replicas: Replicas
    target: SlotTarget
    log: str
    advance: Callable[[int], None] = ignore_progress

    async def run(self, *, everywhere: bool = False) -> RecoveredLog:
        """Return the log; `everywhere` also waits for slow replicas."""
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
        """Ask the replicas for the indexes of the log."""
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
            raise QuorumError(f'{source} lacks requested records of {self.log}')
        return found

    async def complete(
        self,
        survey: LogSurvey,
        records: dict[int, LogRecord],
        *,
        everywhere: bool,
    ) -> None:
        """Write missing records until a majority has the complete log."""
        votes = Votes(self.target.sets)
        for replica in self.target.sets.members():
            if replica not in survey.fences_by_replica:
                votes.fail(replica, PeerError(f'{replica} did not answer'))
                continue
            missing = survey.indexes_to_write(replica, self.target)
            missing_records = [records[index] for index in missing]
            self.replicas.pool.nursery.start_soon(
                self.write_missing, votes, replica, missing_records
            )
        if everywhere:
            await votes.wait_all()
        else:
            await votes.wait_majority()

    async def write_missing(
        self, votes: Votes, replica: str, missing_records: list[LogRecord]
    ) -> None:
        """Write the records that one replica lacks and add its vote."""
        answer = wire.Acknowledged(accepted=True)
        while missing_records and answer.accepted:
            batch = [
                record_to_wire(record) for record in take_batch(missing_records)
            ]
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
    """Return whether the last record ends the log."""
    return bool(records) and records[-1].kind == DROPPED_KIND


def take_batch(records: list[LogRecord]) -> list[LogRecord]:
    """Remove and return records for one request of about BATCH_BYTES."""
    batch: list[LogRecord] = []
    count = 0
    while records and count < BATCH_BYTES:
        count += len(records[0].payload)
        batch.append(records.pop(0))
    return batch


def record_from_wire(record: wire.WireRecord) -> LogRecord:
    """Convert a record of a message."""
    return LogRecord(
        record.index, record.kind, record.payload, bool(record.snapshot)
    )


def record_to_wire(record: LogRecord) -> wire.WireRecord:
    """Convert a record for a message."""
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
        raise QuorumError(f'no replica returned the records: {failed}')
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
