"""Decide the next change of the replica set from the disks listed."""

import math
from collections import Counter
from collections.abc import Iterable, Mapping

from attrs import frozen

from jasminewheel._internal.conversation.replica_set import (
    NO_SET,
    Replica,
    ReplicaSet,
)

# A first start forms a smaller set if not all wanted disks are listed by then.
BOOTSTRAP_TIMEOUT_SECONDS = 6.0
# A member that has not been listed for this long may be replaced.
ABSENCE_TIMEOUT_SECONDS = 1.5


@frozen
class Candidate:
    """Represent a listed disk and the last change that it copied for."""

    replica: Replica
    copied_revision: int = 0


@frozen
class SetView:
    """Represent the input to a decision about the replica set."""

    replica_set: ReplicaSet
    # Listed disks by VM.
    candidates: Mapping[str, Candidate]
    # When an unlisted replica was first found missing, by disk.
    absent_since: Mapping[str, float]
    # VMs whose disks are to be removed from the set.
    retiring: frozenset[str]
    wanted_size: int
    may_bootstrap: bool
    started_at: float
    # From when on an unlisted disk has left; before that its listing may only
    # have expired in an outage of the store.
    absences_settled_at: float = -math.inf

    def free_replicas(self) -> list[Replica]:
        """Return the listed disks outside the set, preferred ones first.

        Disks in availability zones with fewer live replicas are preferred.
        """
        in_use = self.replica_set.replicas()
        found = [
            self.candidates[vm].replica
            for vm in sorted(self.candidates)
            if vm not in self.retiring
            and self.candidates[vm].replica not in in_use
        ]
        used = Counter(one.zone for one in in_use if self.is_live(one))
        return sorted(found, key=lambda one: used[one.zone])

    def is_live(self, replica: Replica) -> bool:
        """Return whether the disk's process is listed."""
        candidate = self.candidates.get(replica.vm)
        return bool(candidate) and candidate.replica == replica

    def is_absent(self, replica: Replica, now: float) -> bool:
        """Return whether the absence timeout of the disk has passed."""
        missing_since = self.absent_since.get(replica.disk_id, now)
        absent_since = max(missing_since, self.absences_settled_at)
        return now - absent_since >= ABSENCE_TIMEOUT_SECONDS

    def has_copied(self, replica: Replica) -> bool:
        """Return whether the disk has finished copying for this change."""
        if not self.is_live(replica):
            return False
        copied = self.candidates[replica.vm].copied_revision
        return copied == self.replica_set.revision


def next_set(view: SetView, now: float) -> ReplicaSet | None:
    """Return the replica set to propose, or None if no change is due."""
    current = view.replica_set
    if current.revision == NO_SET.revision:
        return _bootstrap(view, now)
    if current.joining:
        return _advance_change(view, now)
    return (
        _replace_members(view, now)
        or _add_member(view)
        or _remove_retiring(view)
    )


def _bootstrap(view: SetView, now: float) -> ReplicaSet | None:
    free = view.free_replicas()
    overdue = now - view.started_at > BOOTSTRAP_TIMEOUT_SECONDS
    if not view.may_bootstrap or not free:
        return None
    if len(free) < view.wanted_size and not overdue:
        return None
    return ReplicaSet(0, tuple(_spread_over_zones(free, view.wanted_size)))


def _advance_change(view: SetView, now: float) -> ReplicaSet | None:
    current = view.replica_set
    if all(view.has_copied(one) for one in current.replicas_to_catch_up()):
        return current.finished()
    joining_replicas = [
        one for one in current.joining if one not in current.members
    ]
    replaced_again = any(
        one.vm in view.candidates and view.candidates[one.vm].replica != one
        for one in joining_replicas
    )
    timed_out = any(view.is_absent(one, now) for one in joining_replicas)
    retired = any(one.vm in view.retiring for one in joining_replicas)
    if replaced_again or timed_out or retired:
        return current.abandoned()
    return None


def _replace_members(view: SetView, now: float) -> ReplicaSet | None:
    """Replace lost, retiring and absent members by free disks.

    A member is lost if another disk is listed for its VM now. Of three or more
    members at most a minority is replaced at once, so that the joining disks
    can copy all records from the members that stay; of fewer, one is replaced.
    """
    members = view.replica_set.members
    max_replaced = max(1, (len(members) - 1) // 2)
    joining = list(members)
    for free in view.free_replicas():
        replaced = len(set(members).difference(joining))
        outgoing = _first_replaceable(view, joining, free, now)
        if outgoing and replaced < max_replaced:
            joining.remove(outgoing)
            joining.append(free)
    if joining == list(members):
        return None
    return view.replica_set.changed(joining)


def _first_replaceable(
    view: SetView, joining: list[Replica], free: Replica, now: float
) -> Replica | None:
    same_vm = [one for one in joining if one.vm == free.vm]
    leaving = [one for one in joining if one.vm in view.retiring]
    absent = [one for one in joining if view.is_absent(one, now)]
    return next(iter((*same_vm, *leaving, *absent)), None)


def _add_member(view: SetView) -> ReplicaSet | None:
    members = view.replica_set.members
    free = view.free_replicas()
    if free and len(members) < view.wanted_size:
        return view.replica_set.changed([*members, free[0]])
    return None


def _remove_retiring(view: SetView) -> ReplicaSet | None:
    members = view.replica_set.members
    staying = [one for one in members if one.vm not in view.retiring]
    # With fewer members, losing as many disks as the set tolerates could lose
    # every copy of a record.
    min_members = view.wanted_size // 2 + 1
    if min_members <= len(staying) < len(members):
        return view.replica_set.changed(staying)
    return None


def _spread_over_zones(
    replicas: Iterable[Replica], count: int
) -> list[Replica]:
    remaining = list(replicas)
    chosen: list[Replica] = []
    while remaining and len(chosen) < count:
        best = _least_used_zone(remaining, chosen)
        remaining.remove(best)
        chosen.append(best)
    return chosen


def _least_used_zone(
    replicas: list[Replica], chosen: Iterable[Replica]
) -> Replica:
    used = Counter(one.zone for one in chosen)
    return min(replicas, key=lambda one: (used[one.zone], one.vm))
