"""Append checksummed entries to files and read them back after a crash."""

import os
import struct
import zlib
from collections.abc import Iterator
from enum import IntEnum
from pathlib import Path

from attrs import define, frozen

from jasminewheel._internal.history.durable_file import sync_folder
from jasminewheel._internal.history.segment import FILE_MODE

_HEAD = struct.Struct('>IIB')
_NAME = 'turns-{0:010d}.log'
_PATTERN = 'turns-*.log'


class EntryKind(IntEnum):
    """Enumerate the types of log entries."""

    turn = 1
    reservation = 2
    set_revision = 3


@frozen
class LogEntry:
    """Represent one entry of the log."""

    kind: EntryKind
    payload: bytes

    def to_bytes(self) -> bytes:
        """Encode the entry: checksum, payload length, kind, payload."""
        body = bytes((self.kind,)) + self.payload
        checksum = zlib.crc32(body)
        head = _HEAD.pack(checksum, len(self.payload), self.kind)
        return head + self.payload


@define(eq=False)
class LogFile:
    """Represent a log file that is open for appending."""

    path: Path
    descriptor: int
    size: int

    @classmethod
    def create(cls, folder: Path, number: int) -> 'LogFile':
        """Create an empty file and sync its directory entry."""
        path = folder / _NAME.format(number)
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        descriptor = os.open(path, flags, FILE_MODE)
        sync_folder(folder)
        return cls(path, descriptor, 0)

    def append(self, block: bytes) -> None:
        """Append a block durably."""
        written = 0
        while written < len(block):
            written += os.pwrite(
                self.descriptor, block[written:], self.size + written
            )
        os.fdatasync(self.descriptor)
        self.size += len(block)

    def close(self) -> None:
        """Close the descriptor."""
        os.close(self.descriptor)


def read_entries(path: Path) -> Iterator[LogEntry]:
    """Yield the entries up to the first torn or corrupt one."""
    stored = path.read_bytes()
    offset = 0
    while offset + _HEAD.size <= len(stored):
        checksum, length, kind = _HEAD.unpack_from(stored, offset)
        start = offset + _HEAD.size
        payload = stored[start : start + length]
        body = bytes((kind,)) + payload
        if len(payload) < length or zlib.crc32(body) != checksum:
            return
        yield LogEntry(EntryKind(kind), payload)
        offset = start + length


@frozen
class StoredBytes:
    """Represent the bytes of a file in whole entries, and those after."""

    whole: int
    torn: int


def stored_bytes(path: Path) -> StoredBytes:
    """Measure a file's whole entries and the torn end after a power loss."""
    whole = sum(_HEAD.size + len(entry.payload) for entry in read_entries(path))
    return StoredBytes(whole, path.stat().st_size - whole)


def log_files(folder: Path) -> list[Path]:
    """Return the log files in the folder, oldest first."""
    return sorted(folder.glob(_PATTERN))


def file_number(path: Path) -> int:
    """Return the sequence number in a log file's name."""
    return int(path.stem.partition('-')[2])
