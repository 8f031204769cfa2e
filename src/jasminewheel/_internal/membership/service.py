"""Run heartbeats, the VM's lease and peer discovery."""

from typing import Self

import trio
from attrs import define, frozen

from jasminewheel._internal.membership.peer_client import PeerClient
from jasminewheel._internal.membership.bootstrap import Bootstrap
from jasminewheel._internal.membership.gossip import Gossip
from jasminewheel._internal.membership.heartbeats import (
    Heartbeats,
    VersionSource,
)
from jasminewheel._internal.membership.hints import VmHints
from jasminewheel._internal.membership.lease import VmLease
from jasminewheel._internal.membership.member import Member
from jasminewheel._internal.membership.membership import Membership
from jasminewheel._internal.membership.table import MemberTable
from jasminewheel._internal.membership.vm_list import VmList
from jasminewheel._internal.store.client import Store


@frozen
class PeerSources:
    """Represent the sources in which a starting member finds peers."""

    store: Store
    peers: tuple[str, ...] = ()
    vms: VmList | None = None


@define
class MembershipService:
    """Run the tasks by which members announce and discover each other."""

    membership: Membership
    heartbeats: Heartbeats
    bootstrap: Bootstrap
    lease: VmLease
    hints: VmHints | None

    @classmethod
    def open(
        cls,
        local_member: Member,
        peer_client: PeerClient,
        versions: VersionSource,
        sources: PeerSources,
    ) -> Self:
        """Return the service of a member without known peers.

        The member's incarnation is its start time in Unix milliseconds.
        """
        membership = Membership(
            MemberTable(local_member, local_member.incarnation)
        )
        heartbeats = Heartbeats(
            membership,
            Gossip(membership.table),
            peer_client,
            versions,
        )
        return cls(
            membership,
            heartbeats,
            Bootstrap(
                heartbeats,
                sources.peers,
                sources.store,
                sources.vms,
            ),
            VmLease(sources.store, membership),
            VmHints(sources.vms, membership) if sources.vms else None,
        )

    async def run(self) -> None:
        """Run all tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.heartbeats.run)
            nursery.start_soon(self.bootstrap.run)
            nursery.start_soon(self.lease.run)
            if self.hints:
                nursery.start_soon(self.hints.run)

    async def announce_leaving(self, now: float) -> None:
        """Announce to peers that this member accepts no new work."""
        self.membership.table.mark_leaving(now)
        await self.heartbeats.send_heartbeats()

    async def announce_left(self, now: float) -> None:
        """Announce to peers that this member left, and revoke its lease."""
        self.membership.table.mark_leaving(now, gone=True)
        await self.heartbeats.send_heartbeats()
        await self.lease.revoke()
