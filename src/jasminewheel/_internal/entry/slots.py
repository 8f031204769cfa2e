"""Assemble the components that own slots."""

from attrs import frozen

from jasminewheel._internal.entry.context import EntryContext
from jasminewheel._internal.entry.ownership import open_ownership
from jasminewheel._internal.program.last_owner import HistoryOwners
from jasminewheel._internal.program.owner_finder import OwnerFinder
from jasminewheel._internal.program.slot_table import SlotTable
from jasminewheel._internal.program.takeover import SlotTaker


@frozen
class Slots:
    """Group the components that acquire slots and locate their owners."""

    table: SlotTable
    taker: SlotTaker
    finder: OwnerFinder


def open_slots(context: EntryContext) -> Slots:
    """Return the components, without any slot owned yet."""
    membership = context.fleet.membership
    placements = context.fleet.placements
    ownership = open_ownership(context)
    table = SlotTable(
        ownership, lambda log_id: placements.current.slot_of(log_id)
    )
    last_owners = HistoryOwners(ownership.replicas, placements)
    taker = SlotTaker(table, membership, last_owners, context.pool)
    return Slots(table, taker, OwnerFinder(membership, table, taker))
