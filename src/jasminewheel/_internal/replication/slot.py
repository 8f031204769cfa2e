"""Append to the logs of one owned slot."""

import hashlib
from collections.abc import Callable
from typing import Any

import trio
from attrs import define, field, frozen

from jasminewheel._internal.replication.fence import Fence
from jasminewheel._internal.replication.record import DROPPED_KIND, LogRecord
from jasminewheel._internal.replication.recovery import (
    RecoveredLog,
    Recovery,
    wire_of,
)
from jasminewheel._internal.replication.replicas import (
    Replicas,
    Target,
    Votes,
)
from jasminewheel._internal.wire.gen.history import ttypes as wire
from jasminewheel.errors import (
    ConflictError,
    DiskFullError,
    FencedError,
    NotFoundError,
)

DIGEST_BYTES = 16


@define
class LogTail:
    """Know where a log ends; one task at a time works on the log."""

    lock: trio.Lock = field(factory=trio.Lock)
    known: bool = False
    dropped: bool = False
    next_index: int = 0
    last_digest: bytes = b''
    unsettled: bytes = b''

    def recovered(self, log: RecoveredLog) -> None:
        """Take over what a recovery found."""
        self.known = True
        self.dropped = log.dropped
        if log.records and log.records[-1].index >= self.next_index:
            last = log.records[-1]
            self.next_index = last.index + 1
            self.last_digest = digest_of(last)
            self.unsettled = b''

    def admits(self, record: LogRecord) -> bool:
        """Tell whether to append; False if it is the last record already."""
        digest = digest_of(record)
        if record.index == self.next_index - 1 and digest == self.last_digest:
            return False
        if record.index != self.next_index:
            raise ConflictError(
                f'record {record.index} is not the next, {self.next_index}',
            )
        if self.unsettled not in {b'', digest}:
            # A replica may hold the other record under the same fence.
            raise ConflictError(
                f'another record {record.index} has an unknown outcome',
                remedy='append the same record again',
            )
        self.unsettled = digest
        return True

    def appended(self, record: LogRecord) -> None:
        """Move past a record that a majority holds."""
        self.next_index = record.index + 1
        self.last_digest = self.unsettled
        self.unsettled = b''


@frozen
class SealedLogs:
    """Hold the names of a slot's logs as its replicas listed them."""

    live: frozenset[str]
    dropped: frozenset[str]


class OwnedSlot:
    """Read and append as the owner of a slot, until fenced off."""

    def __init__(
        self,
        replicas: Replicas,
        target: Target,
        logs: SealedLogs,
    ) -> None:
        """Start at a seal."""
        self.replicas = replicas
        self.target = target
        self.logs = logs
        self.tails: dict[str, LogTail] = {}
        self.lost = False

    @property
    def fence(self) -> Fence:
        """Return the fence of this ownership."""
        return self.target.fence

    @property
    def log_ids(self) -> frozenset[str]:
        """Return the logs that the slot had when it was sealed."""
        return self.logs.live

    async def read(self, log_id: str) -> list[LogRecord]:
        """Return a log's records, empty if there are none or it is dropped."""
        tail = self.tail(log_id)
        async with tail.lock:
            return await self.recover(log_id, tail)

    async def append(
        self, log_id: str, index: int, kind: str, payload: bytes
    ) -> None:
        """Return once a majority holds the record.

        Raises FencedError if the slot is lost, DiskFullError if no replica
        took the record, QuorumError if the outcome is unknown; the same
        record may then be appended again.
        """
        await self.write(log_id, LogRecord(index, kind, payload))

    async def snapshot(
        self, log_id: str, index: int, kind: str, payload: bytes
    ) -> None:
        """Append a record that stands for all before it, and free those."""
        record = LogRecord(index, kind, payload, snapshot=True)
        await self.write(log_id, record)
        self.ask(
            lambda name: wire.TrimLog(self.target.scope(name), log_id, index)
        )

    async def drop(self, log_id: str) -> None:
        """End a log; it stays empty from then on, and its space is freed.

        Raises ConflictError while the log's last append has an unknown
        outcome: append it again, or release the slot and own it anew.
        """
        tail = self.tail(log_id)
        async with tail.lock:
            await self.know(log_id, tail)
            if not tail.dropped:
                record = LogRecord(tail.next_index, DROPPED_KIND, b'')
                await self.write_locked(log_id, tail, record)
                tail.dropped = True
        # Only a log that ended at a majority may be freed anywhere.
        votes = self.ask(
            lambda name: wire.DropLog(self.target.scope(name), log_id)
        )
        await self.settle(votes)

    async def write(self, log_id: str, record: LogRecord) -> None:
        """Append one record at a majority."""
        tail = self.tail(log_id)
        async with tail.lock:
            await self.know(log_id, tail)
            await self.write_locked(log_id, tail, record)

    async def write_locked(
        self, log_id: str, tail: LogTail, record: LogRecord
    ) -> None:
        """Append one record while holding the log's lock."""
        if tail.dropped:
            raise NotFoundError(f'{log_id} has ended')
        if not tail.admits(record):
            return
        votes = self.ask(
            lambda name: wire.AppendRecords(
                self.target.scope(name), log_id, [wire_of(record)]
            )
        )
        try:
            await self.settle(votes)
        except DiskFullError:
            tail.unsettled = b''
            raise
        tail.appended(record)

    async def know(self, log_id: str, tail: LogTail) -> None:
        """Recover the log unless its end is known."""
        if not tail.known:
            await self.recover(log_id, tail)

    def ask(self, request_of: Callable[[str], Any]) -> Votes:
        """Send a request to all replicas of the slot."""
        if self.lost:
            raise FencedError('the slot is no longer owned')
        return self.replicas.ask_all(
            self.target.sets, request_of, wire.Acknowledged
        )

    async def settle(self, votes: Votes) -> None:
        """Wait for a majority; note when the slot is lost."""
        try:
            await votes.majority()
        except FencedError:
            self.lost = True
            raise

    async def recover(self, log_id: str, tail: LogTail) -> list[LogRecord]:
        """Read the log at a majority and complete it under the own fence."""
        if tail.dropped:
            return []
        try:
            log = await Recovery(self.replicas, self.target, log_id).run()
        except FencedError:
            self.lost = True
            raise
        tail.recovered(log)
        return log.records

    def tail(self, log_id: str) -> LogTail:
        """Return what is known of a log; one not listed is empty."""
        tail = self.tails.get(log_id)
        if tail is None:
            tail = LogTail(
                known=log_id not in self.logs.live,
                dropped=log_id in self.logs.dropped,
            )
            self.tails[log_id] = tail
        return tail


def digest_of(record: LogRecord) -> bytes:
    """Return a digest of all that makes two records the same."""
    digest = hashlib.blake2b(record.payload, digest_size=DIGEST_BYTES)
    digest.update(f'{record.index} {record.kind} {record.snapshot}'.encode())
    return digest.digest()
