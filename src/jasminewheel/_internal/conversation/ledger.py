"""Account for the tokens that turns reserve from a program's budget."""

from collections.abc import Iterable

from attrs import define, field

from jasminewheel._internal.wire.gen.conversation.ttypes import (
    TokenReservation,
)


@define(eq=False)
class ProgramLedger:
    """Track the latest reservation of each turn of a program."""

    reservations: dict[str, TokenReservation] = field(factory=dict)
    touched_at: float = 0

    def merge(self, reservation: TokenReservation) -> None:
        """Merge a reservation; a settled one is final."""
        known = self.reservations.get(reservation.turn_id)
        if known is None or (reservation.settled and not known.settled):
            self.reservations[reservation.turn_id] = reservation

    def merge_all(self, reservations: Iterable[TokenReservation]) -> None:
        """Merge several reservations."""
        for reservation in reservations:
            self.merge(reservation)

    def total(self) -> int:
        """Return the tokens that are spent or still reserved."""
        return sum(one.tokens for one in self.reservations.values())

    def retention_seconds(self) -> float:
        """Return the longest retention: how long the program may continue."""
        return max(
            (one.retention_seconds for one in self.reservations.values()),
            default=0,
        )


def is_within_budget(ledger: ProgramLedger, budget: int) -> bool:
    """Return whether all reservations together stay within the budget."""
    return ledger.total() <= budget


def needs_recheck(ledger: ProgramLedger, budget: int) -> bool:
    """Return whether concurrent reservations could exceed the budget.

    Of two concurrent reservations at least one sees the other, because their
    quorums intersect. So if the total seen is at most half of the budget, the
    unseen reservations cannot exceed the other half.
    """
    return 2 * ledger.total() > budget
