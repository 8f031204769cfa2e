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
KEEP_FACTOR = 3


def turn_bytes(record: TurnRecord) -> int:
    """Return the size of what was said in a turn."""
    return len(record.prompt) + len(record.output)


@define(eq=False)
class KeptTurn:
    """Hold a turn and when its chain was last continued here."""

    record: TurnRecord
    touched_at: float

    def expired(self, now: float) -> bool:
        """Tell whether the turn may be forgotten."""
        kept_seconds = self.record.retention_seconds * KEEP_FACTOR
        return now - self.touched_at > kept_seconds


@define(eq=False)
class ConversationState:
    """Hold turns by identifier and ledgers by program."""

    turns: dict[str, KeptTurn] = field(factory=dict)
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
        self.turns.setdefault(record.turn_id, KeptTurn(record, now))
        for turn_id in (record.turn_id, *record.ancestors):
            kept = self.turns.get(turn_id)
            if kept:
                kept.touched_at = now

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
        kept = self.turns.get(turn_id)
        while kept:
            found.append(kept.record)
            kept = self.turns.get(kept.record.previous_id)
        return found

    def missing_turns(self, known: Container[str]) -> Iterator[TurnRecord]:
        """Yield the turns that are not among the known."""
        for turn_id, kept in self.turns.items():
            if turn_id not in known:
                yield kept.record

    def reservations(self) -> Iterator[TokenReservation]:
        """Yield all reservations."""
        for ledger in self.programs.values():
            yield from ledger.reservations.values()

    def forget_expired(self, now: float) -> int:
        """Drop what is past its retention; return how many turns went."""
        gone = [
            turn_id for turn_id, kept in self.turns.items() if kept.expired(now)
        ]
        for turn_id in gone:
            self.turns.pop(turn_id)
        ended = [
            program_id
            for program_id, ledger in self.programs.items()
            if now - ledger.touched_at
            > ledger.retention_seconds() * KEEP_FACTOR
        ]
        for program_id in ended:
            self.programs.pop(program_id)
        return len(gone)
