"""Choose the first replica sets from the live history members."""

from collections.abc import Mapping, Sequence

from attrs import frozen

from jasminewheel._internal.membership.member import Member
from jasminewheel._internal.membership.rendezvous import hash_score
from jasminewheel._internal.replication.placement import Placement

SLOTS = 512


@frozen
class PlacementLayout:
    """Set how many slots there are and how many replicas each has."""

    slots: int = SLOTS
    replicas: int = 3


def first_placement(
    members: Sequence[Member],
    disks: Mapping[str, str],
    layout: PlacementLayout,
) -> Placement | None:
    """Return replica sets over the members, or None if there are too few.

    The sets name the members' disks, so that one that comes back with
    another disk is not taken for the replica it was.

    Each member leads one set, so that all carry a like share.
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
    """Return the leader with members of other zones, near ones first."""
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
