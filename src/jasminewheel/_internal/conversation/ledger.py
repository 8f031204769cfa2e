"""Count the tokens that the turns of one program took from its budget."""

from collections.abc import Iterable

from attrs import define, field

from jasminewheel._internal.wire.gen.conversation.ttypes import (
    TokenReservation,
)


@define(eq=False)
class ProgramLedger:
    """Hold the newest known reservation of each turn of a program."""

    reservations: dict[str, TokenReservation] = field(factory=dict)
    touched_at: float = 0

    def merge(self, reservation: TokenReservation) -> None:
        """Take a reservation; a settled one stands for good."""
        known = self.reservations.get(reservation.turn_id)
        if known is None or (reservation.settled and not known.settled):
            self.reservations[reservation.turn_id] = reservation

    def merge_all(self, reservations: Iterable[TokenReservation]) -> None:
        """Take several reservations."""
        for reservation in reservations:
            self.merge(reservation)

    def total(self) -> int:
        """Return the tokens that are spent or may yet be."""
        return sum(one.tokens for one in self.reservations.values())

    def retention_seconds(self) -> float:
        """Return for how long the program may still come back."""
        return max(
            (one.retention_seconds for one in self.reservations.values()),
            default=0,
        )


def is_within_budget(ledger: ProgramLedger, budget: int) -> bool:
    """Tell whether all that is reserved stays within the budget."""
    return ledger.total() <= budget


def needs_recheck(ledger: ProgramLedger, budget: int) -> bool:
    """Tell whether reservations made meanwhile could break the budget.

    Of two reservations made at the same time at least one sees the other,
    so below half of the budget the unseen ones cannot exceed the rest.
    """
    return 2 * ledger.total() > budget
