"""Define the interfaces through which budgets use other packages."""

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
    """Describe one record of a log."""

    index: int
    kind: str
    payload: bytes


class SlotLog(Protocol):
    """Read and append the logs of one slot under this process's fence."""

    async def read(self, log_id: str) -> Sequence[AccountRecord]:
        """Return a log's records from its last snapshot on."""

    async def append(
        self, log_id: str, index: int, kind: str, payload: bytes
    ) -> None:
        """Append a record; return once a majority has stored it."""

    async def snapshot(
        self, log_id: str, index: int, kind: str, payload: bytes
    ) -> None:
        """Append a record that replaces all records before it."""


class SlotSource(Protocol):
    """Acquire the slots in which accounts are stored."""

    async def own(self, subject: str) -> SlotLog:
        """Return the slot of the subject, sealing it if it is not yet owned.

        Raises an error if another process should own it.
        """


class LimitSource(Protocol):
    """Look up the limits of callers."""

    def __call__(self, caller: str) -> BudgetLimit | None:
        """Return the limit, or None for an unknown caller."""


class GrantSource(Protocol):
    """Send requests to the owner of an account, local or remote.

    Raises UnavailableError if no owner answers in time.
    """

    async def take(self, request: TakeGrant) -> GrantTaken:
        """Return the grant of this identifier; a retry grants nothing more."""

    async def return_grant(self, request: ReturnGrant) -> GrantReturned:
        """Return the unspent tokens of a grant; a retry has no effect."""
