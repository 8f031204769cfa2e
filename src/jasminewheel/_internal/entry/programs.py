"""Wire the parts that host programs and route to them."""

import time
from collections.abc import Mapping

from attrs import frozen

from jasminewheel._internal.entry.calls import open_flow
from jasminewheel._internal.entry.surroundings import Surroundings
from jasminewheel._internal.peer.server import Handler
from jasminewheel._internal.program.ending import ProgramEnding
from jasminewheel._internal.program.flow import CallFlow
from jasminewheel._internal.program.handover import SlotKeeper
from jasminewheel._internal.program.host import ProgramHost
from jasminewheel._internal.program.last_owner import HistoryOwners
from jasminewheel._internal.program.liveness import LivenessWatch
from jasminewheel._internal.program.opening import ProgramOpening
from jasminewheel._internal.program.operations import ProgramOperations
from jasminewheel._internal.program.routing import Router
from jasminewheel._internal.program.takeover import SlotTaker
from jasminewheel._internal.replication.ownership import Ownership
from jasminewheel._internal.wire.gen.program.ttypes import (
    Operation,
    SlotQuestion,
)


@frozen
class Programs:
    """Hold the parts that other parts of the process use."""

    router: Router
    keeper: SlotKeeper
    taker: SlotTaker
    watch: LivenessWatch

    def handlers(self) -> Mapping[type, Handler]:
        """Return what peers may ask about programs."""
        return {
            Operation: self.router.handle,
            SlotQuestion: self.taker.answer,
        }


def open_host(around: Surroundings, flow: CallFlow) -> ProgramHost:
    """Return the host of the slots that this process will own."""
    ownership = Ownership(
        around.pool,
        around.identity,
        around.fleet.placements,
        around.fleet.membership.address_of,
    )
    return ProgramHost(
        ownership,
        lambda program: around.fleet.placements.current.slot_of(program),
        flow,
        around.nursery,
        time.time,
    )


def open_operations(
    around: Surroundings, flow: CallFlow, host: ProgramHost
) -> ProgramOperations:
    """Return what carries out operations on hosted programs."""
    return ProgramOperations(
        host,
        flow,
        ProgramOpening(host, time.time),
        ProgramEnding(host, time.time),
        around.nursery,
    )


def open_programs(around: Surroundings) -> Programs:
    """Return the parts, wired together."""
    flow = open_flow(around)
    host = open_host(around, flow)
    membership = around.fleet.membership
    owners = HistoryOwners(host.ownership.replicas, around.fleet.placements)
    taker = SlotTaker(host, membership, owners, around.pool)
    watch = LivenessWatch(membership)
    router = Router(
        membership,
        around.pool,
        host,
        open_operations(around, flow, host),
        taker,
        watch,
        time.time,
    )
    keeper = SlotKeeper(host, membership, time.time)
    return Programs(router, keeper, taker, watch)
