"""Let calls pass that spend no tokens."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class UnlimitedReservation:
    """Hold a reservation that nothing is taken from."""

    def settle(self, tokens: int) -> None:
        """Take note of nothing."""


class UnlimitedBudget:
    """Reserve any number of tokens."""

    @asynccontextmanager
    async def reserve(
        self, caller: str, tokens: int, now: float
    ) -> AsyncIterator[UnlimitedReservation]:
        """Reserve the tokens."""
        yield UnlimitedReservation()
