"""Read and write one file of the disk log."""

import os
from collections.abc import Iterator
from pathlib import Path

from attrs import define, frozen

from jasminewheel._internal.history.entry import PREFIX, Entry, Prefix
from jasminewheel.errors import DamagedError

FILE_MODE = 0o600
_SHIFT = 32
_OFFSET_MASK = (1 << _SHIFT) - 1
_NAME = 'segment-{0:010d}.log'


@frozen
class Scanned:
    """Represent an entry without payload, its position and its end."""

    entry: Entry
    position: int
    end: int


@define
class Segment:
    """Represent an open file; positions have its number and an offset."""

    number: int
    path: Path
    descriptor: int
    size: int

    @classmethod
    def open(cls, folder: Path, number: int) -> 'Segment':
        """Open the file with this number, or create it."""
        path = folder / _NAME.format(number)
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        descriptor = os.open(path, flags, FILE_MODE)
        return cls(number, path, descriptor, os.fstat(descriptor).st_size)

    def write(self, block: bytes) -> int:
        """Append the block durably; return the offset of its start."""
        start = self.size
        written = 0
        try:
            while written < len(block):
                written += os.pwrite(
                    self.descriptor, block[written:], start + written
                )
        except OSError:
            os.ftruncate(self.descriptor, start)
            raise
        os.fdatasync(self.descriptor)
        self.size = start + len(block)
        return start

    def read(self, offset: int) -> Entry:
        """Return the entry at the offset with its verified payload."""
        prefix, entry = self.read_head(offset)
        start = offset + PREFIX.size + prefix.head_bytes
        payload = os.pread(self.descriptor, prefix.payload_bytes, start)
        prefix.check_payload(payload)
        return Entry(
            entry.what,
            entry.slot,
            entry.fence,
            entry.log,
            entry.index,
            entry.kind,
            entry.snapshot,
            entry.joined_epoch,
            payload,
        )

    def read_head(self, offset: int) -> tuple[Prefix, Entry]:
        """Return the prefix and the head of the entry at the offset."""
        prefix = Prefix.parse(os.pread(self.descriptor, PREFIX.size, offset))
        head = os.pread(
            self.descriptor, prefix.head_bytes, offset + PREFIX.size
        )
        return prefix, prefix.decode_head(head)

    def scan(self, *, deep: bool) -> Iterator[Scanned]:
        """Yield all entries in order; `deep` also verifies the payloads."""
        offset = 0
        while offset < self.size:
            prefix, entry = self.read_head(offset)
            end = offset + prefix.total_bytes
            if end > self.size:
                raise DamagedError(
                    'disk log entry ends after the end of its file'
                )
            if deep:
                self.read(offset)
            yield Scanned(entry, position_of(self.number, offset), end)
            offset = end

    def truncate(self, size: int) -> None:
        """Truncate the file to the end of its last complete entry."""
        os.ftruncate(self.descriptor, size)
        os.fsync(self.descriptor)
        self.size = size

    def close(self) -> None:
        """Close the file."""
        os.close(self.descriptor)


def segment_numbers(folder: Path) -> list[int]:
    """Return the numbers of the segments in the folder, oldest first."""
    names = sorted(folder.glob('segment-*.log'))
    return [int(name.stem.partition('-')[2]) for name in names]


def position_of(number: int, offset: int) -> int:
    """Encode segment number and offset as one integer."""
    return (number << _SHIFT) | offset


def segment_of(position: int) -> int:
    """Return the segment number of a position."""
    return position >> _SHIFT


def offset_of(position: int) -> int:
    """Return the offset of a position."""
    return position & _OFFSET_MASK
