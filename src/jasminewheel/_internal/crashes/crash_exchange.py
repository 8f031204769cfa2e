"""Tell all entries, through the replicas, under which calls runners end."""

import logging
from collections.abc import Mapping
from random import Random

import trio
from attrs import define, field

from jasminewheel._internal.conversation.replica_set import Replica
from jasminewheel._internal.conversation.set_holder import SetHolder
from jasminewheel._internal.crashes.crash_board import CallHistory, CrashBoard
from jasminewheel._internal.crashes.crash_guard import CrashGuard
from jasminewheel._internal.crashes.wire_histories import (
    add_to_board,
    history_to_wire,
)
from jasminewheel._internal.events import crashes as events
from jasminewheel._internal.peer.distance import Distance
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.peer.server import Exchange, Handler
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import JasminewheelError

# A runner that ends breaks off several calls at once; they are told together.
COLLECT_SECONDS = 0.02
TELL_TIMEOUT_SECONDS = 0.7
# How often a replica that does not answer is told.
TELL_TRIES = 3
# A lost replica has to be noticed within the time for which a loss is forgiven.
WAIT_SECONDS = 1.5
REPLY_SECONDS = 0.5
RETRY_SECONDS = 0.3
# How many replicas an entry listens to: one may have missed a report.
LISTENED = 2
_VERSION_BITS = 48
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class CrashService:
    """Keep what entries tell this replica, and tell it to all of them."""

    board: CrashBoard = field(factory=CrashBoard)
    # Versions of another process that served here before mean nothing now.
    first_version: int = field(
        factory=lambda: Random().getrandbits(_VERSION_BITS)
    )

    def handlers(self) -> dict[type, Handler]:
        """Return the handlers by message type."""
        return {
            wire.TellCrashes: self.tell,
            wire.AwaitCrashes: self.await_change,
        }

    @property
    def version(self) -> int:
        """Return the version of what is known; 0 for nothing."""
        changes = self.board.changes
        return self.first_version + changes if changes else 0

    async def tell(
        self, exchange: Exchange, request: wire.TellCrashes
    ) -> wire.KnownCrashes:
        """Keep what an entry tells."""
        now = trio.current_time()
        for told in request.calls or ():
            add_to_board(self.board, told, now)
        return wire.KnownCrashes(version=self.version, calls=[])

    async def await_change(
        self, exchange: Exchange, request: wire.AwaitCrashes
    ) -> wire.KnownCrashes:
        """Reply with all that is known once the asker knows less."""
        with trio.move_on_after(min(request.wait_seconds or 0, WAIT_SECONDS)):
            while self.version == (request.version or 0):
                await self.board.changed.wait()
                await trio.sleep(COLLECT_SECONDS)
        if self.version == request.version:
            return wire.KnownCrashes(version=self.version, calls=[])
        now = trio.current_time()
        calls = [history_to_wire(*one, now) for one in self.board.told(now)]
        return wire.KnownCrashes(version=self.version, calls=calls)


@define(eq=False)
class CrashExchange:
    """Tell replicas what this entry saw, and learn what others did."""

    pool: PeerPool
    sets: SetHolder
    distance: Distance
    guard: CrashGuard
    # The versions that are known, by the address of their replica.
    versions: dict[str, int] = field(factory=dict)
    # The replicas that did not answer last.
    failing: set[str] = field(factory=set)

    async def run(self) -> None:
        """Exchange until cancelled."""
        async with trio.open_nursery() as nursery:
            for place in range(LISTENED):
                nursery.start_soon(self.listen, place)
            while True:
                await self.guard.has_news.wait()
                await trio.sleep(COLLECT_SECONDS)
                self.tell_all(nursery)

    def tell_all(self, nursery: trio.Nursery) -> None:
        """Start to tell each replica what is new here."""
        untold = self.guard.take_untold()
        for member in self.sets.current.members:
            nursery.start_soon(self.tell, member, untold)

    async def tell(
        self, member: Replica, untold: Mapping[bytes, CallHistory]
    ) -> None:
        """Tell one replica, again if it does not answer."""
        tries = 1
        while not await self.try_to_tell(member, untold):
            if tries == TELL_TRIES:
                return
            tries += 1
            await trio.sleep(RETRY_SECONDS)

    async def try_to_tell(
        self, member: Replica, untold: Mapping[bytes, CallHistory]
    ) -> bool:
        """Tell one replica; return whether it answered."""
        now = trio.current_time()
        calls = [history_to_wire(*one, now) for one in untold.items()]
        try:
            await self.pool.ask(
                member.address,
                wire.TellCrashes(calls=calls),
                wire.KnownCrashes,
                timeout_seconds=TELL_TIMEOUT_SECONDS,
            )
        except JasminewheelError as error:
            self.record_failure(member, error)
            return False
        return True

    async def listen(self, place: int) -> None:
        """Follow a replica by its place among the nearest ones."""
        failures = 0
        while True:
            member = self.member_at(place + failures * LISTENED)
            if member is None or not await self.learn_from(member):
                failures += 1
                await trio.sleep(RETRY_SECONDS)

    def member_at(self, place: int) -> Replica | None:
        """Return a replica by its place among the nearest ones, in turn."""
        members = sorted(
            self.sets.current.members,
            key=lambda one: (self.distance(one.zone), one.address),
        )
        return members[place % len(members)] if members else None

    async def learn_from(self, member: Replica) -> bool:
        """Wait for news of a replica; return whether it answered."""
        known = self.versions.get(member.address, 0)
        try:
            reply = await self.pool.ask(
                member.address,
                wire.AwaitCrashes(version=known, wait_seconds=WAIT_SECONDS),
                wire.KnownCrashes,
                timeout_seconds=WAIT_SECONDS + REPLY_SECONDS,
            )
        except JasminewheelError as error:
            self.record_failure(member, error)
            return False
        self.failing.discard(member.address)
        now = trio.current_time()
        for told in reply.calls or ():
            add_to_board(self.guard.board, told, now)
        self.guard.board.forget(now)
        self.versions[member.address] = reply.version or 0
        return True

    def record_failure(self, member: Replica, error: JasminewheelError) -> None:
        """Log the first failure of a replica since it answered."""
        if member.address in self.failing:
            return
        self.failing.add(member.address)
        events.NOT_EXCHANGED.log(_LOGGER, replica=member.address, problem=error)
