"""Decide what a caller's budget still allows, without I/O."""

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
# One grant takes at most this part of what is left, unless its minimum is
# more, so that many holders share a budget without one stranding it.
_GRANT_SHARE_DIVISOR = 4
# A grant that is forgotten counts as spent.
_MAX_OPEN_GRANTS = 4096


@frozen
class BudgetLimit:
    """Hold the tokens that may be granted in each window."""

    tokens: int
    window_seconds: float


@define
class Account:
    """Hold what was granted in the newest window.

    Windows are named by their start. They never go back: after a step of the
    clock, or a longer window by configuration, the newest one stays until
    the clock passes its start again.
    """

    window_start_ms: int = 0
    granted: int = 0
    grants: dict[str, OpenGrant] = field(factory=dict)

    @classmethod
    def from_snapshot(cls, snapshot: AccountSnapshot) -> Self:
        """Return the account that a snapshot holds."""
        grants = {grant.grant: grant for grant in snapshot.grants}
        return cls(snapshot.window_start_ms, snapshot.granted, grants)

    def snapshot(self) -> AccountSnapshot:
        """Return a record that stands for all before it."""
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
        """Return how long the present window lasts."""
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
        """Return the change that answers the requests, without making it."""
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
        """Return the tokens to grant; 0 if the minimum is not left."""
        left = limit.tokens - self.granted
        minimum = max(1, take.minimum)
        if minimum > left:
            return 0
        return max(minimum, min(take.wanted, left // _GRANT_SHARE_DIVISOR))

    def apply(self, change: AccountChange) -> None:
        """Make a change that the log holds."""
        for returned_grant in change.returned:
            if self.grants.pop(returned_grant.grant, None):
                self.granted -= returned_grant.unspent
        for taken in change.taken:
            self.grants[taken.grant] = taken
            self.granted += taken.amount
        while len(self.grants) > _MAX_OPEN_GRANTS:
            self.grants.pop(next(iter(self.grants)))
