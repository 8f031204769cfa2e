"""Open a process's fleet membership with its connections."""

import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

from jasminewheel._internal.fleet.fleet import Fleet, FleetAddresses
from jasminewheel._internal.membership.member import Member
from jasminewheel._internal.peer.identity import PeerIdentity
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.store.client import HttpStore

MILLISECONDS = 1000


def new_incarnation(now: float) -> int:
    """Return the incarnation of a process started at a Unix time."""
    return int(now * MILLISECONDS)


@asynccontextmanager
async def open_fleet(
    member: Member,
    key: bytes,
    store_url: str,
    addresses: FleetAddresses,
) -> AsyncIterator[Fleet]:
    """Yield the fleet of a member with new store and peer connections."""
    identity = identity_of(member)
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(HttpStore(store_url))
        pool = await stack.enter_async_context(PeerPool(identity, key))
        yield Fleet(member, pool, store, addresses)


def identity_of(member: Member) -> PeerIdentity:
    """Return the identity that a member's process presents to peers."""
    return PeerIdentity(member.member, str(member.incarnation), member.zone)


def starting_member(
    name: str,
    zone: str,
    region: str,
    roles: tuple[str, ...],
) -> Member:
    """Return a member whose process starts now."""
    return Member(
        member=name,
        incarnation=new_incarnation(time.time()),
        zone=zone,
        region=region,
        peer_address='',
        roles=roles,
    )
