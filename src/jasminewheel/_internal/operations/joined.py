"""Open a member that has no callers and operators of its own."""

import time
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import trio
from attrs import frozen

from jasminewheel._internal.fleet.fleet import Fleet, FleetAddresses
from jasminewheel._internal.fleet.opening import identity_of, open_fleet
from jasminewheel._internal.membership.member import Member
from jasminewheel._internal.observability.event_ring import keep_events
from jasminewheel._internal.operations.member import MemberOperations
from jasminewheel._internal.peer.server import Handler, PeerServer


@frozen
class JoinedMember:
    """Hold a member's part in the fleet and what it tells operators."""

    fleet: Fleet
    operations: MemberOperations
    key: bytes

    def server(self, handlers: Mapping[type, Handler]) -> PeerServer:
        """Return the server of these handlers and of the fleet's."""
        return PeerServer(
            identity_of(self.fleet.membership.own),
            self.key,
            {
                **handlers,
                **self.fleet.handlers(),
                **self.operations.handlers(),
            },
        )


@asynccontextmanager
async def open_member(
    member: Member,
    key: bytes,
    store_url: str,
    addresses: FleetAddresses,
    stop: trio.Event,
) -> AsyncIterator[JoinedMember]:
    """Give a member; a drain request sets stop."""
    async with open_fleet(member, key, store_url, addresses) as fleet:
        operations = MemberOperations(
            fleet,
            keep_events(),
            time.time(),
            drain=stop.set,
        )
        yield JoinedMember(fleet, operations, key)
