"""Wire the parts that own slots."""

from attrs import frozen

from jasminewheel._internal.entry.ownership import open_ownership
from jasminewheel._internal.entry.surroundings import Surroundings
from jasminewheel._internal.program.last_owner import LastOwnerLookup
from jasminewheel._internal.program.owner_finder import OwnerFinder
from jasminewheel._internal.program.slot_table import SlotTable
from jasminewheel._internal.program.takeover import SlotAcquirer


@frozen
class Slots:
    """Hold what finds and owns slots."""

    table: SlotTable
    acquirer: SlotAcquirer
    finder: OwnerFinder


def open_slots(around: Surroundings) -> Slots:
    """Return the parts, owning no slot yet."""
    membership = around.fleet.membership
    placements = around.fleet.placements
    ownership = open_ownership(around)
    table = SlotTable(
        ownership, lambda log_id: placements.current.slot_of(log_id)
    )
    owners = LastOwnerLookup(ownership.replicas, placements)
    acquirer = SlotAcquirer(table, membership, owners, around.pool)
    return Slots(table, acquirer, OwnerFinder(membership, table, acquirer))
