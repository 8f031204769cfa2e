"""Assemble all components of an entry."""

from collections.abc import Mapping

import trio
from attrs import frozen

from jasminewheel._internal.entry.budgets import Budgets, open_budgets
from jasminewheel._internal.entry.calls import open_call_flow
from jasminewheel._internal.entry.context import EntryContext
from jasminewheel._internal.entry.programs import Programs, open_programs
from jasminewheel._internal.entry.scheduling import (
    open_operator_api,
    open_scheduler,
)
from jasminewheel._internal.entry.sections import (
    BudgetsSection,
    MembersSection,
    QueuesSection,
    RunnersSection,
    SlotsSection,
)
from jasminewheel._internal.entry.settings import EntrySettings
from jasminewheel._internal.entry.slots import open_slots
from jasminewheel._internal.http.operator_interface import OperatorInterface
from jasminewheel._internal.peer.server import Handler


@frozen
class EntryParts:
    """Group the components of a running entry."""

    context: EntryContext
    budgets: Budgets
    programs: Programs
    operators: OperatorInterface

    def handlers(self) -> Mapping[type, Handler]:
        """Return the handlers of peer requests by message type."""
        return {
            **self.context.fleet.handlers(),
            **self.budgets.service.handlers(),
            **self.programs.handlers(),
            **self.operators.handlers(),
        }


def open_parts(
    settings: EntrySettings, context: EntryContext, stop: trio.Event
) -> EntryParts:
    """Return the components, not serving yet."""
    slots = open_slots(context)
    budgets = open_budgets(context, slots)
    scheduler = open_scheduler(context, slots)
    flow = open_call_flow(context, budgets.budget_client, scheduler)
    operators = open_operator_api(settings, context, scheduler)
    operators.member.drain = stop.set
    operators.member.sources.update(
        slots=SlotsSection(slots.table),
        queues=QueuesSection(scheduler),
        runners=RunnersSection(scheduler),
        budgets=BudgetsSection(budgets.budget_client),
        members=MembersSection(context.fleet),
    )
    programs = open_programs(context, slots, flow, scheduler.program_ended)
    return EntryParts(context, budgets, programs, operators)
