"""Bring each operation to the entry that owns its program."""

import logging
from collections.abc import Sequence
from contextlib import ExitStack
from typing import Protocol

import trio
from attrs import define

from jasminewheel._internal.events import program as events
from jasminewheel._internal.membership.member import Member
from jasminewheel._internal.observability.tracing import hop
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.peer.server import Exchange
from jasminewheel._internal.program.host import ProgramHost
from jasminewheel._internal.program.job import Clock
from jasminewheel._internal.program.liveness import LivenessWatch
from jasminewheel._internal.program.operations import ProgramOperations
from jasminewheel._internal.program.ports import EventSink
from jasminewheel._internal.program.route import Route
from jasminewheel._internal.program.takeover import SlotTaker
from jasminewheel._internal.wire.gen.program.ttypes import (
    Operation,
    OperationEvent,
)
from jasminewheel.errors import (
    FencedError,
    MovedError,
    PeerError,
    QuorumError,
)

_LOGGER = logging.getLogger(__name__)
_QUIET_PAUSE_SECONDS = 0.01


class OwnerRanking(Protocol):
    """Rank the live entries for each slot."""

    own: Member

    def preferred(self, subject: str) -> Sequence[Member]:
        """Return the live entries by preference for a subject."""


@define(eq=False)
class Router:
    """Perform operations here or at the owner, wherever they arrive."""

    ranking: OwnerRanking
    pool: PeerPool
    host: ProgramHost
    operations: ProgramOperations
    taker: SlotTaker
    watch: LivenessWatch
    clock: Clock
    running: int = 0

    async def handle(self, exchange: Exchange, operation: Operation) -> None:
        """Perform an operation that another entry forwarded."""
        self.running += 1
        with ExitStack() as cleanup:
            cleanup.callback(self.note_end)
            await self.perform(operation, exchange.reply)

    def note_end(self) -> None:
        """Count an operation of another entry as done."""
        self.running -= 1

    async def quiet(self) -> None:
        """Wait until no operation of another entry is in progress."""
        while self.running:
            await trio.sleep(_QUIET_PAUSE_SECONDS)

    async def perform(self, operation: Operation, sink: EventSink) -> None:
        """Send the operation's events to the sink, over losses of owners.

        Trying again is safe: the log of the program decides what has run.
        """
        route = Route(operation, sink, self.clock())
        while not route.is_done:
            try:
                await self.try_once(route)
            except MovedError as moved:
                route.moved(moved)
            if not route.is_done:
                route.check_patience(self.clock())
                await trio.sleep(route.next_pause())

    async def try_once(self, route: Route) -> None:
        """Perform the operation at the entry that should own the program."""
        slot = self.host.slot_of(route.operation.program)
        owner = await self.find_owner(slot, route)
        if owner is None:
            await self.perform_here(slot, route)
        else:
            await self.forward(owner, route)

    async def find_owner(self, slot: int, route: Route) -> Member | None:
        """Return the entry to ask; None if this one owns the slot."""
        if self.host.slot(slot):
            return None
        chosen = self.choose(slot, route)
        if chosen.member != self.ranking.own.member:
            return chosen
        return await self.taker.take(slot, route.excluded)

    def choose(self, slot: int, route: Route) -> Member:
        """Return the preferred entry of those not found unreachable."""
        for member in self.ranking.preferred(f'slot-{slot}'):
            if member.member not in route.excluded:
                return member
        route.excluded.clear()
        raise MovedError('no entry can be reached')

    async def perform_here(self, slot: int, route: Route) -> None:
        """Perform the operation as the owner of its program."""
        try:
            await self.operations.perform(route.operation, route)
        except FencedError as fenced:
            self.host.lose_slot(slot)
            raise MovedError('another entry took the slot') from fenced
        except QuorumError as missing:
            raise MovedError('too few histories answer') from missing

    async def forward(self, owner: Member, route: Route) -> None:
        """Perform the operation at another entry."""
        message = route.next_hop()
        try:
            with hop('forward', owner=owner.member):
                with self.watch.guard(owner.member):
                    await self.copy_replies(owner, message, route)
        except PeerError as lost:
            events.OWNER_LOST.log(_LOGGER, owner=owner.member, problem=lost)
            route.lost(owner.member, lost)

    async def copy_replies(
        self, owner: Member, message: Operation, route: Route
    ) -> None:
        """Send the owner's events to the sink."""
        address = owner.peer_address
        async with self.pool.stream(
            address, message, OperationEvent
        ) as replies:
            async for event in replies:
                route.found(self.clock())
                await route(event)
