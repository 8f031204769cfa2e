"""Find the disks of live history processes."""

from collections.abc import Iterable
from typing import Any, Protocol, TypeVar

import trio
from attrs import frozen

from jasminewheel._internal.wire.gen.history.ttypes import (
    DescribeDisk,
    DiskDescribed,
)
from jasminewheel.errors import JasminewheelError


REPLY_TIMEOUT_SECONDS = 3.0
ReplyT = TypeVar('ReplyT')


class HistoryMember(Protocol):
    """Represent a live history process."""

    member: str
    zone: str
    peer_address: str
    leaving: bool


class PeerClient(Protocol):
    """Send requests to peers by address."""

    async def ask(
        self,
        address: str,
        message: Any,
        reply_kind: type[ReplyT],
        *,
        timeout_seconds: float,
    ) -> ReplyT:
        """Return the peer's reply; raise PeerError if the request fails."""


@frozen
class Disk:
    """Represent a disk by its name in placements and its stored bytes."""

    member: str
    replica: str
    zone: str
    stored_bytes: int
    leaving: bool = False

    @property
    def names(self) -> tuple[str, str]:
        """Return the names under which placements may list the disk."""
        return self.replica, self.member


async def find_disks(
    peer_client: PeerClient, members: Iterable[HistoryMember]
) -> list[Disk]:
    """Ask each process for its disk; omit processes that do not answer."""
    found: list[Disk] = []
    async with trio.open_nursery() as nursery:
        for member in members:
            nursery.start_soon(_describe, peer_client, member, found)
    return sorted(found, key=lambda disk: disk.replica)


async def _describe(
    peer_client: PeerClient, member: HistoryMember, found: list[Disk]
) -> None:
    try:
        answer = await peer_client.ask(
            member.peer_address,
            DescribeDisk(),
            DiskDescribed,
            timeout_seconds=REPLY_TIMEOUT_SECONDS,
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
