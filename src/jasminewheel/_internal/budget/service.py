"""Grant parts of budgets as the owner of their accounts."""

import logging
import time
from collections.abc import Callable, Mapping
from contextlib import ExitStack
from typing import Any

import trio
from attrs import define, field

from jasminewheel._internal.budget.account import BudgetLimit
from jasminewheel._internal.budget.journal import AccountJournal, account_log_id
from jasminewheel._internal.budget.ports import LimitSource, SlotSource
from jasminewheel._internal.events import budget as events
from jasminewheel._internal.peer.server import Exchange, Handler
from jasminewheel._internal.wire.gen.budget.ttypes import (
    GrantReturned,
    GrantTaken,
    ReturnGrant,
    TakeGrant,
)
from jasminewheel.errors import FencedError, NotFoundError

_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class _Request:
    message: TakeGrant | ReturnGrant
    answer: GrantTaken | GrantReturned | None = None


@define(eq=False)
class _AccountQueue:
    """Queue the requests of one account.

    The task that has the lock answers all queued requests together.
    """

    lock: trio.Lock = field(factory=trio.Lock)
    requests: list[_Request] = field(factory=list)
    journal: AccountJournal | None = None

    def messages(self, kind: type[Any]) -> list[Any]:
        """Return the queued messages of a kind."""
        return [
            request.message
            for request in self.requests
            if isinstance(request.message, kind)
        ]


@define(eq=False)
class BudgetService:
    """Answer requests for grants after a majority has stored the grants."""

    slots: SlotSource
    limit_of: LimitSource
    clock: Callable[[], float] = time.time
    account_queues: dict[str, _AccountQueue] = field(factory=dict)

    def handlers(self) -> Mapping[type, Handler]:
        """Return the handlers of peers' messages."""
        return {TakeGrant: self.handle_take, ReturnGrant: self.handle_return}

    async def handle_take(
        self, _exchange: Exchange, message: TakeGrant
    ) -> GrantTaken:
        """Answer a peer's request for a grant."""
        return await self.take(message)

    async def handle_return(
        self, _exchange: Exchange, message: ReturnGrant
    ) -> GrantReturned:
        """Answer a peer's return of a grant."""
        return await self.return_grant(message)

    async def take(self, message: TakeGrant) -> GrantTaken:
        """Grant tokens once a majority of replicas has stored the grant.

        Raises QuorumError if the outcome is unknown; the request may then be
        repeated with the same identifier. Raises FencedError if another
        process owns the account.
        """
        return await self.submit(message.caller, _Request(message))

    async def return_grant(self, message: ReturnGrant) -> GrantReturned:
        """Credit the unspent tokens of a grant."""
        return await self.submit(message.caller, _Request(message))

    async def submit(self, caller: str, request: _Request) -> Any:
        """Queue a request and return its answer."""
        account_queue = self.account_queues.setdefault(caller, _AccountQueue())
        with ExitStack() as stack:
            account_queue.requests.append(request)
            stack.callback(self.remove_request, caller, account_queue, request)
            async with account_queue.lock:
                if request.answer is None:
                    await self.serve(caller, account_queue)
        return request.answer

    def remove_request(
        self, caller: str, account_queue: _AccountQueue, request: _Request
    ) -> None:
        """Remove a request, and its queue if that is empty and never loaded."""
        if request in account_queue.requests:
            account_queue.requests.remove(request)
        if account_queue.journal is None and not account_queue.requests:
            self.account_queues.pop(caller, None)

    async def serve(self, caller: str, account_queue: _AccountQueue) -> None:
        """Answer all queued requests with one record."""
        limit = self.limit_of(caller)
        if limit is None:
            raise NotFoundError(f'no caller {caller}')
        try:
            await self.serve_within(limit, caller, account_queue)
        except FencedError:
            account_queue.journal = None
            raise

    async def serve_within(
        self, limit: BudgetLimit, caller: str, account_queue: _AccountQueue
    ) -> None:
        """Append one record with all grants and returns, then answer."""
        journal = await self.journal_of(caller, account_queue)
        # The pending record may have opened a newer window.
        await journal.commit_pending()
        window = journal.account.window_at(self.clock(), limit)
        await journal.open_window(window)
        served = list(account_queue.requests)
        change = journal.account.decide(
            account_queue.messages(TakeGrant),
            account_queue.messages(ReturnGrant),
            limit,
        )
        await journal.commit(change)
        counted = {returned_grant.grant for returned_grant in change.returned}
        seconds_left = journal.account.seconds_left(self.clock(), limit)
        for request in served:
            if isinstance(request.message, ReturnGrant):
                is_counted = request.message.grant in counted
                request.answer = GrantReturned(counted=is_counted)
            else:
                request.answer = GrantTaken(
                    amount=journal.account.amount_of(request.message.grant),
                    window_start_ms=journal.account.window_start_ms,
                    seconds_left=seconds_left,
                )
            account_queue.requests.remove(request)

    async def journal_of(
        self, caller: str, account_queue: _AccountQueue
    ) -> AccountJournal:
        """Return the account's journal, reloaded after a change of owner."""
        slot = await self.slots.own(account_log_id(caller))
        if (
            account_queue.journal is None
            or account_queue.journal.slot is not slot
        ):
            account_queue.journal = await AccountJournal.load(slot, caller)
            events.ACCOUNT_LOADED.log(_LOGGER, caller=caller)
        return account_queue.journal
