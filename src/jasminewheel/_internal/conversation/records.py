"""Convert the records of one disk to log entries and back."""

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
    """Identify a record in the log without its content."""

    def find(self, state: ConversationState) -> 'StoredRecord | None':
        """Return the record if it is still live."""


class StoredRecord(Protocol):
    """Represent a durable record."""

    @property
    def key(self) -> RecordKey:
        """Return the key of the record."""

    def to_entry(self) -> LogEntry:
        """Encode the record as a log entry."""

    def apply(self, state: ConversationState, now: float) -> None:
        """Apply the record to the state."""


@frozen
class TurnKey:
    """Identify a turn."""

    turn_id: str

    def find(self, state: ConversationState) -> 'StoredTurn | None':
        """Return the turn if it has not been evicted."""
        retained = state.turns.get(self.turn_id)
        return StoredTurn(retained.record) if retained else None


@frozen
class StoredTurn:
    """Represent a finished turn."""

    record: TurnRecord

    @property
    def key(self) -> TurnKey:
        """Return the key of the turn."""
        return TurnKey(self.record.turn_id)

    def to_entry(self) -> LogEntry:
        """Encode the turn as a log entry."""
        return LogEntry(EntryKind.turn, encode(self.record))

    def apply(self, state: ConversationState, now: float) -> None:
        """Add the turn to the state."""
        state.add_turn(self.record, now)


@frozen
class ReservationKey:
    """Identify a turn's reservation; open and settled ones differ."""

    program_id: str
    turn_id: str
    settled: bool

    def find(self, state: ConversationState) -> 'StoredReservation | None':
        """Return the reservation unless it was settled since or evicted."""
        ledger = state.programs.get(self.program_id)
        known = ledger.reservations.get(self.turn_id) if ledger else None
        if known is None or known.settled != self.settled:
            return None
        return StoredReservation(known)


@frozen
class StoredReservation:
    """Represent a turn's reservation of its program's budget."""

    reservation: TokenReservation

    @property
    def key(self) -> ReservationKey:
        """Return the key of the reservation."""
        reservation = self.reservation
        return ReservationKey(
            reservation.program_id, reservation.turn_id, reservation.settled
        )

    def to_entry(self) -> LogEntry:
        """Encode the reservation as a log entry."""
        return LogEntry(EntryKind.reservation, encode(self.reservation))

    def apply(self, state: ConversationState, now: float) -> None:
        """Merge the reservation into its program's ledger."""
        state.add_reservation(self.reservation, now)


@frozen
class StoredRevision:
    """Represent the newest replica set revision seen; it is its own key."""

    revision: int

    @property
    def key(self) -> 'StoredRevision':
        """Return the revision itself."""
        return self

    def find(self, state: ConversationState) -> 'StoredRevision | None':
        """Return the revision unless a newer one is durable."""
        return self if self.revision == state.durable_revision else None

    def to_entry(self) -> LogEntry:
        """Encode the revision as a log entry."""
        stored = self.revision.to_bytes(_REVISION_BYTES)
        return LogEntry(EntryKind.set_revision, stored)

    def apply(self, state: ConversationState, now: float) -> None:
        """Reject older replica sets from now on, also after a restart."""
        state.note_revision(self.revision)
        state.durable_revision = max(state.durable_revision, self.revision)


def record_of(entry: LogEntry) -> StoredRecord:
    """Decode the record of a log entry."""
    if entry.kind == EntryKind.turn:
        return StoredTurn(decode(TurnRecord, entry.payload))
    if entry.kind == EntryKind.reservation:
        return StoredReservation(decode(TokenReservation, entry.payload))
    return StoredRevision(int.from_bytes(entry.payload))
