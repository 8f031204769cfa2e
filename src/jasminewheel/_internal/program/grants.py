"""Route requests for budget grants to the owners of the accounts."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
from attrs import define

from jasminewheel._internal.budget.journal import account_log_id
from jasminewheel._internal.budget.service import BudgetService
from jasminewheel._internal.membership.member import Member
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.program.owner_finder import OwnerFinder
from jasminewheel._internal.program.ports import SlotLog
from jasminewheel._internal.wire.gen.budget.ttypes import (
    GrantReturned,
    GrantTaken,
    ReturnGrant,
    TakeGrant,
)
from jasminewheel.errors import (
    FencedError,
    JasminewheelError,
    MovedError,
    PeerError,
    QuorumError,
    UnavailableError,
)

GrantT = TypeVar('GrantT', GrantTaken, GrantReturned)
_REPLY_TIMEOUT_SECONDS = 3.0
_GRANT_TIMEOUT_SECONDS = 10.0
_MIN_PAUSE_SECONDS = 0.01
_MAX_PAUSE_SECONDS = 0.25
# Retrying is safe after these errors, since grants are idempotent.
_RETRIED_ERRORS: tuple[type[JasminewheelError], ...] = (
    FencedError,
    MovedError,
    QuorumError,
    UnavailableError,
)


@define(eq=False)
class AccountSlots:
    """Acquire the slots in which accounts are stored."""

    finder: OwnerFinder

    async def own(self, subject: str) -> SlotLog:
        """Return the slot; raise MovedError if another entry should own it."""
        table = self.finder.table
        number = table.slot_of(subject)
        unreachable: set[str] = set()
        while not table.slot(number):
            owner = await self.finder.find(number, unreachable)
            if owner and await self.finder.acquirer.is_reachable(owner, number):
                raise MovedError(f'{owner.member} should own the account')
            if owner:
                unreachable.add(owner.member)
        return table.slot(number).log


@define(eq=False)
class GrantRouter:
    """Send requests to the owner of an account, local or remote."""

    finder: OwnerFinder
    pool: PeerPool
    service: BudgetService

    async def take(self, request: TakeGrant) -> GrantTaken:
        """Return the grant of this identifier; a retry grants nothing more."""
        return await self.ask(request, GrantTaken, self.service.take)

    async def return_grant(self, request: ReturnGrant) -> GrantReturned:
        """Return the unspent tokens of a grant; a retry has no effect."""
        return await self.ask(request, GrantReturned, self.service.return_grant)

    async def ask(
        self,
        request: TakeGrant | ReturnGrant,
        reply_kind: type[GrantT],
        handle_locally: Callable[..., Awaitable[GrantT]],
    ) -> GrantT:
        """Retry until an owner answers; raise UnavailableError on timeout."""
        unreachable: set[str] = set()
        pause = _MIN_PAUSE_SECONDS
        with trio.move_on_after(_GRANT_TIMEOUT_SECONDS):
            while True:
                answer = await self.ask_once(
                    request, reply_kind, handle_locally, unreachable
                )
                if answer:
                    return answer
                await trio.sleep(pause)
                pause = min(2 * pause, _MAX_PAUSE_SECONDS)
        raise UnavailableError('no owner of the budget answered in time')

    async def ask_once(
        self,
        request: TakeGrant | ReturnGrant,
        reply_kind: type[GrantT],
        handle_locally: Callable[..., Awaitable[GrantT]],
        unreachable: set[str],
    ) -> GrantT | None:
        """Return the owner's answer, or None if this attempt failed."""
        try:
            owner = await self.owner_of(request.caller, unreachable)
            if owner is None:
                return await handle_locally(request)
            return await self.pool.ask(
                owner.peer_address,
                request,
                reply_kind,
                timeout_seconds=_REPLY_TIMEOUT_SECONDS,
            )
        except PeerError:
            if owner:
                unreachable.add(owner.member)
        except _RETRIED_ERRORS:
            return None
        return None

    async def owner_of(
        self, caller: str, unreachable: set[str]
    ) -> Member | None:
        """Return the entry that owns the account, or None if it is local."""
        slot = self.finder.table.slot_of(account_log_id(caller))
        return await self.finder.find(slot, unreachable)
