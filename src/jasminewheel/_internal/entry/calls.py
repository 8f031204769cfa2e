"""Assemble the components that run the calls of hosted programs."""

import time

from jasminewheel._internal.entry.context import EntryContext
from jasminewheel._internal.program.flow import CallFlow
from jasminewheel._internal.program.model_calls import ModelCalls
from jasminewheel._internal.program.ports import BudgetClient
from jasminewheel._internal.program.service_calls import ServiceCalls
from jasminewheel._internal.scheduling.scheduler import Scheduler


def open_call_flow(
    context: EntryContext, budget_client: BudgetClient, scheduler: Scheduler
) -> CallFlow:
    """Return a call flow for the targets of the current configuration."""
    view = context.fleet.view
    return CallFlow(
        snapshot=lambda: view.current,
        budget_client=budget_client,
        models=ModelCalls(scheduler, context.clients),
        services=ServiceCalls(scheduler, context.clients),
        clock=time.time,
    )
