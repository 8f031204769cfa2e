"""Run all that a process does as a member of the fleet."""

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
    """Say where a starting member finds the others."""

    peers: tuple[str, ...] = ()
    vms: VmList | None = None
    layout: PlacementLayout = PlacementLayout()


class Fleet:
    """Hold this process's part in the fleet.

    Serve `handlers()` to peers, call `listens_at` once the port is known,
    then run `run` until the process stops.
    """

    def __init__(
        self,
        local_member: Member,
        peer_client: PeerClient,
        store: Store,
        addresses: FleetAddresses,
    ) -> None:
        """Start alone and without a configuration."""
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
        """Return who lives."""
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
        """Return what peers may ask of this process."""
        return {
            Heartbeat: self.service.heartbeats.on_heartbeat,
            **self.spread.handlers(),
        }

    def set_peer_address(self, peer_address: str) -> None:
        """Take the address `ip:port` at which peers reach this process."""
        self.membership.table.set_peer_address(peer_address)

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Take part in the fleet until cancelled; start once joined."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.spread.run)
            await self.join()
            task_status.started()
            nursery.start_soon(self.service.run)
            nursery.start_soon(self.watch_configuration)
            nursery.start_soon(self.watch_placement)

    async def join(self) -> None:
        """Learn of members and versions from peers, else from the store."""
        while True:
            reached_peer = await self.service.bootstrap.find_peers()
            await self.spread.configuration.settle()
            if reached_peer or await self.install_from_store():
                return
            await trio.sleep(RETRY_SECONDS)

    async def install_from_store(self) -> bool:
        """Put the store's configuration in force; tell whether it answers."""
        try:
            await self.install_stored_configuration()
        except JasminewheelError:
            return False
        return True

    async def install_stored_configuration(self) -> None:
        """Put the stored configuration in force if it is newer."""
        stored = await self.repository.read()
        version = stored.configuration.version
        if version != self.view.current.version:
            await self.spread.configuration.put_in_force(
                stored.configuration,
            )

    async def watch_configuration(self) -> None:
        """Follow the configuration in the store while chosen for it."""
        await StoreWatcher(
            self.store,
            self.membership,
            ROOT_KEY,
            self.install_stored_configuration,
        ).run()

    async def watch_placement(self) -> None:
        """Follow the replica sets in the store while chosen for it."""
        await StoreWatcher(
            self.store,
            self.membership,
            PLACEMENT_KEY,
            self.placement_controller.read,
        ).run()

    async def announce_leaving(self) -> None:
        """Tell peers that this member takes no new work and will go."""
        await self.service.announce_leaving(trio.current_time())

    async def announce_left(self) -> None:
        """Tell peers and the store that this member is gone."""
        await self.service.announce_left(trio.current_time())
