"""Choose the first replica sets from the live history members."""

from collections.abc import Mapping, Sequence

from attrs import frozen

from jasminewheel._internal.membership.member import Member
from jasminewheel._internal.membership.rendezvous import hash_score
from jasminewheel._internal.replication.placement import Placement

SLOTS = 512


@frozen
class PlacementLayout:
    """Set the number of slots and of replicas per slot."""

    slots: int = SLOTS
    replicas: int = 3


def first_placement(
    members: Sequence[Member],
    disks: Mapping[str, str],
    layout: PlacementLayout,
) -> Placement | None:
    """Return replica sets over the members, or None if there are too few.

    The sets name the members' disks, so that a member that returns with
    another disk is not treated as the former replica.

    Each member leads one set, which balances the load.
    """
    if len(members) < layout.replicas:
        return None
    leaders = sorted(members, key=lambda one: one.member)
    sets = [_replica_set(one, leaders, layout.replicas) for one in leaders]
    named = tuple(tuple(disks[one] for one in group) for group in sets)
    return Placement(1, layout.slots, named, None)


def _replica_set(
    leader: Member,
    members: Sequence[Member],
    replicas: int,
) -> tuple[str, ...]:
    """Return the leader and members of other zones, same region first."""
    chosen = [leader]
    while len(chosen) < replicas:
        chosen.append(_nearest(chosen, members))
    return tuple(one.member for one in chosen)


def _nearest(chosen: Sequence[Member], members: Sequence[Member]) -> Member:
    left = [one for one in members if one not in chosen]
    return min(left, key=lambda one: _distance(one, chosen))


def _distance(
    member: Member,
    chosen: Sequence[Member],
) -> tuple[bool, bool, int]:
    leader = chosen[0]
    zones = {one.zone for one in chosen}
    return (
        member.zone in zones,
        member.region != leader.region,
        hash_score(leader.member, member.member),
    )
