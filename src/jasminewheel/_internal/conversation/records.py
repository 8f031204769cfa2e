"""Turn the records that one disk keeps into log entries and back."""

from typing import Protocol

from attrs import frozen

from jasminewheel._internal.conversation.log_file import EntryKind, LogEntry
from jasminewheel._internal.conversation.state import ConversationState
from jasminewheel._internal.wire.codec import decode, encode
from jasminewheel._internal.wire.gen.conversation.ttypes import (
    TokenReservation,
    TurnRecord,
)

_REVISION_BYTES = 8


class RecordKey(Protocol):
    """Name a record that stands in a log, without holding it."""

    def find(self, state: ConversationState) -> 'StoredRecord | None':
        """Return the record if it still counts."""


class StoredRecord(Protocol):
    """Hold what is kept durably."""

    @property
    def key(self) -> RecordKey:
        """Return the name of the record."""

    def to_entry(self) -> LogEntry:
        """Return the record as it stands in the log."""

    def apply(self, state: ConversationState, now: float) -> None:
        """Put the record into the state."""


@frozen
class TurnKey:
    """Name a turn."""

    turn_id: str

    def find(self, state: ConversationState) -> 'StoredTurn | None':
        """Return the turn while it is kept."""
        retained = state.turns.get(self.turn_id)
        return StoredTurn(retained.record) if retained else None


@frozen
class StoredTurn:
    """Hold a finished turn."""

    record: TurnRecord

    @property
    def key(self) -> TurnKey:
        """Return the name of the turn."""
        return TurnKey(self.record.turn_id)

    def to_entry(self) -> LogEntry:
        """Return the turn as it stands in the log."""
        return LogEntry(EntryKind.turn, encode(self.record))

    def apply(self, state: ConversationState, now: float) -> None:
        """Keep the turn."""
        state.add_turn(self.record, now)


@frozen
class ReservationKey:
    """Name what a turn takes, apart from what it has taken for good."""

    program_id: str
    turn_id: str
    settled: bool

    def find(self, state: ConversationState) -> 'StoredReservation | None':
        """Return the reservation unless it was settled or forgotten."""
        ledger = state.programs.get(self.program_id)
        known = ledger.reservations.get(self.turn_id) if ledger else None
        if known is None or known.settled != self.settled:
            return None
        return StoredReservation(known)


@frozen
class StoredReservation:
    """Hold what a turn takes of its program's budget."""

    reservation: TokenReservation

    @property
    def key(self) -> ReservationKey:
        """Return the name of the reservation."""
        taken = self.reservation
        return ReservationKey(taken.program_id, taken.turn_id, taken.settled)

    def to_entry(self) -> LogEntry:
        """Return the reservation as it stands in the log."""
        return LogEntry(EntryKind.reservation, encode(self.reservation))

    def apply(self, state: ConversationState, now: float) -> None:
        """Merge the reservation into its program's ledger."""
        state.add_reservation(self.reservation, now)


@frozen
class StoredRevision:
    """Hold the newest replica set that was seen; it names itself."""

    revision: int

    @property
    def key(self) -> 'StoredRevision':
        """Return the revision itself."""
        return self

    def find(self, state: ConversationState) -> 'StoredRevision | None':
        """Return the revision while none is newer."""
        return self if self.revision == state.durable_revision else None

    def to_entry(self) -> LogEntry:
        """Return the revision as it stands in the log."""
        stored = self.revision.to_bytes(_REVISION_BYTES)
        return LogEntry(EntryKind.set_revision, stored)

    def apply(self, state: ConversationState, now: float) -> None:
        """Refuse older replica sets from now on, also after a start."""
        state.note_revision(self.revision)
        state.durable_revision = max(state.durable_revision, self.revision)


def record_of(entry: LogEntry) -> StoredRecord:
    """Return the record that an entry holds."""
    if entry.kind == EntryKind.turn:
        return StoredTurn(decode(TurnRecord, entry.payload))
    if entry.kind == EntryKind.reservation:
        return StoredReservation(decode(TokenReservation, entry.payload))
    return StoredRevision(int.from_bytes(entry.payload))
