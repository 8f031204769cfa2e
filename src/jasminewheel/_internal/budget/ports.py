"""Describe what budgets need of the other parts."""

from collections.abc import Sequence
from typing import Protocol

from jasminewheel._internal.budget.account import BudgetLimit
from jasminewheel._internal.wire.gen.budget.ttypes import (
    GrantReturned,
    GrantTaken,
    ReturnGrant,
    TakeGrant,
)


class AccountRecord(Protocol):
    """Hold one record of a log."""

    index: int
    kind: str
    payload: bytes


class SlotLog(Protocol):
    """Keep the logs of one slot under this process's fence."""

    async def read(self, log_id: str) -> Sequence[AccountRecord]:
        """Return a log's records from its last snapshot on."""

    async def append(
        self, log_id: str, index: int, kind: str, payload: bytes
    ) -> None:
        """Return when a majority holds the record."""

    async def snapshot(
        self, log_id: str, index: int, kind: str, payload: bytes
    ) -> None:
        """Append a record that stands for all before it."""


class SlotSource(Protocol):
    """Find the slots of accounts and own them."""

    async def own(self, subject: str) -> SlotLog:
        """Return the slot of the subject, sealed if need be.

        Raises an error if another process should own it.
        """


class LimitSource(Protocol):
    """Know the limits of callers."""

    def __call__(self, caller: str) -> BudgetLimit | None:
        """Return the limit, or None for an unknown caller."""


class GrantSource(Protocol):
    """Reach the owner of an account, wherever it is.

    Raises UnavailableError if no owner answers in time.
    """

    async def take(self, request: TakeGrant) -> GrantTaken:
        """Take a grant, once for each identifier."""

    async def return_grant(self, request: ReturnGrant) -> GrantReturned:
        """Give back what is unspent of a grant, once."""
