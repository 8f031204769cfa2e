"""Choose disks for replica sets and spread them over zones."""

from collections import Counter
from collections.abc import Collection, Sequence

from attrs import define, field

from jasminewheel._internal.replication.disks import Disk
from jasminewheel._internal.replication.placement import Sets


@define
class DiskChoice:
    """Choose the least used disk, preferably in a zone that a set lacks."""

    disks: Sequence[Disk]
    uses: Counter[str] = field(factory=Counter)

    def choose(self, kept: Collection[str]) -> str | None:
        """Return a disk to add to a set with these remaining replicas."""
        zones = {disk.zone for disk in self.disks if _is_in(disk, kept)}
        candidates = [
            disk
            for disk in self.disks
            if not disk.leaving and not _is_in(disk, kept)
        ]
        if not candidates:
            return None
        chosen = min(
            candidates,
            key=lambda disk: (
                disk.zone in zones,
                self.uses[disk.replica],
                disk.stored_bytes,
                disk.replica,
            ),
        )
        self.uses[chosen.replica] += 1
        return chosen.replica


def replace_disks(
    current: Sets, absent: Collection[str], disks: Sequence[Disk]
) -> Sets:
    """Return the sets with absent disks replaced where a disk is free.

    Only one replica of a set is replaced at a time, so that the others still
    have the records to copy.
    """
    uses = Counter(name for group in current for name in group)
    choice = DiskChoice(disks, uses)
    return tuple(_replace_one(group, absent, choice) for group in current)


def _replace_one(
    group: tuple[str, ...], absent: Collection[str], choice: DiskChoice
) -> tuple[str, ...]:
    leaving = next((name for name in group if name in absent), None)
    if leaving is None:
        return group
    kept = [name for name in group if name != leaving]
    chosen = choice.choose(kept)
    if chosen is None:
        return group
    return tuple(chosen if name == leaving else name for name in group)


def _is_in(disk: Disk, names: Collection[str]) -> bool:
    return any(name in names for name in disk.names)
