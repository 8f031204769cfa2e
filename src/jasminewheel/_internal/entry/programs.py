"""Wire the parts that host programs and route to them."""

import time
from collections.abc import Callable, Mapping

import trio
from attrs import frozen

from jasminewheel._internal.entry.slots import Slots
from jasminewheel._internal.entry.surroundings import Surroundings
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
    """Hold the parts that other parts of the process use."""

    slots: Slots
    router: Router
    slot_controller: SlotController
    watch: LivenessWatch
    retention: ProgramRetention

    def start(self, nursery: trio.Nursery) -> None:
        """Run what works in the background."""
        nursery.start_soon(self.watch.run)
        nursery.start_soon(self.slot_controller.run)
        nursery.start_soon(self.retention.run)

    def handlers(self) -> Mapping[type, Handler]:
        """Return what peers may ask about programs."""
        return {
            Operation: self.router.handle,
            SlotQuestion: self.slots.acquirer.answer,
        }


def open_operations(
    around: Surroundings,
    slots: Slots,
    flow: CallFlow,
    released: Callable[[str], None],
) -> ProgramOperations:
    """Return what carries out operations on hosted programs."""
    host = ProgramHost(slots.table, flow, around.nursery, time.time)
    return ProgramOperations(
        host,
        flow,
        ProgramOpening(host, time.time),
        ProgramEnding(host, time.time, released),
        around.nursery,
    )


def open_programs(
    around: Surroundings,
    slots: Slots,
    flow: CallFlow,
    released: Callable[[str], None],
) -> Programs:
    """Return the parts, wired together."""
    membership = around.fleet.membership
    watch = LivenessWatch(membership)
    operations = open_operations(around, slots, flow, released)
    unlogged_calls = UnloggedCalls(flow, around.nursery)
    router = Router(
        slots.finder, around.pool, operations, unlogged_calls, watch, time.time
    )
    slot_controller = SlotController(slots.table, membership, time.time)
    retention = ProgramRetention(operations.host, operations.ending, time.time)
    return Programs(slots, router, slot_controller, watch, retention)
