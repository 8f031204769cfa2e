"""Assemble the components that host programs and route operations."""

import time
from collections.abc import Callable, Mapping

import trio
from attrs import frozen

from jasminewheel._internal.entry.context import EntryContext
from jasminewheel._internal.entry.slots import Slots
from jasminewheel._internal.peer.server import Handler
from jasminewheel._internal.program.ending import ProgramEnding
from jasminewheel._internal.program.flow import CallFlow
from jasminewheel._internal.program.host import ProgramHost
from jasminewheel._internal.program.liveness import LivenessWatch
from jasminewheel._internal.program.opening import ProgramOpening
from jasminewheel._internal.program.operations import ProgramOperations
from jasminewheel._internal.program.retention import ProgramRetention
from jasminewheel._internal.program.routing import Router
from jasminewheel._internal.program.slot_controller import SlotController
from jasminewheel._internal.program.unlogged_calls import UnloggedCalls
from jasminewheel._internal.wire.gen.program.ttypes import (
    Operation,
    SlotQuestion,
)


@frozen
class Programs:
    """Group the components that host programs."""

    slots: Slots
    router: Router
    slot_controller: SlotController
    watch: LivenessWatch
    retention: ProgramRetention

    def start(self, nursery: trio.Nursery) -> None:
        """Start the background tasks."""
        nursery.start_soon(self.watch.run)
        nursery.start_soon(self.slot_controller.run)
        nursery.start_soon(self.retention.run)

    def handlers(self) -> Mapping[type, Handler]:
        """Return the handlers of peer requests that concern programs."""
        return {
            Operation: self.router.handle,
            SlotQuestion: self.slots.acquirer.answer,
        }


def open_operations(
    context: EntryContext,
    slots: Slots,
    flow: CallFlow,
    on_released: Callable[[str], None],
) -> ProgramOperations:
    """Return the executor of operations on hosted programs."""
    host = ProgramHost(slots.table, flow, context.nursery, time.time)
    return ProgramOperations(
        host,
        flow,
        ProgramOpening(host, time.time),
        ProgramEnding(host, time.time, on_released),
        context.nursery,
    )


def open_programs(
    context: EntryContext,
    slots: Slots,
    flow: CallFlow,
    on_released: Callable[[str], None],
) -> Programs:
    """Return the components, without any background task started."""
    membership = context.fleet.membership
    watch = LivenessWatch(membership)
    operations = open_operations(context, slots, flow, on_released)
    unlogged_calls = UnloggedCalls(flow, context.nursery)
    router = Router(
        slots.finder, context.pool, operations, unlogged_calls, watch, time.time
    )
    slot_controller = SlotController(slots.table, membership, time.time)
    retention = ProgramRetention(operations.host, operations.ending, time.time)
    return Programs(slots, router, slot_controller, watch, retention)
