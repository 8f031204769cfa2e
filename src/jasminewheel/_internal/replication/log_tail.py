"""Track the end of a log and check appends against it."""

import hashlib

import trio
from attrs import define, field

from jasminewheel._internal.replication.record import LogRecord
from jasminewheel._internal.replication.recovery import RecoveredLog
from jasminewheel.errors import ConflictError

DIGEST_BYTES = 16


@define
class LogTail:
    """Track the end of a log; its lock serialises work on the log."""

    lock: trio.Lock = field(factory=trio.Lock)
    is_recovered: bool = False
    dropped: bool = False
    next_index: int = 0
    last_digest: bytes = b''
    pending_digest: bytes = b''

    def reset(self) -> None:
        """Discard the state until the log is recovered at a new fence."""
        self.is_recovered = False
        self.next_index = 0
        self.last_digest = b''
        self.pending_digest = b''

    def apply_recovery(self, log: RecoveredLog) -> None:
        """Apply the result of a recovery."""
        self.is_recovered = True
        self.dropped = log.dropped
        if log.records and log.records[-1].index >= self.next_index:
            last = log.records[-1]
            self.next_index = last.index + 1
            self.last_digest = record_digest(last)
            self.pending_digest = b''

    def begin_append(self, record: LogRecord) -> bool:
        """Return whether to append; False if the last record is the same.

        Raises ConflictError if the index is not the next, or if another
        record of this index has an unknown outcome.
        """
        digest = record_digest(record)
        if record.index == self.next_index - 1 and digest == self.last_digest:
            return False
        if record.index != self.next_index:
            raise ConflictError(
                f'got record {record.index}, expected {self.next_index}',
            )
        if self.pending_digest not in {b'', digest}:
            # A replica may have stored the other record under the same fence.
            raise ConflictError(
                f'another record {record.index} has an unknown outcome',
                remedy='append the same record again',
            )
        self.pending_digest = digest
        return True

    def complete_append(self, record: LogRecord) -> None:
        """Advance past a record that a majority has stored."""
        self.next_index = record.index + 1
        self.last_digest = self.pending_digest
        self.pending_digest = b''


def record_digest(record: LogRecord) -> bytes:
    """Return a digest of the index, kind, snapshot flag and payload."""
    digest = hashlib.blake2b(record.payload, digest_size=DIGEST_BYTES)
    digest.update(f'{record.index} {record.kind} {record.snapshot}'.encode())
    return digest.digest()
