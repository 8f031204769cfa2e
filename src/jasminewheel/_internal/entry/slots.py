"""Assemble the components that own slots."""

from attrs import frozen

from jasminewheel._internal.entry.context import EntryContext
from jasminewheel._internal.entry.ownership import open_ownership
from jasminewheel._internal.program.last_owner import LastOwnerLookup
from jasminewheel._internal.program.owner_finder import OwnerFinder
from jasminewheel._internal.program.slot_table import SlotTable
from jasminewheel._internal.program.takeover import SlotAcquirer


@frozen
class Slots:
    """Group the components that acquire slots and locate their owners."""

    table: SlotTable
    acquirer: SlotAcquirer
    finder: OwnerFinder


def open_slots(context: EntryContext) -> Slots:
    """Return the components, without any slot owned yet."""
    membership = context.fleet.membership
    placements = context.fleet.placements
    ownership = open_ownership(context)
    table = SlotTable(
        ownership, lambda log_id: placements.current.slot_of(log_id)
    )
    last_owners = LastOwnerLookup(ownership.replicas, placements)
    acquirer = SlotAcquirer(table, membership, last_owners, context.pool)
    return Slots(table, acquirer, OwnerFinder(membership, table, acquirer))
