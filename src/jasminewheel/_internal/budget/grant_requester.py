"""Request grants from account owners, one at a time for each caller."""

import time
from collections.abc import Callable
from uuid import uuid4

import trio
from attrs import define, field

from jasminewheel._internal.budget.grant_pool import GrantPool, TokenAllocation
from jasminewheel._internal.budget.ports import GrantSource
from jasminewheel._internal.wire.gen.budget.ttypes import TakeGrant
from jasminewheel.errors import BudgetError


@define(eq=False)
class LocalAccount:
    """Represent a caller's grants in this process.

    The lock lets one task at a time request a grant.
    """

    caller: str
    grant_pool: GrantPool = field(factory=GrantPool)
    lock: trio.Lock = field(factory=trio.Lock)
    # A request without an answer is sent again, under the same identifier,
    # before any other request.
    pending_request: TakeGrant | None = None
    is_refilling: bool = False


@define(eq=False)
class GrantRequester:
    """Request grants and add them to the pools of local accounts."""

    source: GrantSource
    holder: str
    clock: Callable[[], float] = time.time

    async def take_or_request(
        self, account: LocalAccount, tokens: int
    ) -> TokenAllocation:
        """Allocate tokens, requesting grants until there are enough."""
        grant_pool = account.grant_pool
        async with account.lock:
            allocation = grant_pool.take(tokens, self.clock())
            while allocation is None:
                missing = tokens - grant_pool.available_tokens(self.clock())
                self.check_refusal(grant_pool, missing)
                await self.request_grant(account, missing)
                allocation = grant_pool.take(tokens, self.clock())
            return allocation

    def check_refusal(self, grant_pool: GrantPool, missing: int) -> None:
        """Raise BudgetError if as many tokens were refused recently."""
        if grant_pool.is_refused(missing, self.clock()):
            raise BudgetError(
                'the budget of the window is exhausted',
                remedy='wait for the next window or raise spec.budget',
                retry_after_seconds=max(1, grant_pool.refused_seconds),
            )

    async def request_grant(self, account: LocalAccount, minimum: int) -> None:
        """Request one grant and add it to the pool, or record the refusal."""
        request = account.pending_request or TakeGrant(
            caller=account.caller,
            grant=uuid4().hex,
            holder=self.holder,
            minimum=minimum,
            wanted=account.grant_pool.refill_tokens(minimum),
        )
        account.pending_request = request
        taken = await self.source.take(request)
        account.pending_request = None
        now = self.clock()
        if taken.amount:
            account.grant_pool.add(
                request.grant,
                taken.amount,
                now + taken.seconds_left,
            )
        else:
            account.grant_pool.record_refusal(
                request.minimum, taken.seconds_left, now
            )
