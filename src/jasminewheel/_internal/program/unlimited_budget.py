"""Reserve tokens without a limit, for calls that spend none."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class UnlimitedReservation:
    """Represent a reservation that is not charged."""

    def settle(self, tokens: int) -> None:
        """Ignore the used tokens."""


class UnlimitedBudget:
    """Reserve any number of tokens."""

    @asynccontextmanager
    async def reserve(
        self, caller: str, tokens: int, now: float
    ) -> AsyncIterator[UnlimitedReservation]:
        """Reserve the tokens."""
        yield UnlimitedReservation()
