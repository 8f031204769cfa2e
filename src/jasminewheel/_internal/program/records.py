"""Encode and decode the records of a program's log."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Protocol, TypeAlias

from jasminewheel._internal.wire.codec import decode, encode
from jasminewheel._internal.wire.gen.program.ttypes import (
    CallFinished,
    CallStarted,
    ChildOpened,
    ProgramEnded,
    ProgramOpened,
)
from jasminewheel.errors import HistoryError

Record: TypeAlias = (
    ProgramOpened | CallStarted | CallFinished | ChildOpened | ProgramEnded
)

# The names are stored on disk: never reuse one.
_TYPE_BY_KIND: Mapping[str, type[Record]] = MappingProxyType(
    {
        'opened': ProgramOpened,
        'started': CallStarted,
        'finished': CallFinished,
        'child': ChildOpened,
        'ended': ProgramEnded,
    }
)
_KIND_BY_TYPE = MappingProxyType(
    {type_: kind for kind, type_ in _TYPE_BY_KIND.items()}
)


class StoredRecord(Protocol):
    """Describe a record as a log returns it."""

    index: int
    kind: str
    payload: bytes


def kind_of(record: Record) -> str:
    """Return the kind under which a record is stored in the log."""
    return _KIND_BY_TYPE[type(record)]


def encode_record(record: Record) -> bytes:
    """Return the payload of a record."""
    return encode(record)


def decode_record(stored: StoredRecord) -> Record:
    """Return the record; raise HistoryError for an unknown kind."""
    record_type = _TYPE_BY_KIND.get(stored.kind)
    if record_type is None:
        raise HistoryError(
            f'record {stored.index} has unknown kind {stored.kind}',
            remedy='run the version of the product that wrote it',
        )
    return decode(record_type, stored.payload)
