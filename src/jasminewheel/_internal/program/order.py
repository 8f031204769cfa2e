"""Check that a record may come next in a program's log."""

from typing import Protocol

from jasminewheel._internal.program.call import Call
from jasminewheel._internal.program.records import Record
from jasminewheel._internal.wire.gen.program.ttypes import (
    CallFinished,
    CallStarted,
    ProgramEnded,
    ProgramOpened,
)
from jasminewheel.errors import HistoryError


class ProgramState(Protocol):
    """Describe the state on which the order of records depends."""

    program_id: str
    opened: ProgramOpened | None
    ended: ProgramEnded | None
    unfinished: Call | None
    length: int


def check_order(state: ProgramState, record: Record) -> None:
    """Raise HistoryError for a record that cannot come next."""
    opens = isinstance(record, ProgramOpened)
    if opens == bool(state.opened) or state.ended:
        raise wrong_order(state, record)
    if not _fits_running_call(state.unfinished, record):
        raise wrong_order(state, record)


def wrong_order(state: ProgramState, record: Record) -> HistoryError:
    """Return the error for a record out of order."""
    kind = type(record).__name__
    return HistoryError(
        f'{state.program_id}: {kind} is out of order at index {state.length}',
        remedy='keep the log and report it',
    )


def _fits_running_call(running: Call | None, record: Record) -> bool:
    running_id = running.request_id if running else None
    if isinstance(record, CallStarted):
        return running_id in {None, record.request_id}
    if isinstance(record, CallFinished):
        return running_id == record.request_id
    return True
