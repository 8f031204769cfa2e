"""Turn records of messages into entries of the disk and back."""

from jasminewheel._internal.history.entry import Entry
from jasminewheel._internal.replication.fence import Fence
from jasminewheel._internal.wire.gen.history import ttypes as wire
from jasminewheel.errors import ConflictError, PeerError, TooLargeError

# 8 MiB; a frame has room for one such record.
MAX_PAYLOAD_BYTES = 8388608
MAX_LOG_ID_BYTES = 256


def check_records(request: wire.AppendRecords) -> None:
    """Refuse records that are malformed or too large."""
    if not request.records or not request.log:
        raise PeerError('an append names no log or no record')
    if len(request.log.encode()) > MAX_LOG_ID_BYTES:
        raise TooLargeError('a log identifier is too long')
    for record in request.records:
        check_record(record)


def check_record(record: wire.WireRecord) -> None:
    """Refuse a record that is malformed or too large."""
    if record.index is None or record.index < 0:
        raise PeerError('a record has no index')
    if len(record.payload or b'') > MAX_PAYLOAD_BYTES:
        raise TooLargeError(f'a record exceeds {MAX_PAYLOAD_BYTES} bytes')


def entry_from_wire(
    slot: int, fence: Fence, log: str, record: wire.WireRecord
) -> Entry:
    """Return the disk entry of a record under its owner's fence."""
    return Entry(
        wire.StoredKind.RECORD,
        slot,
        fence,
        log,
        record.index,
        record.kind,
        bool(record.snapshot),
        payload=record.payload or b'',
    )


def entry_to_wire(entry: Entry) -> wire.WireRecord:
    """Return the wire form of a stored record."""
    return wire.WireRecord(
        index=entry.index,
        kind=entry.kind,
        payload=entry.payload,
        fence=entry.fence.to_wire(),
        snapshot=entry.snapshot,
    )


def must_write(stored: Entry, offered: Entry) -> bool:
    """Tell whether a record must be written; refuse a forked one."""
    same = (stored.kind, stored.snapshot, stored.payload) == (
        offered.kind,
        offered.snapshot,
        offered.payload,
    )
    if stored.fence != offered.fence:
        return True
    if same:
        return False
    raise ConflictError(
        f'record {offered.index} of {offered.log} differs under one fence',
    )
