"""Open a member that serves neither callers nor operators over HTTP."""

import time
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import trio
from attrs import frozen

from jasminewheel._internal.fleet.fleet import Fleet, FleetAddresses
from jasminewheel._internal.fleet.gauges import run_metrics
from jasminewheel._internal.fleet.opening import identity_of, open_fleet
from jasminewheel._internal.membership.member import Member
from jasminewheel._internal.observability.event_ring import install_event_ring
from jasminewheel._internal.operations.member import MemberOperations
from jasminewheel._internal.peer.server import Handler, PeerServer


@frozen
class FleetParticipant:
    """Combine a member's fleet tasks and its replies to operators."""

    fleet: Fleet
    operations: MemberOperations
    key: bytes

    def server(self, handlers: Mapping[type, Handler]) -> PeerServer:
        """Return a server of these handlers, the fleet's and operators'."""
        return PeerServer(
            identity_of(self.fleet.membership.local_member),
            self.key,
            {
                **handlers,
                **self.fleet.handlers(),
                **self.operations.handlers(),
            },
        )

    async def run(self, statsd: str) -> None:
        """Run the fleet's tasks and send metrics until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.fleet.run)
            nursery.start_soon(run_metrics, self.fleet, statsd)


@asynccontextmanager
async def open_member(
    member: Member,
    key: bytes,
    store_url: str,
    addresses: FleetAddresses,
    stop: trio.Event,
) -> AsyncIterator[FleetParticipant]:
    """Open a member in the fleet; a drain request sets `stop`."""
    async with open_fleet(member, key, store_url, addresses) as fleet:
        operations = MemberOperations(
            fleet,
            install_event_ring(),
            time.time(),
            drain=stop.set,
        )
        yield FleetParticipant(fleet, operations, key)
