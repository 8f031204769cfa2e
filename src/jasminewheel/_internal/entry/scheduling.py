"""Assemble the scheduler of an entry and its API for operators."""

import time

from jasminewheel._internal.entry.context import EntryContext
from jasminewheel._internal.entry.settings import EntrySettings
from jasminewheel._internal.entry.slots import Slots
from jasminewheel._internal.http.operator_interface import OperatorInterface
from jasminewheel._internal.observability.event_ring import install_event_ring
from jasminewheel._internal.operations.member import MemberOperations
from jasminewheel._internal.scheduling.decision_events import DecisionEvents
from jasminewheel._internal.scheduling.feeds import FeedFollower
from jasminewheel._internal.scheduling.scheduler import Scheduler
from jasminewheel._internal.targets.vms import (
    ServingConfiguration,
    VmListPoller,
)


def open_scheduler(context: EntryContext, slots: Slots) -> Scheduler:
    """Return the scheduler; start its updates from feeds and the VM list."""
    view = context.fleet.view
    serving = ServingConfiguration(view)
    scheduler = Scheduler(serving, context.region, salt=context.identity.member)
    context.nursery.start_soon(FeedFollower(view, scheduler).run)
    if context.vms:
        poller = VmListPoller(context.vms, serving)
        context.nursery.start_soon(poller.run)
    context.nursery.start_soon(
        scheduler.run,
        context.clients,
        lambda program_id: slots.table.slot_with(program_id) is not None,
    )
    return scheduler


def open_operator_api(
    settings: EntrySettings, context: EntryContext, scheduler: Scheduler
) -> OperatorInterface:
    """Return the API through which operators query this entry."""
    member = MemberOperations(context.fleet, install_event_ring(), time.time())
    member.decision_sources.append(DecisionEvents(scheduler.explainer))
    return OperatorInterface.open(
        context.fleet, context.pool, member, settings.operator_keys
    )
