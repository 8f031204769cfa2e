"""Store the disk log as segments in one data folder."""

import errno
import logging
import os
from collections.abc import Iterator
from pathlib import Path
from types import TracebackType
from typing import Self

from jasminewheel._internal.events import history as events
from jasminewheel._internal.history.durable_file import sync_folder
from jasminewheel._internal.history.entry import Entry
from jasminewheel._internal.history.folder import load_disk_id, lock_folder
from jasminewheel._internal.history.segment import (
    Scanned,
    Segment,
    offset_of,
    position_of,
    segment_numbers,
    segment_of,
)
from jasminewheel.errors import DamagedError, DiskFullError

# 64 MiB.
SEGMENT_BYTES = 67108864
# Reserved for promises and drops, so that a full disk can be freed: 1 MiB.
RESERVE_BYTES = 1048576
_FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
_LOGGER = logging.getLogger(__name__)


class DiskLog:
    """Append entries durably and read them back by position."""

    def __init__(
        self,
        folder: Path,
        quota_bytes: int,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        """Start closed; quota_bytes limits the size of the folder."""
        self.folder = folder
        self.quota_bytes = quota_bytes
        self.segment_bytes = segment_bytes
        self.segments: dict[int, Segment] = {}
        self.active_segment: Segment
        self.free_bytes = 0
        self.lock_descriptor = -1
        self.disk_id = ''

    def __enter__(self) -> Self:
        """Lock the folder and open its segments."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.lock_descriptor = lock_folder(self.folder)
        self.disk_id = load_disk_id(self.folder)
        numbers = segment_numbers(self.folder) or [1]
        for number in numbers:
            self.segments[number] = Segment.open(self.folder, number)
        self.active_segment = self.segments[numbers[-1]]
        sync_folder(self.folder)
        self.update_free_bytes()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the files and release the lock."""
        for segment in self.segments.values():
            segment.close()
        os.close(self.lock_descriptor)

    @property
    def stored_bytes(self) -> int:
        """Return the size of all segments."""
        return sum(segment.size for segment in self.segments.values())

    def has_space(self, count: int) -> bool:
        """Return whether records of count bytes fit besides the reserve."""
        free = min(self.quota_bytes - self.stored_bytes, self.free_bytes)
        return count + RESERVE_BYTES <= free

    def scan(self) -> Iterator[Scanned]:
        """Yield all entries; truncate a torn end of the last segment."""
        for number in sorted(self.segments):
            segment = self.segments[number]
            if segment is self.active_segment:
                yield from self.scan_active()
            else:
                yield from segment.scan(deep=False)

    def scan_active(self) -> Iterator[Scanned]:
        """Yield the entries before the first incomplete or damaged one."""
        end = 0
        try:
            for found in self.active_segment.scan(deep=True):
                end = found.end
                yield found
        except DamagedError:
            events.TORN_END_TRUNCATED.log(
                _LOGGER,
                file=self.active_segment.path.name,
                lost_bytes=self.active_segment.size - end,
            )
            self.active_segment.truncate(end)

    def write(self, blocks: list[bytes]) -> list[int]:
        """Append encoded entries durably; return their positions."""
        batch = b''.join(blocks)
        full = self.active_segment.size and self.active_segment.size + len(
            batch
        )
        try:
            if full > self.segment_bytes:
                self.start_segment()
            offset = self.active_segment.write(batch)
        except OSError as error:
            if error.errno in _FULL_ERRORS:
                raise self.disk_full_error() from error
            raise
        self.update_free_bytes()
        return block_positions(self.active_segment.number, offset, blocks)

    def start_segment(self) -> None:
        """Start a new segment."""
        segment = Segment.open(self.folder, self.active_segment.number + 1)
        sync_folder(self.folder)
        self.segments[segment.number] = segment
        self.active_segment = segment

    def read(self, position: int) -> Entry:
        """Return the entry at the position with its payload."""
        return self.segments[segment_of(position)].read(offset_of(position))

    def read_head(self, position: int) -> Entry:
        """Return the entry at the position without its payload."""
        segment = self.segments[segment_of(position)]
        return segment.read_head(offset_of(position))[1]

    def remove(self, number: int) -> Segment:
        """Delete a segment; the caller closes it once it has no readers."""
        segment = self.segments.pop(number)
        segment.path.unlink()
        sync_folder(self.folder)
        return segment

    def disk_full_error(self) -> DiskFullError:
        """Return the error for records that do not fit."""
        return DiskFullError(
            f'{self.folder} is full',
            remedy='add a disk VM or raise quota_bytes',
        )

    def update_free_bytes(self) -> None:
        """Read the free space of the file system."""
        status = os.statvfs(self.folder)
        self.free_bytes = status.f_bavail * status.f_frsize


def block_positions(number: int, offset: int, blocks: list[bytes]) -> list[int]:
    """Return the positions of blocks that were written as one batch."""
    found = []
    for block in blocks:
        found.append(position_of(number, offset))
        offset += len(block)
    return found
