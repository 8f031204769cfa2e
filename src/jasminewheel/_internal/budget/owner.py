"""Reach the owner of a caller's account, wherever it is."""

from collections.abc import Callable, Collection, Sequence
from typing import Any, Protocol, TypeVar

import trio
from attrs import define

from jasminewheel._internal.budget.journal import log_of
from jasminewheel._internal.budget.ports import SlotLog
from jasminewheel._internal.budget.service import BudgetService
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.wire.gen.budget.ttypes import (
    GrantReturned,
    GrantTaken,
    ReturnGrant,
    TakeGrant,
)
from jasminewheel.errors import (
    FencedError,
    MovedError,
    PeerError,
    QuorumError,
    UnavailableError,
)

_ASK_SECONDS = 3.0
_PATIENCE_SECONDS = 8.0
_PAUSE_SECONDS = 0.05
ReplyT = TypeVar('ReplyT')


class PeerMember(Protocol):
    """Name a process and where its peers reach it."""

    member: str
    peer_address: str


class OwnerRanking(Protocol):
    """Rank the live entries for each slot."""

    own: PeerMember

    def preferred(self, subject: str) -> Sequence[PeerMember]:
        """Return the live entries by preference for a subject."""


class SlotTaker(Protocol):
    """Seal slots unless their owner still serves them."""

    async def take(
        self, slot: int, unreachable: Collection[str]
    ) -> PeerMember | None:
        """Own the slot and return None, or return its serving owner."""


class SlotOwnership(Protocol):
    """Know the slots owned here."""

    def owned(self, slot: int) -> SlotLog | None:
        """Return the slot if it is owned."""


@define(eq=False)
class TakenSlots:
    """Own the slots of accounts that other entries ask for here."""

    ownership: SlotOwnership
    slot_of: Callable[[str], int]
    taker: SlotTaker | None = None

    async def own(self, subject: str) -> SlotLog:
        """Return the slot; raise MovedError if another entry serves it."""
        number = self.slot_of(subject)
        owned = self.ownership.owned(number)
        if owned is None:
            await self.take(number, ())
            owned = self.ownership.owned(number)
        if owned is None:
            raise MovedError('another entry owns the account')
        return owned

    async def take(
        self, number: int, unreachable: Collection[str]
    ) -> PeerMember | None:
        """Own the slot and return None, or return its serving owner."""
        if self.taker is None:
            raise MovedError('the entry is starting')
        return await self.taker.take(number, unreachable)


@define(eq=False)
class AccountOwners:
    """Send requests to accounts' owners; each may be sent again."""

    service: BudgetService
    slots: TakenSlots
    ranking: OwnerRanking
    pool: PeerPool

    async def take(self, request: TakeGrant) -> GrantTaken:
        """Take a grant, once for each identifier."""
        return await self.perform(request, GrantTaken)

    async def give_back(self, request: ReturnGrant) -> GrantReturned:
        """Give back what is unspent of a grant, once."""
        return await self.perform(request, GrantReturned)

    async def perform(self, message: Any, reply_kind: type[ReplyT]) -> ReplyT:
        """Ask until an owner answers or patience ends."""
        unreachable: set[str] = set()
        with trio.move_on_after(_PATIENCE_SECONDS):
            while True:
                answer = await self.try_once(message, reply_kind, unreachable)
                if answer is not None:
                    return answer
                await trio.sleep(_PAUSE_SECONDS)
        raise UnavailableError(
            'no entry can reach the account of the budget',
            remedy='retry later',
            retry_after_seconds=1,
        )

    async def try_once(
        self,
        message: Any,
        reply_kind: type[ReplyT],
        unreachable: set[str],
    ) -> ReplyT | None:
        """Ask the entry that should own the account; None to try again."""
        try:
            owner = await self.find_owner(message.caller, unreachable)
            if owner is None:
                return await self.ask_here(message)
        except (MovedError, FencedError, QuorumError):
            return None
        try:
            return await self.pool.ask(
                owner.peer_address,
                message,
                reply_kind,
                timeout_seconds=_ASK_SECONDS,
            )
        except (MovedError, FencedError, QuorumError):
            return None
        except PeerError:
            unreachable.add(owner.member)
            return None

    async def find_owner(
        self, caller: str, unreachable: set[str]
    ) -> PeerMember | None:
        """Return the entry to ask, or None if it is this one."""
        number = self.slots.slot_of(log_of(caller))
        if self.slots.ownership.owned(number):
            return None
        candidates = [
            member
            for member in self.ranking.preferred(f'slot-{number}')
            if member.member not in unreachable
        ]
        if not candidates:
            unreachable.clear()
            raise MovedError('no entry can be reached')
        if candidates[0].member == self.ranking.own.member:
            return await self.slots.take(number, unreachable)
        return candidates[0]

    async def ask_here(self, message: TakeGrant | ReturnGrant) -> Any:
        """Ask the service of this process."""
        if isinstance(message, TakeGrant):
            return await self.service.take(message)
        return await self.service.give_back(message)
