"""Split the log of one disk into segments of bounded size.

The cost of a write depends on the bytes added, not on how much is live.
"""

from collections.abc import Iterable, Iterator
from pathlib import Path

from attrs import define, field, frozen

from jasminewheel._internal.conversation.log_file import (
    LogFile,
    file_number,
    log_files,
    read_entries,
)
from jasminewheel._internal.conversation.records import (
    RecordKey,
    StoredRecord,
    record_of,
)
from jasminewheel._internal.conversation.state import ConversationState
from jasminewheel._internal.history.durable_file import sync_folder

# 8 MiB; a larger segment is closed before the next write.
SEGMENT_BYTES = 8388608


@frozen
class LoggedRecord:
    """Represent the key and size of one record in a segment."""

    key: RecordKey
    stored_bytes: int


@frozen
class LogBlock:
    """Represent encoded records that are written together."""

    logged: tuple[LoggedRecord, ...]
    block: bytes

    @classmethod
    def of(cls, records: Iterable[StoredRecord]) -> 'LogBlock':
        """Encode records into a block."""
        written = tuple(records)
        entries = [one.to_entry().to_bytes() for one in written]
        pairs = zip(written, entries, strict=True)
        logged = tuple(
            LoggedRecord(one.key, len(entry)) for one, entry in pairs
        )
        return cls(logged, b''.join(entries))


@define(eq=False)
class Segment:
    """Represent one file of the log and the keys of its records."""

    path: Path
    stored_bytes: int = 0
    logged: list[LoggedRecord] = field(factory=list)

    @property
    def number(self) -> int:
        """Return the file's number."""
        return file_number(self.path)

    def live_bytes(self, state: ConversationState) -> int:
        """Return the total size of the live records."""
        return sum(
            one.stored_bytes for one in self.logged if one.key.find(state)
        )

    def live_records(self, state: ConversationState) -> list[StoredRecord]:
        """Return the records that are still live."""
        found = (one.key.find(state) for one in self.logged)
        return list(filter(None, found))


@define(eq=False)
class SegmentedLog:
    """Append to the newest segment; older ones are only removed."""

    folder: Path
    # Segments that are no longer appended to, by number.
    closed: dict[int, Segment] = field(factory=dict)
    newest_number: int = 0
    head: Segment | None = None
    head_file: LogFile | None = None

    @property
    def stored_bytes(self) -> int:
        """Return the size of all segments."""
        newest = self.head.stored_bytes if self.head else 0
        return newest + sum(one.stored_bytes for one in self.closed.values())

    def load(self) -> Iterator[StoredRecord]:
        """Yield the records of all segments in the folder."""
        for path in log_files(self.folder):
            segment = Segment(path, path.stat().st_size)
            self.closed[segment.number] = segment
            self.newest_number = segment.number
            yield from _records_of(segment)

    def prepare(self) -> None:
        """Close a full segment; if none is open, pick the next number."""
        if self.head and self.head.stored_bytes > SEGMENT_BYTES:
            self.close_head()
        if self.head is None:
            self.newest_number += 1

    def write(self, written: LogBlock) -> None:
        """Write a block durably.

        Runs in a thread, so it changes nothing but the open file.
        """
        if self.head_file is None:
            self.head_file = LogFile.create(self.folder, self.newest_number)
        self.head_file.append(written.block)

    def note_written(self, written: LogBlock) -> None:
        """Record a written block in the newest segment."""
        if self.head is None:
            self.head = Segment(self.head_file.path)
        self.head.stored_bytes += len(written.block)
        self.head.logged.extend(written.logged)

    def close_head(self) -> None:
        """Close the newest segment, keeping its records."""
        if self.head_file:
            closed = self.head or Segment(self.head_file.path)
            closed.stored_bytes = _size(closed.path)
            self.closed[closed.number] = closed
            self.head_file.close()
        self.head = None
        self.head_file = None

    def find_compactable(self, state: ConversationState) -> Segment | None:
        """Return a closed segment of which at most half is live."""
        for segment in self.closed.values():
            if 2 * segment.live_bytes(state) <= segment.stored_bytes:
                return segment
        return None

    def unlink(self, segment: Segment) -> None:
        """Remove a segment's file durably.

        Runs in a thread; idempotent, so that a failed removal can be retried.
        """
        segment.path.unlink(missing_ok=True)
        sync_folder(self.folder)

    def forget(self, segment: Segment) -> None:
        """Drop a removed segment from the accounting."""
        self.closed.pop(segment.number)


def _size(path: Path) -> int:
    return path.stat().st_size if path.exists() else 0


def _records_of(segment: Segment) -> Iterator[StoredRecord]:
    for entry in read_entries(segment.path):
        record = record_of(entry)
        size = len(entry.to_bytes())
        segment.logged.append(LoggedRecord(record.key, size))
        yield record
