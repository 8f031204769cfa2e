"""Distribute the configuration and the replica sets between members."""

from collections.abc import Callable, Mapping

import trio
from attrs import define

from jasminewheel._internal.configuration.sync import ConfigurationSync
from jasminewheel._internal.configuration.view import ConfigurationView
from jasminewheel._internal.fleet.placement import PlacementSpread
from jasminewheel._internal.membership.peer_client import PeerClient
from jasminewheel._internal.membership.gossip import Versions
from jasminewheel._internal.peer.server import Handler
from jasminewheel._internal.replication.placement import PlacementView
from jasminewheel._internal.wire.gen.membership.ttypes import (
    PartRequest,
    PlacementRequest,
    RootRequest,
)


@define
class FleetSpread:
    """Report the versions in force to peers and fetch newer ones."""

    configuration: ConfigurationSync
    placement: PlacementSpread

    def versions(self) -> Versions:
        """Return the versions in force on this member."""
        return Versions(
            self.configuration.current.version,
            self.placement.view.epoch,
        )

    def record_peer_versions(self, address: str, versions: Versions) -> None:
        """Record the versions that a peer reported."""
        self.configuration.record_peer_version(address, versions.configuration)
        self.placement.record_peer_epoch(address, versions.placement)

    def on_install(self, callback: Callable[[], None]) -> None:
        """Call callback whenever a newer version comes into force."""
        self.configuration.on_install = callback
        self.placement.on_install = callback

    async def run(self) -> None:
        """Fetch newer versions until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.configuration.run)
            nursery.start_soon(self.placement.run)

    def handlers(self) -> Mapping[type, Handler]:
        """Return the handlers of peers' requests by message type."""
        return {
            RootRequest: self.configuration.on_root,
            PartRequest: self.configuration.on_part,
            PlacementRequest: self.placement.on_placement,
        }


def open_spread(peer_client: PeerClient) -> FleetSpread:
    """Return a new instance without a configuration and replica sets."""
    return FleetSpread(
        ConfigurationSync(ConfigurationView(), peer_client),
        PlacementSpread(PlacementView(), peer_client),
    )
