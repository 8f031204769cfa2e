"""Own slots in an entry and keep their replica sets whole."""

from jasminewheel._internal.entry.context import Surroundings
from jasminewheel._internal.membership.member import HISTORY
from jasminewheel._internal.replication.change import (
    ChangeTiming,
    ReplicaChange,
)
from jasminewheel._internal.replication.ownership import Ownership

_TASK = 'task replica-change'


def open_ownership(around: Surroundings) -> Ownership:
    """Return the ownership of slots, which follows the placement."""
    fleet = around.fleet
    ownership = Ownership(
        around.pool,
        around.identity,
        fleet.placements,
        fleet.membership.address_of,
    )
    change = ReplicaChange(
        fleet.store,
        ownership,
        lambda: fleet.membership.live(HISTORY),
        ChangeTiming(),
    )
    around.nursery.start_soon(ownership.follow, fleet.placements)
    around.nursery.start_soon(ownership.renew)
    around.nursery.start_soon(change.run, lambda: carries_changes(around))
    return ownership


def carries_changes(around: Surroundings) -> bool:
    """Tell whether this entry is the one that carries changes now."""
    membership = around.fleet.membership
    carrier = membership.preferred(_TASK)[:1]
    return [one.member for one in carrier] == [membership.local_member.member]
