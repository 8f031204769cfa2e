"""Open the dependencies shared by the components of an entry."""

import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import trio
from attrs import frozen

from jasminewheel._internal.entry.settings import EntrySettings
from jasminewheel._internal.fleet.fleet import Fleet, FleetAddresses
from jasminewheel._internal.fleet.gauges import run_metrics
from jasminewheel._internal.membership.member import ENTRY, Member
from jasminewheel._internal.membership.vm_list import VmList, open_vms
from jasminewheel._internal.peer.identity import PeerIdentity
from jasminewheel._internal.peer.key import load_key
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.store.client import HttpStore
from jasminewheel._internal.targets.clients import ClientPool

_MILLISECONDS = 1000


@frozen
class EntryContext:
    """Group the dependencies shared by the components of an entry."""

    identity: PeerIdentity
    key: bytes
    region: str
    pool: PeerPool
    fleet: Fleet
    clients: ClientPool
    vms: VmList | None
    nursery: trio.Nursery


@asynccontextmanager
async def open_context(
    settings: EntrySettings,
) -> AsyncIterator[EntryContext]:
    """Open the context; on exit cancel background tasks and close it."""
    identity = make_identity(settings)
    key = load_key(Path(settings.key_file))
    async with AsyncExitStack() as stack:
        enter = stack.enter_async_context
        store = await enter(HttpStore(settings.store_url))
        pool = await enter(PeerPool(identity, key))
        vms = await enter(open_vms(settings.vms_url))
        context = EntryContext(
            identity,
            key,
            settings.region,
            pool,
            Fleet(
                make_member(settings, identity),
                pool,
                store,
                FleetAddresses(settings.peers, vms),
            ),
            await enter(ClientPool()),
            vms,
            await enter(trio.open_nursery()),
        )
        context.nursery.start_soon(run_metrics, context.fleet, settings.statsd)
        yield context
        context.nursery.cancel_scope.cancel()


def make_identity(settings: EntrySettings) -> PeerIdentity:
    """Return the identity of this process; it differs after a restart."""
    started_ms = int(time.time() * _MILLISECONDS)
    return PeerIdentity(settings.member, str(started_ms), settings.zone)


def make_member(settings: EntrySettings, identity: PeerIdentity) -> Member:
    """Return this process as a member of the fleet."""
    return Member(
        member=settings.member,
        incarnation=int(identity.incarnation),
        zone=settings.zone,
        region=settings.region,
        peer_address='',
        roles=(ENTRY,),
    )
