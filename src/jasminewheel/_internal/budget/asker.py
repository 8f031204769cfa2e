"""Ask the owners of accounts for grants, one at a time for each caller."""

import time
from collections.abc import Callable
from uuid import uuid4

import trio
from attrs import define, field

from jasminewheel._internal.budget.ports import GrantSource
from jasminewheel._internal.budget.purse import Hold, Purse
from jasminewheel._internal.wire.gen.budget.ttypes import TakeGrant
from jasminewheel.errors import BudgetError


@define(eq=False)
class HeldAccount:
    """Hold a caller's purse; one task at a time asks for a grant."""

    caller: str
    purse: Purse = field(factory=Purse)
    lock: trio.Lock = field(factory=trio.Lock)
    # Its answer was lost; it is asked for again before any other.
    unsettled: TakeGrant | None = None
    is_refilling: bool = False


@define(eq=False)
class GrantAsker:
    """Fill purses with grants."""

    source: GrantSource
    holder: str
    clock: Callable[[], float] = time.time

    async def take_or_ask(self, account: HeldAccount, tokens: int) -> Hold:
        """Take tokens, asking for grants until there are enough."""
        purse = account.purse
        async with account.lock:
            hold = purse.take(tokens, self.clock())
            while hold is None:
                missing = tokens - purse.left(self.clock())
                self.check_refusal(purse, missing)
                await self.ask(account, missing)
                hold = purse.take(tokens, self.clock())
            return hold

    def check_refusal(self, purse: Purse, missing: int) -> None:
        """Raise BudgetError if as much was refused a moment ago."""
        if purse.is_refused(missing, self.clock()):
            raise BudgetError(
                'the budget of the window is exhausted',
                remedy='wait for the next window or raise spec.budget',
                retry_after_seconds=max(1, purse.refused_seconds),
            )

    async def ask(self, account: HeldAccount, minimum: int) -> None:
        """Ask for one grant and add it to the purse, or note the refusal."""
        request = account.unsettled or TakeGrant(
            caller=account.caller,
            grant=uuid4().hex,
            holder=self.holder,
            minimum=minimum,
            wanted=account.purse.wanted(minimum),
        )
        account.unsettled = request
        taken = await self.source.take(request)
        account.unsettled = None
        now = self.clock()
        if taken.amount:
            account.purse.add(
                request.grant,
                taken.amount,
                now + taken.seconds_left,
            )
        else:
            account.purse.refuse(request.minimum, taken.seconds_left, now)
