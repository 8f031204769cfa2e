"""Keep the turns and budgets of one disk in memory."""

from collections.abc import Container, Iterator

from attrs import define, field

from jasminewheel._internal.conversation.ledger import ProgramLedger
from jasminewheel._internal.wire.gen.conversation.ttypes import (
    TokenReservation,
    TurnRecord,
)

# Records are kept for this multiple of their retention time, because a replica
# may miss later turns, which extend the retention of their ancestors.
RETENTION_FACTOR = 3


def turn_bytes(record: TurnRecord) -> int:
    """Return the bytes of a turn's prompt and output."""
    return len(record.prompt) + len(record.output)


@define(eq=False)
class RetainedTurn:
    """Represent a turn and the time its chain was last continued here."""

    record: TurnRecord
    touched_at: float

    def is_expired(self, now: float) -> bool:
        """Return whether the turn may be evicted."""
        retained_seconds = self.record.retention_seconds * RETENTION_FACTOR
        return now - self.touched_at > retained_seconds


@define(eq=False)
class ConversationState:
    """Index turns by identifier and ledgers by program."""

    turns: dict[str, RetainedTurn] = field(factory=dict)
    programs: dict[str, ProgramLedger] = field(factory=dict)
    # Newest replica set seen; writes under older revisions are rejected.
    set_revision: int = 0
    # Newest revision that is on disk and so survives a restart.
    durable_revision: int = 0

    def note_revision(self, revision: int) -> None:
        """Reject writes under older replica sets from now on."""
        self.set_revision = max(self.set_revision, revision)

    def add_turn(self, record: TurnRecord, now: float) -> None:
        """Add a turn and extend the retention of its ancestors."""
        self.turns.setdefault(record.turn_id, RetainedTurn(record, now))
        for turn_id in (record.turn_id, *record.ancestors):
            retained = self.turns.get(turn_id)
            if retained:
                retained.touched_at = now

    def add_reservation(
        self, reservation: TokenReservation, now: float
    ) -> None:
        """Merge a reservation into its program's ledger."""
        ledger = self.ledger(reservation.program_id)
        ledger.merge(reservation)
        ledger.touched_at = now

    def ledger(self, program_id: str) -> ProgramLedger:
        """Return the program's ledger, creating it if needed."""
        return self.programs.setdefault(program_id, ProgramLedger())

    def chain(self, turn_id: str) -> list[TurnRecord]:
        """Return the turn and its predecessors on this disk, newest first."""
        found: list[TurnRecord] = []
        retained = self.turns.get(turn_id)
        while retained:
            found.append(retained.record)
            retained = self.turns.get(retained.record.previous_id)
        return found

    def missing_turns(self, known: Container[str]) -> Iterator[TurnRecord]:
        """Yield the turns whose identifiers are not in `known`."""
        for turn_id, retained in self.turns.items():
            if turn_id not in known:
                yield retained.record

    def reservations(self) -> Iterator[TokenReservation]:
        """Yield all reservations."""
        for ledger in self.programs.values():
            yield from ledger.reservations.values()

    def evict_expired(self, now: float) -> int:
        """Evict expired turns and ledgers; return the number of turns."""
        expired = [
            turn_id
            for turn_id, retained in self.turns.items()
            if retained.is_expired(now)
        ]
        for turn_id in expired:
            self.turns.pop(turn_id)
        expired_programs = [
            program_id
            for program_id, ledger in self.programs.items()
            if now - ledger.touched_at
            > ledger.retention_seconds() * RETENTION_FACTOR
        ]
        for program_id in expired_programs:
            self.programs.pop(program_id)
        return len(expired)
