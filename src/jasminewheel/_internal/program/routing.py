"""Route each operation to the entry that owns its program."""

import logging
from contextlib import ExitStack, suppress

import trio
from attrs import define

from jasminewheel._internal.events import program as events
from jasminewheel._internal.membership.member import Member
from jasminewheel._internal.observability.spans import open_span
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.peer.server import Exchange
from jasminewheel._internal.program.job import Clock
from jasminewheel._internal.program.liveness import LivenessWatch
from jasminewheel._internal.program.operations import ProgramOperations
from jasminewheel._internal.program.owner_finder import OwnerFinder
from jasminewheel._internal.program.ports import EventSink
from jasminewheel._internal.program.routed_operation import RoutedOperation
from jasminewheel._internal.program.unlogged_calls import UnloggedCalls
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
_IDLE_POLL_SECONDS = 0.01


@define(eq=False)
class Router:
    """Perform operations at the owner of their program, local or remote."""

    finder: OwnerFinder
    pool: PeerPool
    operations: ProgramOperations
    unlogged_calls: UnloggedCalls
    watch: LivenessWatch
    clock: Clock
    running: int = 0

    async def handle(self, exchange: Exchange, operation: Operation) -> None:
        """Perform an operation that another entry forwarded."""
        self.running += 1
        with ExitStack() as cleanup:
            cleanup.callback(self.on_operation_end)
            await self.perform(operation, exchange.reply)

    def on_operation_end(self) -> None:
        """Decrement the count of running operations of other entries."""
        self.running -= 1

    async def wait_until_idle(self) -> None:
        """Wait until no operation of another entry is running."""
        while self.running:
            await trio.sleep(_IDLE_POLL_SECONDS)

    async def perform(self, operation: Operation, sink: EventSink) -> None:
        """Send the operation's events to the sink; retry if an owner fails.

        Retrying is safe, since the program's log decides what has run.
        """
        if self.unlogged_calls.handles(operation):
            await self.unlogged_calls.perform(operation, sink)
            return
        routed = RoutedOperation(operation, sink, self.clock())
        while not routed.is_complete:
            with suppress(MovedError):
                await self.try_once(routed)
            if not routed.is_complete:
                routed.check_time_left(self.clock())
                await trio.sleep(routed.next_pause())

    async def try_once(self, routed: RoutedOperation) -> None:
        """Perform the operation at the entry that should own the program."""
        slot = self.finder.table.slot_of(routed.operation.program)
        owner = await self.finder.find(slot, routed.excluded)
        if owner is None:
            await self.perform_here(routed)
        else:
            await self.forward(owner, routed)

    async def perform_here(self, routed: RoutedOperation) -> None:
        """Perform the operation as the owner of its program."""
        try:
            await self.operations.perform(routed.operation, routed)
        except FencedError as fenced:
            raise MovedError('another entry took the slot') from fenced
        except QuorumError as missing:
            raise MovedError(
                'no majority of the histories answered'
            ) from missing

    async def forward(self, owner: Member, routed: RoutedOperation) -> None:
        """Perform the operation at another entry."""
        message = routed.forwarded_operation()
        try:
            with open_span('forward', owner=owner.member):
                with self.watch.guard(owner.member):
                    await self.copy_replies(owner, message, routed)
        except PeerError as lost:
            events.OWNER_LOST.log(_LOGGER, owner=owner.member, problem=lost)
            routed.excluded.add(owner.member)

    async def copy_replies(
        self, owner: Member, message: Operation, routed: RoutedOperation
    ) -> None:
        """Send the owner's events to the sink."""
        address = owner.peer_address
        async with self.pool.stream(
            address, message, OperationEvent
        ) as replies:
            async for event in replies:
                routed.record_owner_reached(self.clock())
                await routed(event)
