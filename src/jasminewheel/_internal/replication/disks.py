"""Find the disks of live history processes."""

from collections.abc import Iterable
from typing import Protocol

import trio
from attrs import frozen

from jasminewheel._internal.replication.replicas import Replicas
from jasminewheel._internal.wire.gen.history.ttypes import (
    DescribeDisk,
    DiskDescribed,
)
from jasminewheel.errors import JasminewheelError


class HistoryMember(Protocol):
    """Describe a live history process."""

    member: str
    zone: str
    leaving: bool


@frozen
class Disk:
    """Hold a disk's name in placements, and how much it keeps."""

    member: str
    replica: str
    zone: str
    stored_bytes: int
    leaving: bool = False

    @property
    def names(self) -> tuple[str, str]:
        """Return the names by which placements may list the disk."""
        return self.replica, self.member


async def find_disks(
    replicas: Replicas, members: Iterable[HistoryMember]
) -> list[Disk]:
    """Ask each history process for its disk; leave out who is silent."""
    found: list[Disk] = []
    async with trio.open_nursery() as nursery:
        for member in members:
            nursery.start_soon(_describe, replicas, member, found)
    return sorted(found, key=lambda disk: disk.replica)


async def _describe(
    replicas: Replicas, member: HistoryMember, found: list[Disk]
) -> None:
    try:
        answer = await replicas.ask(
            member.member, DescribeDisk(), DiskDescribed
        )
    except JasminewheelError:
        return
    found.append(
        Disk(
            member.member,
            answer.replica,
            member.zone,
            answer.stored_bytes,
            member.leaving,
        )
    )
