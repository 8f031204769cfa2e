"""Convert records of messages to disk entries and back."""

from jasminewheel._internal.history.entry import Entry
from jasminewheel._internal.replication.fence import Fence
from jasminewheel._internal.wire.gen.history import ttypes as wire
from jasminewheel.errors import ConflictError, PeerError, TooLargeError

# 8 MiB; one such record fits into a frame.
MAX_PAYLOAD_BYTES = 8388608
MAX_LOG_ID_BYTES = 256


def check_records(request: wire.AppendRecords) -> None:
    """Raise PeerError or TooLargeError for invalid records."""
    if not request.records or not request.log:
        raise PeerError('append without a log identifier or without records')
    if len(request.log.encode()) > MAX_LOG_ID_BYTES:
        raise TooLargeError('log identifier is too long')
    for record in request.records:
        check_record(record)


def check_record(record: wire.WireRecord) -> None:
    """Raise PeerError or TooLargeError for an invalid record."""
    if record.index is None or record.index < 0:
        raise PeerError('record has no valid index')
    if len(record.payload or b'') > MAX_PAYLOAD_BYTES:
        raise TooLargeError(
            f'payload of a record exceeds {MAX_PAYLOAD_BYTES} bytes'
        )


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
    """Return the message form of a stored record."""
    return wire.WireRecord(
        index=entry.index,
        kind=entry.kind,
        payload=entry.payload,
        fence=entry.fence.to_wire(),
        snapshot=entry.snapshot,
    )


def must_write(stored: Entry, offered: Entry) -> bool:
    """Return whether a record must be written.

    Raises ConflictError if another record is stored under the same fence.
    """
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
        f'record {offered.index} of {offered.log} differs from the stored '
        'record of the same fence',
    )
