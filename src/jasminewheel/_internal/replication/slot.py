"""Read and append the logs of one owned slot."""

from collections import deque

from attrs import frozen

from jasminewheel._internal.replication.fence import Fence
from jasminewheel._internal.replication.copy_progress import LogProgress
from jasminewheel._internal.replication.record import DROPPED_KIND, LogRecord
from jasminewheel._internal.replication.recovery import (
    Recovery,
    ignore_progress,
    record_to_wire,
)
from jasminewheel._internal.replication.replicas import Replicas, SlotTarget
from jasminewheel._internal.replication.ownership_session import (
    OwnershipSession,
)
from jasminewheel._internal.replication.log_tail import LogTail
from jasminewheel._internal.wire.gen.history import ttypes as wire
from jasminewheel.errors import DiskFullError, FencedError, NotFoundError

# Dropped logs to which a late append is refused without asking replicas.
MAX_REMEMBERED_DROPS = 1024
# Drops after which a slot is sealed again: replicas keep an entry for each
# dropped log of a slot until then.
RESEAL_DROPS = 1000


@frozen
class SealedLogs:
    """Represent a slot's logs as its replicas listed them at the seal."""

    live: frozenset[str]
    dropped: frozenset[str]


class OwnedSlot:
    """Read and append as the owner of a slot, until fenced off."""

    def __init__(
        self,
        replicas: Replicas,
        target: SlotTarget,
        logs: SealedLogs,
    ) -> None:
        """Start from the logs listed when the slot was sealed."""
        self.session = OwnershipSession(replicas, target)
        self.logs = logs
        self.tails: dict[str, LogTail] = {}
        self.drop_count = 0
        self.recently_dropped: deque[str] = deque(maxlen=MAX_REMEMBERED_DROPS)

    @property
    def fence(self) -> Fence:
        """Return the fence of this ownership."""
        return self.session.target.fence

    @property
    def log_ids(self) -> frozenset[str]:
        """Return the live logs of the slot when it was sealed."""
        return self.logs.live

    def move(self, target: SlotTarget, logs: SealedLogs) -> None:
        """Continue under a new fence that this process has sealed."""
        self.session.retarget(target)
        self.logs = logs
        self.drop_count = 0
        for tail in self.tails.values():
            tail.reset()

    async def copy_logs(self) -> None:
        """Complete all logs at a majority and mark the slot as copied.

        A log that was read or appended to under this fence is complete, and
        later appends go to the same sets. Copying it again would take longer
        the faster it grows.
        """
        target = self.session.target
        left = sorted(self.logs.live)
        while left:
            log_id = left.pop()
            tail = self.tail(log_id)
            async with tail.lock:
                if not tail.is_recovered:
                    await self.recover(log_id, tail)
        if target is self.session.target:
            await self.session.mark_copied(target)

    async def read(self, log_id: str) -> list[LogRecord]:
        """Return a log's records; a dropped log has none."""
        tail = self.tail(log_id)
        async with tail.lock:
            return await self.recover(log_id, tail)

    async def append(
        self, log_id: str, index: int, kind: str, payload: bytes
    ) -> None:
        """Append a record and return once a majority has stored it.

        Raises FencedError if the slot is lost, DiskFullError if no replica
        stored the record, QuorumError if the outcome is unknown. After the
        last two the same record may be appended again.
        """
        await self.write(log_id, LogRecord(index, kind, payload))

    async def snapshot(
        self, log_id: str, index: int, kind: str, payload: bytes
    ) -> None:
        """Append a record that replaces all before it, and free those."""
        record = LogRecord(index, kind, payload, snapshot=True)
        await self.write(log_id, record)
        target = self.session.target
        self.session.ask(
            target,
            lambda name: wire.TrimLog(target.scope(name), log_id, index),
        )

    async def drop(self, log_id: str) -> None:
        """Drop a log for good and free its space.

        Raises ConflictError while the log's last append has an unknown
        outcome: append it again, or release the slot and own it again.
        """
        tail = self.tail(log_id)
        async with tail.lock:
            if not tail.is_recovered:
                await self.recover(log_id, tail)
            if not tail.dropped:
                record = LogRecord(tail.next_index, DROPPED_KIND, b'')
                await self.write_locked(log_id, tail, record)
                tail.dropped = True
        # A replica may free a log only after a majority stored its last record.
        target = self.session.target
        votes = self.session.ask(
            target, lambda name: wire.DropLog(target.scope(name), log_id)
        )
        await self.session.wait_settled(votes, target)
        # Replicas also refuse appends to dropped logs that are evicted here.
        self.tails.pop(log_id, None)
        self.recently_dropped.append(log_id)
        self.drop_count += 1

    async def write(self, log_id: str, record: LogRecord) -> None:
        """Append one record to a majority of the replicas."""
        tail = self.tail(log_id)
        async with tail.lock:
            await self.write_locked(log_id, tail, record)

    async def write_locked(
        self, log_id: str, tail: LogTail, record: LogRecord
    ) -> None:
        """Append one record; the caller has the log's lock."""
        if not tail.is_recovered:
            await self.recover(log_id, tail)
        if tail.dropped:
            raise NotFoundError(f'log {log_id} has ended')
        if not tail.begin_append(record):
            return
        target = self.session.target
        try:
            await self.send(log_id, record, target)
        except DiskFullError:
            tail.pending_digest = b''
            raise
        except FencedError:
            if target is self.session.target:
                raise
            # The slot moved meanwhile; the record may have been stored.
            await self.write_locked(log_id, tail, record)
            return
        tail.complete_append(record)

    async def send(
        self, log_id: str, record: LogRecord, target: SlotTarget
    ) -> None:
        """Send the record to all replicas and wait for a majority."""
        votes = self.session.ask(
            target,
            lambda name: wire.AppendRecords(
                target.scope(name), log_id, [record_to_wire(record)]
            ),
        )
        await self.session.wait_settled(votes, target)

    async def recover(self, log_id: str, tail: LogTail) -> list[LogRecord]:
        """Read the log at a majority and complete it under this fence."""
        if tail.dropped:
            return []
        target = self.session.target
        progress = LogProgress(self.session.progress, log_id)
        try:
            log = await Recovery(
                self.session.replicas,
                target,
                log_id,
                ignore_progress if tail.is_recovered else progress.advance,
            ).run()
        except FencedError:
            await self.session.handle_fenced(target)
            if target is self.session.target:
                raise
            return await self.recover(log_id, tail)
        if target is not self.session.target:
            return await self.recover(log_id, tail)
        if not tail.is_recovered:
            progress.copying.finish_log(log_id)
        tail.apply_recovery(log)
        return log.records

    def tail(self, log_id: str) -> LogTail:
        """Return the tail of a log; a log that was not listed is empty."""
        tail = self.tails.get(log_id)
        if tail is None:
            tail = LogTail(
                is_recovered=log_id not in self.logs.live,
                dropped=log_id in self.logs.dropped
                or log_id in self.recently_dropped,
            )
            self.tails[log_id] = tail
        return tail
