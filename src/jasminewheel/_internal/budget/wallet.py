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

from jasminewheel._internal.budget.asker import GrantAsker, HeldAccount
from jasminewheel._internal.budget.purse import HeldGrant, Hold, Purse
from jasminewheel._internal.events import budget as events
from jasminewheel._internal.wire.gen.budget.ttypes import ReturnGrant
from jasminewheel.errors import (
    CallError,
    JasminewheelError,
    UnavailableError,
)
from jasminewheel.models.verdict import Verdict

_LOGGER = logging.getLogger(__name__)
_GRANT_WAIT_SECONDS = 10.0
_SWEEP_SECONDS = 10.0
# Grants that nothing was reserved from for so long go back.
_IDLE_SECONDS = 60.0
_STOP_SECONDS = 2.0


@define(eq=False)
class Reservation:
    """Hold tokens for one call."""

    caller: str
    purse: Purse
    hold: Hold
    is_settled: bool = False

    def settle(self, tokens: int) -> None:
        """Spend the tokens that were used and give back the others."""
        if self.is_settled:
            return
        self.is_settled = True
        excess = self.purse.charge(self.hold.settle(tokens))
        if excess:
            events.OVERSPENT.log(_LOGGER, caller=self.caller, tokens=excess)


@define(eq=False)
class Wallet(AbstractAsyncContextManager['Wallet']):
    """Spend from grants in hand; a call rarely waits for a new one."""

    asker: GrantAsker
    clock: Callable[[], float] = time.time
    accounts: dict[str, HeldAccount] = field(factory=dict)
    stack: AsyncExitStack = field(factory=AsyncExitStack)
    nursery: trio.Nursery = field(init=False)

    async def __aenter__(self) -> Self:
        """Start to give back idle grants."""
        self.nursery = await self.stack.enter_async_context(
            trio.open_nursery(),
        )
        self.nursery.start_soon(self.sweep)
        return self

    async def __aexit__(self, *exception: object) -> bool | None:
        """Give back what is unspent, unless the process fails."""
        self.nursery.cancel_scope.cancel()
        if exception[0] is None:
            await self.give_back_all()
        return await self.stack.__aexit__(*exception)

    @asynccontextmanager
    async def reserve(
        self, caller: str, tokens: int, now: float
    ) -> AsyncIterator[Reservation]:
        """Reserve the most that a call may use; raise BudgetError if refused.

        A reservation that is left unsettled counts as spent, unless the call
        ended with an error that says that it did not run.
        """
        account = self.account(caller)
        hold = await self.hold(account, tokens, now)
        reservation = Reservation(caller, account.purse, hold)
        try:
            yield reservation
        except CallError as error:
            if error.verdict is Verdict.not_run:
                reservation.settle(0)
            raise

    def account(self, caller: str) -> HeldAccount:
        """Return the caller's account in hand."""
        return self.accounts.setdefault(caller, HeldAccount(caller))

    async def hold(self, account: HeldAccount, tokens: int, now: float) -> Hold:
        """Return tokens from the purse, or wait for a grant."""
        account.purse.note_demand(tokens, now)
        hold = account.purse.take(tokens, now)
        if hold is None:
            hold = await self.wait_for_grant(account, tokens)
        self.refill_if_low(account)
        return hold

    async def wait_for_grant(self, account: HeldAccount, tokens: int) -> Hold:
        """Wait in line for tokens."""
        account.purse.waiting += tokens
        try:
            with trio.fail_after(_GRANT_WAIT_SECONDS):
                return await self.asker.take_or_ask(account, tokens)
        except trio.TooSlowError as late:
            raise UnavailableError(
                'the owner of the budget did not answer in time',
                remedy='retry later',
                retry_after_seconds=1,
            ) from late
        finally:
            account.purse.waiting -= tokens

    def refill_if_low(self, account: HeldAccount) -> None:
        """Ask for a grant in the background, before a call waits for it."""
        if not account.is_refilling and account.purse.is_low(self.clock()):
            account.is_refilling = True
            self.nursery.start_soon(self.refill, account)

    async def refill(self, account: HeldAccount) -> None:
        """Ask for one grant; a failure is left to the next call."""
        try:
            with trio.move_on_after(_GRANT_WAIT_SECONDS):
                async with account.lock:
                    await self.asker.ask(account, 1)
        except JasminewheelError as error:
            events.REFILL_FAILED.log(_LOGGER, problem=error)
        finally:
            account.is_refilling = False

    async def sweep(self) -> None:
        """Give back grants of callers that have become idle."""
        while True:
            await trio.sleep(_SWEEP_SECONDS)
            now = self.clock()
            for account in list(self.accounts.values()):
                account.purse.drop_expired(now)
                if now - account.purse.used_at > _IDLE_SECONDS:
                    self.nursery.start_soon(self.retire, account)

    async def retire(self, account: HeldAccount) -> None:
        """Give back an idle account's grants; free it unless it is used."""
        await self.give_back(account)
        purse = account.purse
        if not (purse.grants or purse.waiting or account.is_refilling):
            self.accounts.pop(account.caller, None)

    async def give_back_all(self) -> None:
        """Give back all grants, as far as the time of a stop allows."""
        with trio.CancelScope(shield=True) as scope:
            scope.deadline = trio.current_time() + _STOP_SECONDS
            async with trio.open_nursery() as nursery:
                for account in list(self.accounts.values()):
                    nursery.start_soon(self.close, account)

    async def close(self, account: HeldAccount) -> None:
        """Settle a grant whose answer is out, then give back all."""
        try:
            async with account.lock:
                if account.unsettled:
                    await self.asker.ask(account, 1)
        except JasminewheelError as error:
            events.REFILL_FAILED.log(_LOGGER, problem=error)
        await self.give_back(account)

    async def give_back(self, account: HeldAccount) -> None:
        """Give back what is unspent of an account's grants."""
        async with trio.open_nursery() as nursery:
            for held in account.purse.empty():
                nursery.start_soon(self.give_back_one, account.caller, held)

    async def give_back_one(self, caller: str, held: HeldGrant) -> None:
        """Give back one grant; a failure makes it count as spent."""
        request = ReturnGrant(
            caller=caller,
            grant=held.grant,
            unspent=held.left,
        )
        try:
            await self.asker.source.give_back(request)
        except JasminewheelError as error:
            events.GRANT_LOST.log(_LOGGER, caller=caller, problem=error)
