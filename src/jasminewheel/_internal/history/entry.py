"""Encode and decode entries of the disk log with their checksums."""

import struct
from zlib import crc32

from attrs import frozen

from jasminewheel._internal.replication.fence import Fence
from jasminewheel._internal.wire.codec import decode, encode
from jasminewheel._internal.wire.gen.history.ttypes import (
    StoredHead,
    StoredKind,
)
from jasminewheel.errors import DamagedError

# Lengths of head and payload, checksum of the payload, and checksum of the
# head and these three.
PREFIX = struct.Struct('<IIII')
MAX_HEAD_BYTES = 65536


@frozen
class Entry:
    """Represent one entry of the disk log."""

    what: int
    slot: int
    fence: Fence
    log: str = ''
    index: int = 0
    kind: str = ''
    snapshot: bool = False
    joined_epoch: int = 0
    payload: bytes = b''

    def to_bytes(self) -> bytes:
        """Return the entry with its checksums."""
        head = encode(
            StoredHead(
                what=self.what,
                slot=self.slot,
                fence=self.fence.to_wire(),
                log=self.log,
                index=self.index,
                kind=self.kind,
                snapshot=self.snapshot,
                joined_epoch=self.joined_epoch,
            ),
        )
        sizes = (len(head), len(self.payload), crc32(self.payload))
        checksum = _prefix_checksum(*sizes, head)
        return PREFIX.pack(*sizes, checksum) + head + self.payload


@frozen
class Prefix:
    """Represent the sizes and checksums that precede an entry."""

    head_bytes: int
    payload_bytes: int
    payload_checksum: int
    checksum: int

    @classmethod
    def parse(cls, block: bytes) -> 'Prefix':
        """Parse a prefix; raise DamagedError if it is invalid."""
        if len(block) < PREFIX.size:
            raise DamagedError('disk log entry ends within its prefix')
        prefix = cls(*PREFIX.unpack(block))
        if not 0 < prefix.head_bytes <= MAX_HEAD_BYTES:
            raise DamagedError('disk log entry has an invalid head size')
        return prefix

    @property
    def total_bytes(self) -> int:
        """Return the size of the whole entry."""
        return PREFIX.size + self.head_bytes + self.payload_bytes

    def decode_head(self, block: bytes) -> Entry:
        """Return the entry without its payload."""
        sizes = (self.head_bytes, self.payload_bytes, self.payload_checksum)
        if self.checksum != _prefix_checksum(*sizes, block):
            raise DamagedError('checksum mismatch in the head of an entry')
        head = decode(StoredHead, block)
        return Entry(
            what=head.what,
            slot=head.slot,
            fence=Fence.from_wire(head.fence),
            log=head.log,
            index=head.index,
            kind=head.kind,
            snapshot=head.snapshot,
            joined_epoch=head.joined_epoch,
        )

    def check_payload(self, payload: bytes) -> bytes:
        """Return the payload; raise DamagedError if size or checksum differ."""
        sound = len(payload) == self.payload_bytes
        if not sound or crc32(payload) != self.payload_checksum:
            raise DamagedError('checksum mismatch in the payload of an entry')
        return payload


def _prefix_checksum(
    head_bytes: int, payload_bytes: int, checksum: int, head: bytes
) -> int:
    sizes = PREFIX.pack(head_bytes, payload_bytes, checksum, 0)
    return crc32(head, crc32(sizes))


def is_record(entry: Entry) -> bool:
    """Return whether the entry is a record of a log."""
    return entry.what == StoredKind.RECORD
