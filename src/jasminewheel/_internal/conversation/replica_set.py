"""Say which disks keep turns and budgets, and what a majority of them is."""

import json
from collections.abc import Collection, Iterable

from attrs import asdict, evolve, frozen


@frozen
class Replica:
    """Name one disk and where its process is reached."""

    disk_id: str
    vm: str
    address: str
    zone: str


@frozen
class ReplicaSet:
    """Hold the disks in force and, during a change, those to come.

    While it changes, a majority of both is needed. The revision is that of
    the value in the store; zero stands for no set.
    """

    revision: int
    members: tuple[Replica, ...]
    joining: tuple[Replica, ...] = ()

    def replicas(self) -> tuple[Replica, ...]:
        """Return all disks that take part."""
        return tuple(dict.fromkeys((*self.members, *self.joining)))

    def replica(self, disk_id: str) -> Replica | None:
        """Return the replica on a disk, or None if it takes no part."""
        found = (one for one in self.replicas() if one.disk_id == disk_id)
        return next(found, None)

    def has_quorum(self, disk_ids: Collection[str]) -> bool:
        """Tell whether the disks suffice to write."""
        if not _is_majority(self.members, disk_ids):
            return False
        return not self.joining or _is_majority(self.joining, disk_ids)

    def is_read_quorum(self, disk_ids: Collection[str]) -> bool:
        """Tell whether the disks meet every majority of the members.

        That is enough to copy from.
        """
        return _intersects_majorities(self.members, disk_ids)

    def proves_absence(self, disk_ids: Collection[str]) -> bool:
        """Tell whether a record that none of the disks has is nowhere.

        A change may have ended unseen. Then its joining disks took writes
        that the members did not, and refuse to answer under this set.
        """
        if not self.is_read_quorum(disk_ids):
            return False
        return not self.joining or _intersects_majorities(
            self.joining, disk_ids
        )

    def replicas_to_catch_up(self) -> tuple[Replica, ...]:
        """Return the disks that have to copy before the change ends.

        Where a disk goes without a successor, all have to, since a record
        may stand on just one of those that stay.
        """
        if len(self.joining) < len(self.members):
            return self.joining
        return tuple(one for one in self.joining if one not in self.members)

    def finished(self) -> 'ReplicaSet':
        """Return the set after the change."""
        return evolve(self, members=self.joining, joining=())

    def abandoned(self) -> 'ReplicaSet':
        """Return the set as it was before the change."""
        return evolve(self, joining=())

    def changed(self, joining: Iterable[Replica]) -> 'ReplicaSet':
        """Return the set with a change begun."""
        return evolve(self, joining=tuple(joining))

    def to_text(self) -> str:
        """Return the set as it is stored."""
        return json.dumps(
            {
                'members': [asdict(one) for one in self.members],
                'joining': [asdict(one) for one in self.joining],
            }
        )

    @classmethod
    def from_text(cls, text: str, revision: int) -> 'ReplicaSet':
        """Return a stored set; raise ValueError for any other text."""
        fields = json.loads(text)
        try:
            return cls(
                revision,
                tuple(Replica(**one) for one in fields['members']),
                tuple(Replica(**one) for one in fields['joining']),
            )
        except (KeyError, TypeError) as error:
            raise ValueError(f'not a replica set: {error!r}') from error


NO_SET = ReplicaSet(0, ())


def _is_majority(
    replicas: tuple[Replica, ...], disk_ids: Collection[str]
) -> bool:
    return _count_present(replicas, disk_ids) * 2 > len(replicas)


def _intersects_majorities(
    replicas: tuple[Replica, ...], disk_ids: Collection[str]
) -> bool:
    present = _count_present(replicas, disk_ids)
    return bool(present) and present * 2 >= len(replicas)


def _count_present(
    replicas: tuple[Replica, ...], disk_ids: Collection[str]
) -> int:
    return sum(one.disk_id in disk_ids for one in replicas)
