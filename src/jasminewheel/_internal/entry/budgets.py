"""Wire the parts that keep callers within their budgets."""

import time
from collections.abc import Mapping

from attrs import frozen

from jasminewheel._internal.budget.account import BudgetLimit
from jasminewheel._internal.budget.asker import GrantAsker
from jasminewheel._internal.budget.owner import AccountOwners, TakenSlots
from jasminewheel._internal.budget.service import BudgetService
from jasminewheel._internal.budget.wallet import Wallet
from jasminewheel._internal.configuration.view import ConfigurationView
from jasminewheel._internal.entry.surroundings import Surroundings
from jasminewheel._internal.peer.server import Handler
from jasminewheel._internal.replication.ownership import Ownership


@frozen
class ConfiguredLimits:
    """Read callers' limits from the configuration in force."""

    view: ConfigurationView

    def __call__(self, caller: str) -> BudgetLimit | None:
        """Return the limit, or None for an unknown caller."""
        declared = self.view.current.callers.get(caller)
        if declared is None:
            return None
        budget = declared.budget
        return BudgetLimit(budget.tokens, budget.window_seconds)


@frozen
class Budgets:
    """Hold what spends budgets here and what grants them to others."""

    service: BudgetService
    slots: TakenSlots
    wallet: Wallet

    def handlers(self) -> Mapping[type, Handler]:
        """Return what peers may ask about budgets."""
        return self.service.handlers()


def open_budgets(around: Surroundings, ownership: Ownership) -> Budgets:
    """Return the parts; slots can be taken once `slots.taker` is set."""
    fleet = around.fleet
    slots = TakenSlots(
        ownership,
        lambda subject: fleet.placements.current.slot_of(subject),
    )
    service = BudgetService(slots, ConfiguredLimits(fleet.view))
    owners = AccountOwners(service, slots, fleet.membership, around.pool)
    asker = GrantAsker(owners, around.identity.member, time.time)
    return Budgets(service, slots, Wallet(asker, time.time))
