"""Wire the parts that own slots."""

from attrs import frozen

from jasminewheel._internal.entry.ownership import open_ownership
from jasminewheel._internal.entry.context import Surroundings
from jasminewheel._internal.program.last_owner import HistoryOwners
from jasminewheel._internal.program.owner_finder import OwnerFinder
from jasminewheel._internal.program.slot_table import SlotTable
from jasminewheel._internal.program.takeover import SlotTaker


@frozen
class Slots:
    """Hold what finds and owns slots."""

    table: SlotTable
    taker: SlotTaker
    finder: OwnerFinder


def open_slots(around: Surroundings) -> Slots:
    """Return the parts, owning no slot yet."""
    membership = around.fleet.membership
    placements = around.fleet.placements
    ownership = open_ownership(around)
    table = SlotTable(
        ownership, lambda log_id: placements.current.slot_of(log_id)
    )
    owners = HistoryOwners(ownership.replicas, placements)
    taker = SlotTaker(table, membership, owners, around.pool)
    return Slots(table, taker, OwnerFinder(membership, table, taker))
