"""Reserve tokens of callers' budgets before calls are dispatched."""

import logging
import time
from collections.abc import AsyncIterator, Callable
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
)
from typing import Self

import trio
from attrs import define, field

from jasminewheel._internal.budget.grant_pool import (
    ActiveGrant,
    GrantPool,
    TokenAllocation,
)
from jasminewheel._internal.budget.grant_requester import (
    GrantRequester,
    LocalAccount,
)
from jasminewheel._internal.events import budget as events
from jasminewheel._internal.wire.gen.budget.ttypes import ReturnGrant
from jasminewheel.errors import (
    CallError,
    JasminewheelError,
    UnavailableError,
)
from jasminewheel.models.verdict import Verdict

_LOGGER = logging.getLogger(__name__)
_GRANT_TIMEOUT_SECONDS = 10.0
_IDLE_CHECK_SECONDS = 10.0
# Grants of an account without reservations for this long are returned.
_IDLE_SECONDS = 60.0
_STOP_TIMEOUT_SECONDS = 2.0


@define(eq=False)
class Reservation:
    """Represent the tokens reserved for one call."""

    caller: str
    grant_pool: GrantPool
    allocation: TokenAllocation
    is_settled: bool = False

    def settle(self, tokens: int) -> None:
        """Charge the tokens that were used and release the others."""
        if self.is_settled:
            return
        self.is_settled = True
        excess = self.grant_pool.charge(self.allocation.settle(tokens))
        if excess:
            events.OVERSPENT.log(_LOGGER, caller=self.caller, tokens=excess)


@define(eq=False)
class BudgetClient(AbstractAsyncContextManager['BudgetClient']):
    """Reserve tokens from local grants, refilled before they run out."""

    requester: GrantRequester
    clock: Callable[[], float] = time.time
    accounts: dict[str, LocalAccount] = field(factory=dict)
    stack: AsyncExitStack = field(factory=AsyncExitStack)
    nursery: trio.Nursery = field(init=False)

    async def __aenter__(self) -> Self:
        """Start the task that returns idle grants."""
        self.nursery = await self.stack.enter_async_context(
            trio.open_nursery(),
        )
        self.nursery.start_soon(self.return_idle_grants)
        return self

    async def __aexit__(self, *exception: object) -> bool | None:
        """Return all unspent grants, unless the process fails."""
        self.nursery.cancel_scope.cancel()
        if exception[0] is None:
            await self.return_all_grants()
        return await self.stack.__aexit__(*exception)

    @asynccontextmanager
    async def reserve(
        self, caller: str, tokens: int, now: float
    ) -> AsyncIterator[Reservation]:
        """Reserve the most that a call may use; raise BudgetError if refused.

        A reservation that is not settled counts as spent, unless the call
        ended with an error whose verdict is "not run".
        """
        account = self.account(caller)
        allocation = await self.allocate(account, tokens, now)
        reservation = Reservation(caller, account.grant_pool, allocation)
        try:
            yield reservation
        except CallError as error:
            if error.verdict is Verdict.not_run:
                reservation.settle(0)
            raise

    def account(self, caller: str) -> LocalAccount:
        """Return the caller's local account, created if missing."""
        return self.accounts.setdefault(caller, LocalAccount(caller))

    async def allocate(
        self, account: LocalAccount, tokens: int, now: float
    ) -> TokenAllocation:
        """Allocate tokens from the pool, or wait for a grant."""
        account.grant_pool.record_demand(tokens, now)
        allocation = account.grant_pool.take(tokens, now)
        if allocation is None:
            allocation = await self.wait_for_grant(account, tokens)
        self.refill_if_low(account)
        return allocation

    async def wait_for_grant(
        self, account: LocalAccount, tokens: int
    ) -> TokenAllocation:
        """Wait until a grant covers the tokens."""
        account.grant_pool.waiting_tokens += tokens
        try:
            with trio.fail_after(_GRANT_TIMEOUT_SECONDS):
                return await self.requester.take_or_request(account, tokens)
        except trio.TooSlowError as late:
            raise UnavailableError(
                'the owner of the budget did not answer in time',
                remedy='retry later',
                retry_after_seconds=1,
            ) from late
        finally:
            account.grant_pool.waiting_tokens -= tokens

    def refill_if_low(self, account: LocalAccount) -> None:
        """Request a grant in the background, before a call has to wait."""
        if not account.is_refilling and account.grant_pool.is_low(self.clock()):
            account.is_refilling = True
            self.nursery.start_soon(self.refill, account)

    async def refill(self, account: LocalAccount) -> None:
        """Request one grant; after a failure the next call tries again."""
        try:
            with trio.move_on_after(_GRANT_TIMEOUT_SECONDS):
                async with account.lock:
                    await self.requester.request_grant(account, 1)
        except JasminewheelError as error:
            events.REFILL_FAILED.log(_LOGGER, problem=error)
        finally:
            account.is_refilling = False

    async def return_idle_grants(self) -> None:
        """Return the grants of idle callers until cancelled."""
        while True:
            await trio.sleep(_IDLE_CHECK_SECONDS)
            now = self.clock()
            for account in list(self.accounts.values()):
                account.grant_pool.drop_expired(now)
                if now - account.grant_pool.used_at > _IDLE_SECONDS:
                    self.nursery.start_soon(self.close_idle, account)

    async def close_idle(self, account: LocalAccount) -> None:
        """Return an idle account's grants; remove it unless used again."""
        await self.return_grants(account)
        grant_pool = account.grant_pool
        if not (
            grant_pool.grants
            or grant_pool.waiting_tokens
            or account.is_refilling
        ):
            self.accounts.pop(account.caller, None)

    async def return_all_grants(self) -> None:
        """Return all grants within the time limit of a stop."""
        with trio.CancelScope(shield=True) as scope:
            scope.deadline = trio.current_time() + _STOP_TIMEOUT_SECONDS
            async with trio.open_nursery() as nursery:
                for account in list(self.accounts.values()):
                    nursery.start_soon(self.close, account)

    async def close(self, account: LocalAccount) -> None:
        """Resolve the pending request, then return all grants."""
        try:
            async with account.lock:
                if account.pending_request:
                    await self.requester.request_grant(account, 1)
        except JasminewheelError as error:
            events.REFILL_FAILED.log(_LOGGER, problem=error)
        await self.return_grants(account)

    async def return_grants(self, account: LocalAccount) -> None:
        """Return the unspent tokens of an account's grants."""
        async with trio.open_nursery() as nursery:
            for active_grant in account.grant_pool.take_all():
                nursery.start_soon(
                    self.return_grant, account.caller, active_grant
                )

    async def return_grant(
        self, caller: str, active_grant: ActiveGrant
    ) -> None:
        """Return one grant; if that fails, it counts as spent."""
        request = ReturnGrant(
            caller=caller,
            grant=active_grant.grant_id,
            unspent=active_grant.unreserved_tokens,
        )
        try:
            await self.requester.source.return_grant(request)
        except JasminewheelError as error:
            events.GRANT_NOT_RETURNED.log(_LOGGER, caller=caller, problem=error)
