"""Report the state of an entry in the sections of its status."""

import time
from collections.abc import Mapping
from typing import Any

from attrs import frozen

from jasminewheel._internal.budget.client import BudgetClient
from jasminewheel._internal.fleet.fleet import Fleet
from jasminewheel._internal.program.slot_table import SlotTable
from jasminewheel._internal.scheduling.scheduler import Scheduler


@frozen
class SlotsSection:
    """Report the owned slots and their programs in memory."""

    table: SlotTable

    def status(self) -> Mapping[str, Any]:
        """Return the number of programs by slot."""
        return {
            str(owned.slot): len(owned.programs)
            for owned in self.table.owned_slots()
        }


@frozen
class QueuesSection:
    """Report the calls queued at this entry."""

    scheduler: Scheduler

    def status(self) -> Mapping[str, Any]:
        """Return the number of waiting calls by target."""
        states = self.scheduler.targets.states
        return {target: len(states[target].queue) for target in states}


@frozen
class RunnersSection:
    """Report this entry's estimate of the state of each runner."""

    scheduler: Scheduler

    def status(self) -> Mapping[str, Any]:
        """Return load, circuit breaker state and failures by runner."""
        now = time.time()
        states = self.scheduler.runners.states
        return {
            name: {
                'running': state.load.estimate(now),
                'breaker': state.breaker.state.value,
                'failures': state.breaker.failures,
            }
            for name, state in states.items()
        }


@frozen
class BudgetsSection:
    """Report the granted tokens that this entry has not used."""

    wallet: BudgetClient

    def status(self) -> Mapping[str, Any]:
        """Return the number of unused granted tokens by caller."""
        now = time.time()
        accounts = self.wallet.accounts
        return {
            name: accounts[name].grant_pool.available_tokens(now)
            for name in accounts
        }


@frozen
class MembersSection:
    """Report the member states known here and this member's lease."""

    fleet: Fleet

    def status(self) -> Mapping[str, Any]:
        """Return the states of members and whether the lease is held."""
        table = self.fleet.membership.table
        return {
            'lease': self.fleet.service.lease.is_held,
            'states': {
                entry.member.member: entry.member.state.name
                for entry in table.entries.values()
            },
        }
