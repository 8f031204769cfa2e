"""Run the tasks of a process as a member of the fleet."""

from collections.abc import Mapping

import trio
from attrs import frozen

from jasminewheel._internal.configuration.repository import (
    ConfigurationRepository,
)
from jasminewheel._internal.configuration.root import ROOT_KEY
from jasminewheel._internal.configuration.view import ConfigurationView
from jasminewheel._internal.fleet.store_watcher import StoreWatcher
from jasminewheel._internal.fleet.placement import PlacementController
from jasminewheel._internal.fleet.replica_sets import PlacementLayout
from jasminewheel._internal.fleet.spread import open_spread
from jasminewheel._internal.membership.peer_client import PeerClient
from jasminewheel._internal.membership.member import Member
from jasminewheel._internal.membership.membership import Membership
from jasminewheel._internal.membership.service import (
    MembershipService,
    PeerSources,
)
from jasminewheel._internal.membership.vm_list import VmList
from jasminewheel._internal.peer.server import Handler
from jasminewheel._internal.replication.placement import (
    PLACEMENT_KEY,
    PlacementView,
)
from jasminewheel._internal.store.client import Store
from jasminewheel._internal.wire.gen.membership.ttypes import Heartbeat
from jasminewheel.errors import JasminewheelError

RETRY_SECONDS = 1.0


@frozen
class FleetAddresses:
    """Represent where a starting member finds peers, and the first layout."""

    peers: tuple[str, ...] = ()
    vms: VmList | None = None
    layout: PlacementLayout = PlacementLayout()


class Fleet:
    """Represent this process as a member of the fleet.

    Serve `handlers()` to peers, call `set_peer_address` once the port is
    known, then run `run` until the process stops.
    """

    def __init__(
        self,
        local_member: Member,
        peer_client: PeerClient,
        store: Store,
        addresses: FleetAddresses,
    ) -> None:
        """Start without known peers and without a configuration."""
        self.store = store
        self.spread = open_spread(peer_client)
        self.service = MembershipService.open(
            local_member,
            peer_client,
            self.spread,
            PeerSources(store, addresses.peers, addresses.vms),
        )
        self.spread.on_install(self.service.heartbeats.send_soon)
        self.repository = ConfigurationRepository(
            self.store, local_member.member
        )
        self.placement_controller = PlacementController(
            self.store,
            self.membership,
            self.spread.placement,
            addresses.layout,
        )

    @property
    def membership(self) -> Membership:
        """Return the known members."""
        return self.service.membership

    @property
    def view(self) -> ConfigurationView:
        """Return the configuration in force."""
        return self.spread.configuration.view

    @property
    def placements(self) -> PlacementView:
        """Return the replica sets in force."""
        return self.spread.placement.view

    def handlers(self) -> Mapping[type, Handler]:
        """Return the handlers of peers' requests by message type."""
        return {
            Heartbeat: self.service.heartbeats.on_heartbeat,
            **self.spread.handlers(),
        }

    def set_peer_address(self, peer_address: str) -> None:
        """Set the address `ip:port` at which peers reach this process."""
        self.membership.table.set_peer_address(peer_address)

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until cancelled; report the start once the fleet is joined."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.spread.run)
            await self.join()
            task_status.started()
            nursery.start_soon(self.service.run)
            nursery.start_soon(self.watch_configuration)
            nursery.start_soon(self.watch_placement)

    async def join(self) -> None:
        """Get the members and versions from peers, or else from the store."""
        while True:
            reached_peer = await self.service.bootstrap.find_peers()
            await self.spread.configuration.wait_until_current()
            if reached_peer or await self.install_from_store():
                return
            await trio.sleep(RETRY_SECONDS)

    async def install_from_store(self) -> bool:
        """Install the stored configuration; return whether that succeeded."""
        try:
            await self.install_stored_configuration()
        except JasminewheelError:
            return False
        return True

    async def install_stored_configuration(self) -> None:
        """Install the stored configuration if it is newer."""
        stored = await self.repository.read()
        version = stored.configuration.version
        if version != self.view.current.version:
            await self.spread.configuration.put_in_force(
                stored.configuration,
            )

    async def watch_configuration(self) -> None:
        """Watch the configuration in the store while chosen for it."""
        await StoreWatcher(
            self.store,
            self.membership,
            ROOT_KEY,
            self.install_stored_configuration,
        ).run()

    async def watch_placement(self) -> None:
        """Watch the replica sets in the store while chosen for it."""
        await StoreWatcher(
            self.store,
            self.membership,
            PLACEMENT_KEY,
            self.placement_controller.read,
        ).run()

    async def announce_leaving(self) -> None:
        """Announce to peers that this member accepts no new work."""
        await self.service.announce_leaving(trio.current_time())

    async def announce_left(self) -> None:
        """Announce to peers that this member left, and revoke its lease."""
        await self.service.announce_left(trio.current_time())
