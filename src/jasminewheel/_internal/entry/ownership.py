"""Start slot ownership and the repair of replica sets in an entry."""

from jasminewheel._internal.entry.context import EntryContext
from jasminewheel._internal.membership.member import HISTORY
from jasminewheel._internal.replication.change import (
    ChangeTiming,
    ReplicaChangeCoordinator,
)
from jasminewheel._internal.replication.ownership import Ownership

_TASK = 'task replica-change'


def open_ownership(context: EntryContext) -> Ownership:
    """Return the slot ownership and start its background tasks."""
    fleet = context.fleet
    ownership = Ownership(
        context.pool,
        context.identity,
        fleet.placements,
        fleet.membership.address_of,
    )
    change = ReplicaChangeCoordinator(
        fleet.store,
        ownership,
        lambda: fleet.membership.live(HISTORY),
        ChangeTiming(),
    )
    context.nursery.start_soon(ownership.follow, fleet.placements)
    context.nursery.start_soon(ownership.reseal_slots)
    context.nursery.start_soon(
        change.run, lambda: is_change_coordinator(context)
    )
    return ownership


def is_change_coordinator(context: EntryContext) -> bool:
    """Return whether this entry coordinates changes of replica sets."""
    membership = context.fleet.membership
    coordinator = membership.preferred(_TASK)[:1]
    return [one.member for one in coordinator] == [
        membership.local_member.member
    ]
