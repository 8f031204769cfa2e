"""Wire the parts that host programs and route to them."""

import time
from collections.abc import Mapping

from attrs import frozen

from jasminewheel._internal.entry.budgets import Budgets, open_budgets
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
from jasminewheel._internal.scheduling.scheduler import Scheduler
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
    budgets: Budgets

    def handlers(self) -> Mapping[type, Handler]:
        """Return what peers may ask about programs."""
        return {
            Operation: self.router.handle,
            SlotQuestion: self.taker.answer,
            **self.budgets.handlers(),
        }


def open_ownership(around: Surroundings) -> Ownership:
    """Return what seals slots for this process."""
    return Ownership(
        around.pool,
        around.identity,
        around.fleet.placements,
        around.fleet.membership.address_of,
    )


def open_host(
    around: Surroundings, ownership: Ownership, flow: CallFlow
) -> ProgramHost:
    """Return the host of the slots that this process will own."""
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


def open_programs(around: Surroundings, scheduler: Scheduler) -> Programs:
    """Return the parts, wired together."""
    ownership = open_ownership(around)
    budgets = open_budgets(around, ownership)
    flow = open_flow(around, scheduler, budgets.wallet)
    host = open_host(around, ownership, flow)
    membership = around.fleet.membership
    taker = SlotTaker(
        host,
        membership,
        HistoryOwners(ownership.replicas, around.fleet.placements),
        around.pool,
    )
    budgets.slots.taker = taker
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
    return Programs(router, keeper, taker, watch, budgets)
