"""Decide which grants a caller's budget allows, without I/O."""

from collections.abc import Iterable
from math import floor
from typing import Self

from attrs import define, field, frozen

from jasminewheel._internal.wire.gen.budget.ttypes import (
    AccountChange,
    AccountSnapshot,
    GivenBack,
    OpenGrant,
    ReturnGrant,
    TakeGrant,
)

_MILLISECONDS = 1000
# A grant is at most the ungranted tokens divided by this, unless its minimum
# is more, so that no single holder ties up a budget that many share.
_GRANT_SHARE_DIVISOR = 4
# Above this number the oldest grants are discarded; they count as spent.
_MAX_OPEN_GRANTS = 4096


@frozen
class BudgetLimit:
    """Represent the number of tokens that may be granted in each window."""

    tokens: int
    window_seconds: float


@define
class Account:
    """Represent the tokens and open grants of the newest window.

    A window is identified by its start. Windows never go back: after a
    backward step of the clock, or a change to longer windows, the newest
    window stays in use until the clock passes its start again.
    """

    window_start_ms: int = 0
    granted: int = 0
    grants: dict[str, OpenGrant] = field(factory=dict)

    @classmethod
    def from_snapshot(cls, snapshot: AccountSnapshot) -> Self:
        """Return the account that a snapshot describes."""
        grants = {grant.grant: grant for grant in snapshot.grants}
        return cls(snapshot.window_start_ms, snapshot.granted, grants)

    def snapshot(self) -> AccountSnapshot:
        """Return a record that replaces all records before it."""
        return AccountSnapshot(
            window_start_ms=self.window_start_ms,
            granted=self.granted,
            grants=list(self.grants.values()),
        )

    def window_at(self, now: float, limit: BudgetLimit) -> int:
        """Return the start of the window to grant from, in milliseconds."""
        number = floor(now / limit.window_seconds)
        start_ms = int(number * limit.window_seconds * _MILLISECONDS)
        return max(self.window_start_ms, start_ms)

    def seconds_left(self, now: float, limit: BudgetLimit) -> float:
        """Return the seconds until the current window ends."""
        start = self.window_start_ms / _MILLISECONDS
        return max(0, start + limit.window_seconds - now)

    def amount_of(self, grant: str) -> int:
        """Return the tokens of an open grant, 0 if there is none."""
        found = self.grants.get(grant)
        return found.amount if found else 0

    def decide(
        self,
        takes: Iterable[TakeGrant],
        returns: Iterable[ReturnGrant],
        limit: BudgetLimit,
    ) -> AccountChange:
        """Return the change that answers the requests, without applying it."""
        trial = Account(self.window_start_ms, self.granted, {**self.grants})
        change = AccountChange(taken=[], returned=[])
        for request in returns:
            if 0 <= request.unspent <= trial.amount_of(request.grant):
                returned_grant = GivenBack(
                    grant=request.grant, unspent=request.unspent
                )
                trial.apply(AccountChange(taken=[], returned=[returned_grant]))
                change.returned.append(returned_grant)
        for take in takes:
            amount = trial.grantable_tokens(take, limit)
            if amount and take.grant not in trial.grants:
                taken = OpenGrant(
                    grant=take.grant,
                    holder=take.holder,
                    amount=amount,
                )
                trial.apply(AccountChange(taken=[taken], returned=[]))
                change.taken.append(taken)
        return change

    def grantable_tokens(self, take: TakeGrant, limit: BudgetLimit) -> int:
        """Return the tokens to grant; 0 if fewer than the minimum are left."""
        left = limit.tokens - self.granted
        minimum = max(1, take.minimum)
        if minimum > left:
            return 0
        return max(minimum, min(take.wanted, left // _GRANT_SHARE_DIVISOR))

    def apply(self, change: AccountChange) -> None:
        """Apply a change that is committed to the log."""
        for returned_grant in change.returned:
            if self.grants.pop(returned_grant.grant, None):
                self.granted -= returned_grant.unspent
        for taken in change.taken:
            self.grants[taken.grant] = taken
            self.granted += taken.amount
        while len(self.grants) > _MAX_OPEN_GRANTS:
            self.grants.pop(next(iter(self.grants)))
