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

# The numbers are on disk: never reuse one.
_KIND_BY_NUMBER: Mapping[int, type[Record]] = MappingProxyType(
    {
        1: ProgramOpened,
        2: CallStarted,
        3: CallFinished,
        4: ChildOpened,
        5: ProgramEnded,
    }
)
_NUMBER_BY_KIND = MappingProxyType(
    {kind: number for number, kind in _KIND_BY_NUMBER.items()}
)


class StoredRecord(Protocol):
    """Describe what a log returns for each index."""

    index: int
    kind: int
    payload: bytes


def kind_of(record: Record) -> int:
    """Return the number under which a record stands in the log."""
    return _NUMBER_BY_KIND[type(record)]


def encode_record(record: Record) -> bytes:
    """Return the payload of a record."""
    return encode(record)


def decode_record(stored: StoredRecord) -> Record:
    """Return the record; raise HistoryError for an unknown kind."""
    kind = _KIND_BY_NUMBER.get(stored.kind)
    if kind is None:
        raise HistoryError(
            f'record {stored.index} has unknown kind {stored.kind}',
            remedy='run the version of the product that wrote it',
        )
    return decode(kind, stored.payload)
