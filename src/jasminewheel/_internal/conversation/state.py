"""Hold in memory what one disk knows of turns and budgets."""

from collections.abc import Container, Iterator

from attrs import define, field

from jasminewheel._internal.conversation.ledger import ProgramLedger
from jasminewheel._internal.wire.gen.conversation.ttypes import (
    TokenReservation,
    TurnRecord,
)

# Records outlive their retention by this factor, because a replica may miss
# the turns that prolong those before them.
RETENTION_FACTOR = 3


def turn_bytes(record: TurnRecord) -> int:
    """Return the size of what was said in a turn."""
    return len(record.prompt) + len(record.output)


@define(eq=False)
class RetainedTurn:
    """Hold a turn and when its chain was last continued here."""

    record: TurnRecord
    touched_at: float

    def is_expired(self, now: float) -> bool:
        """Tell whether the turn may be forgotten."""
        retained_seconds = self.record.retention_seconds * RETENTION_FACTOR
        return now - self.touched_at > retained_seconds


@define(eq=False)
class ConversationState:
    """Hold turns by identifier and ledgers by program."""

    turns: dict[str, RetainedTurn] = field(factory=dict)
    programs: dict[str, ProgramLedger] = field(factory=dict)
    # The newest replica set seen; writes under older ones are refused.
    set_revision: int = 0
    # Up to here that outlives a start.
    durable_revision: int = 0

    def note_revision(self, revision: int) -> None:
        """Refuse writes under older replica sets from now on."""
        self.set_revision = max(self.set_revision, revision)

    def add_turn(self, record: TurnRecord, now: float) -> None:
        """Keep a turn; all before it are kept as long."""
        self.turns.setdefault(record.turn_id, RetainedTurn(record, now))
        for turn_id in (record.turn_id, *record.ancestors):
            retained = self.turns.get(turn_id)
            if retained:
                retained.touched_at = now

    def add_reservation(self, taken: TokenReservation, now: float) -> None:
        """Merge a reservation into its program's ledger."""
        ledger = self.ledger(taken.program_id)
        ledger.merge(taken)
        ledger.touched_at = now

    def ledger(self, program_id: str) -> ProgramLedger:
        """Return the program's ledger, which may be new."""
        return self.programs.setdefault(program_id, ProgramLedger())

    def chain(self, turn_id: str) -> list[TurnRecord]:
        """Return the turn and those before it that are here, newest first."""
        found: list[TurnRecord] = []
        retained = self.turns.get(turn_id)
        while retained:
            found.append(retained.record)
            retained = self.turns.get(retained.record.previous_id)
        return found

    def missing_turns(self, known: Container[str]) -> Iterator[TurnRecord]:
        """Yield the turns that are not among the known."""
        for turn_id, retained in self.turns.items():
            if turn_id not in known:
                yield retained.record

    def reservations(self) -> Iterator[TokenReservation]:
        """Yield all reservations."""
        for ledger in self.programs.values():
            yield from ledger.reservations.values()

    def evict_expired(self, now: float) -> int:
        """Drop what is past its retention; return how many turns went."""
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
