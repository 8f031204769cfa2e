"""Run members of a fleet inside a test, with real connections."""

from contextlib import asynccontextmanager

import trio
from attrs import define, field

from jasminewheel._internal.membership.gossip import Gossip, Versions
from jasminewheel._internal.membership.heartbeats import Heartbeats
from jasminewheel._internal.membership.member import ENTRY, Member
from jasminewheel._internal.membership.membership import Membership
from jasminewheel._internal.membership.table import MemberTable
from jasminewheel._internal.peer.identity import PeerIdentity
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.peer.server import PeerServer
from jasminewheel._internal.wire.gen.membership.ttypes import Heartbeat
from jasminewheel.errors import PeerError

KEY = b'key of the test fleet'


@define
class CuttablePeerClient:
    """Send requests to peers unless the link to them is cut."""

    pool: PeerPool
    cut: set = field(factory=set)

    async def ask(self, address, message, reply_kind, *, timeout_seconds):
        """Return the answer, or fail as an unreachable peer does."""
        if address in self.cut:
            raise PeerError('the link is cut', sent=False)
        return await self.pool.ask(
            address,
            message,
            reply_kind,
            timeout_seconds=timeout_seconds,
        )


@define
class NoVersions:
    """Provide no versions and ignore those of peers."""

    def versions(self):
        """Return the versions of a member without any."""
        return Versions(0, 0)

    def record_peer_versions(self, address, versions):
        """Ignore the versions of peers."""


@define
class FleetMember:
    """Represent one running member of the fleet."""

    heartbeats: Heartbeats
    peer_client: CuttablePeerClient
    scope: trio.CancelScope = field(factory=trio.CancelScope)

    @property
    def name(self):
        """Return the name of the member."""
        return self.heartbeats.membership.local_member.member

    @property
    def address(self):
        """Return the address on which the member listens."""
        return self.heartbeats.membership.local_member.peer_address

    def live(self):
        """Return the names of the members that are live in its table."""
        return {one.member for one in self.heartbeats.membership.live()}

    def kill(self):
        """Stop all tasks of the member at once."""
        self.scope.cancel()


async def start_member(name, zone, nursery, source=None, handlers=None):
    """Start a member and return it."""
    return await nursery.start(
        _run_member,
        name,
        zone,
        source or NoVersions(),
        handlers or {},
    )


async def _run_member(name, zone, source, handlers, *, task_status):
    identity = PeerIdentity(name, '1', zone)
    async with PeerPool(identity, KEY) as pool:
        peer_client = CuttablePeerClient(pool)
        own = Member(name, 1, zone, 'east-mids', '', (ENTRY,))
        table = MemberTable(own, 1)
        heartbeats = Heartbeats(
            Membership(table), Gossip(table), peer_client, source
        )
        member = FleetMember(heartbeats, peer_client)
        kinds = {Heartbeat: heartbeats.on_heartbeat, **handlers}
        server = PeerServer(identity, KEY, kinds)
        with member.scope:
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.serve, '127.0.0.1', 0)
                table.set_peer_address(f'127.0.0.1:{port}')
                nursery.start_soon(heartbeats.run)
                task_status.started(member)


@asynccontextmanager
async def running_fleet(count):
    """Run a fleet whose members all start with the first as peer."""
    async with trio.open_nursery() as nursery:
        members = []
        while len(members) < count:
            number = len(members)
            zone = 'abc'[number % 3]
            members.append(await start_member(f'vm-{number}', zone, nursery))
            await members[-1].heartbeats.exchange_with(
                'first', members[0].address
            )
        yield members
        nursery.cancel_scope.cancel()


async def until(condition, seconds=20):
    """Wait until a condition holds; fail the test if it does not."""
    with trio.fail_after(seconds):
        while not condition():
            await trio.sleep(0.02)


async def until_joined(members):
    """Wait until all members know of all; return their names."""
    names = {one.name for one in members}
    await until(lambda: all(one.live() == names for one in members))
    return names
