"""Define the replica set of turns and budgets, and its quorums."""

import json
from collections.abc import Collection, Iterable, Mapping
from typing import Any

from attrs import asdict, evolve, frozen

from jasminewheel._internal.store.documents import (
    decode_document,
    problem_text,
    text_field,
)


@frozen
class Replica:
    """Identify one disk and the address of its process."""

    disk_id: str
    vm: str
    address: str
    zone: str

    @classmethod
    def from_fields(cls, fields: Mapping[str, Any]) -> 'Replica':
        """Return a stored replica; raise KeyError, TypeError or ValueError."""
        return cls(
            text_field(fields, 'disk_id'),
            text_field(fields, 'vm'),
            text_field(fields, 'address'),
            text_field(fields, 'zone'),
        )


@frozen
class ReplicaSet:
    """Represent the members and, during a change, the joint configuration.

    During a change `joining` is the complete next set of members, and a
    quorum needs a majority of both. The revision is that of the value in the
    store; zero stands for no set.
    """

    revision: int
    members: tuple[Replica, ...]
    joining: tuple[Replica, ...] = ()

    def replicas(self) -> tuple[Replica, ...]:
        """Return the replicas of both configurations, each once."""
        return tuple(dict.fromkeys((*self.members, *self.joining)))

    def replica(self, disk_id: str) -> Replica | None:
        """Return the replica on a disk, or None if it is not in the set."""
        found = (one for one in self.replicas() if one.disk_id == disk_id)
        return next(found, None)

    def has_quorum(self, disk_ids: Collection[str]) -> bool:
        """Return whether the disks are a write quorum."""
        if not _is_majority(self.members, disk_ids):
            return False
        return not self.joining or _is_majority(self.joining, disk_ids)

    def is_read_quorum(self, disk_ids: Collection[str]) -> bool:
        """Return whether the disks intersect every majority of the members.

        Such disks together hold all committed records, so copying from them
        is complete.
        """
        return _intersects_majorities(self.members, disk_ids)

    def proves_absence(self, disk_ids: Collection[str]) -> bool:
        """Return whether a record missing on all these disks cannot exist.

        The change may have finished without this process having seen it. The
        joining disks have then accepted writes that the old members have not,
        and reject requests under this revision, so both must be asked.
        """
        if not self.is_read_quorum(disk_ids):
            return False
        return not self.joining or _intersects_majorities(
            self.joining, disk_ids
        )

    def replicas_to_catch_up(self) -> tuple[Replica, ...]:
        """Return the replicas that must copy before the change can finish.

        If a member is removed without a replacement, all remaining replicas
        must copy, since a record may be stored on only one of them.
        """
        if len(self.joining) < len(self.members):
            return self.joining
        return tuple(one for one in self.joining if one not in self.members)

    def finished(self) -> 'ReplicaSet':
        """Return the set after the change."""
        return evolve(self, members=self.joining, joining=())

    def abandoned(self) -> 'ReplicaSet':
        """Return the set with the change cancelled."""
        return evolve(self, joining=())

    def changed(self, joining: Iterable[Replica]) -> 'ReplicaSet':
        """Return the set with a change to the given members started."""
        return evolve(self, joining=tuple(joining))

    def to_text(self) -> str:
        """Return the set as stored JSON."""
        return json.dumps(
            {
                'members': [asdict(one) for one in self.members],
                'joining': [asdict(one) for one in self.joining],
            }
        )

    @classmethod
    def from_text(cls, text: str, revision: int) -> 'ReplicaSet':
        """Parse a stored set; raise ValueError if the text is not one."""
        fields = decode_document(text)
        try:
            return cls(
                revision,
                tuple(map(Replica.from_fields, fields['members'])),
                tuple(map(Replica.from_fields, fields['joining'])),
            )
        except (KeyError, TypeError) as error:
            problem = problem_text(error)
            raise ValueError(f'not a replica set: {problem}') from error


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
