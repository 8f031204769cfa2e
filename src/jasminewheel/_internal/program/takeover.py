"""Take over slots whose owners have failed or released them."""

import logging
from collections.abc import Collection, Sequence
from typing import Protocol

import trio

from jasminewheel._internal.events import program as events
from jasminewheel._internal.membership.member import Member
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.peer.server import Exchange
from jasminewheel._internal.program.slot_table import SlotTable
from jasminewheel._internal.wire.gen.program.ttypes import (
    SlotAnswer,
    SlotQuestion,
)
from jasminewheel.errors import (
    FencedError,
    MovedError,
    PeerError,
    QuorumError,
)

_LOGGER = logging.getLogger(__name__)
ASK_TIMEOUT_SECONDS = 1.0


class MemberList(Protocol):
    """List the live members."""

    local_member: Member

    def live(self, role: str = '') -> Sequence[Member]:
        """Return the live members of a role, or of any."""


class LastOwners(Protocol):
    """Look up the member that sealed a slot last."""

    async def last_owner(self, slot: int) -> str:
        """Return the member, or empty if the slot was never sealed."""


class SlotAcquirer:
    """Seal slots, one task per slot, unless their owner serves them."""

    def __init__(
        self,
        table: SlotTable,
        members: MemberList,
        owners: LastOwners,
        pool: PeerPool,
    ) -> None:
        """Start without a take-over in progress."""
        self.table = table
        self.members = members
        self.owners = owners
        self.pool = pool
        self.locks: dict[int, trio.Lock] = {}
        self.is_draining = False

    async def acquire(
        self, slot: int, unreachable: Collection[str]
    ) -> Member | None:
        """Seal the slot and return None, or return its serving owner."""
        if self.is_draining:
            raise MovedError('the entry is shutting down')
        lock = self.locks.setdefault(slot, trio.Lock())
        async with lock:
            if self.table.slot(slot):
                return None
            try:
                return await self.acquire_locked(slot, unreachable)
            except (FencedError, QuorumError) as error:
                raise MovedError('the slot cannot be sealed now') from error

    async def acquire_locked(
        self, slot: int, unreachable: Collection[str]
    ) -> Member | None:
        """Seal the slot unless its owner confirms that it serves the slot."""
        owner = await self.serving_owner(slot, unreachable)
        if owner:
            return owner
        await self.table.ownership.own(slot)
        events.SLOT_ACQUIRED.log(_LOGGER, slot=slot)
        return None

    async def serving_owner(
        self, slot: int, unreachable: Collection[str]
    ) -> Member | None:
        """Return the last owner if it is live and still serves the slot."""
        name = await self.owners.last_owner(slot)
        if name in unreachable or name == self.members.local_member.member:
            return None
        live = {member.member: member for member in self.members.live()}
        owner = live.get(name)
        if owner and await self.serves(owner, slot):
            return owner
        return None

    async def serves(self, member: Member, slot: int) -> bool:
        """Return whether a member owns the slot; False if unreachable.

        A member that was sent the question but did not answer may be slow;
        only the membership may declare it dead.
        """
        try:
            return await self.ask(member, slot)
        except PeerError as error:
            if error.sent:
                raise MovedError('the slot owner did not answer') from error
        return False

    async def is_reachable(self, member: Member, slot: int) -> bool:
        """Return whether a member's process runs or may run."""
        try:
            await self.ask(member, slot)
        except PeerError as error:
            return error.sent
        return True

    async def ask(self, member: Member, slot: int) -> bool:
        """Return whether a member reports that it owns the slot."""
        answer = await self.pool.ask(
            member.peer_address,
            SlotQuestion(slot=slot),
            SlotAnswer,
            timeout_seconds=ASK_TIMEOUT_SECONDS,
        )
        return answer.owned

    async def answer(
        self, exchange: Exchange, question: SlotQuestion
    ) -> SlotAnswer:
        """Answer another entry whether this entry serves a slot."""
        return SlotAnswer(owned=self.table.slot(question.slot) is not None)
