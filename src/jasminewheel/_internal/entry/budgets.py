"""Assemble the components that account for token budgets."""

from functools import partial

from attrs import frozen

from jasminewheel._internal.budget.account import BudgetLimit
from jasminewheel._internal.budget.client import BudgetClient
from jasminewheel._internal.budget.grant_requester import GrantRequester
from jasminewheel._internal.budget.service import BudgetService
from jasminewheel._internal.configuration.view import ConfigurationView
from jasminewheel._internal.entry.context import EntryContext
from jasminewheel._internal.entry.slots import Slots
from jasminewheel._internal.program.grants import AccountSlots, GrantRouter


@frozen
class Budgets:
    """Group the service for owned accounts and the client of this process."""

    service: BudgetService
    budget_client: BudgetClient


def open_budgets(context: EntryContext, slots: Slots) -> Budgets:
    """Return the budget components, without any grant acquired yet."""

    service = BudgetService(
        AccountSlots(slots.finder),
        partial(limit_of, context.fleet.view),
    )
    source = GrantRouter(slots.finder, context.pool, service)
    identity = context.identity
    holder = f'{identity.member}/{identity.incarnation}'
    return Budgets(service, BudgetClient(GrantRequester(source, holder)))


def limit_of(view: ConfigurationView, caller: str) -> BudgetLimit | None:
    """Return the configured limit of a caller, or None without one."""
    declared = view.current.callers.get(caller)
    if declared is None:
        return None
    return BudgetLimit(declared.budget.tokens, declared.budget.window_seconds)
