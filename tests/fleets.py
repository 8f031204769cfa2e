"""Run complete members of a fleet inside a test, with a fake store."""

import logging
import time
from contextlib import asynccontextmanager
from itertools import product

import trio
from attrs import define, field, frozen
from members import KEY, CuttablePeerClient, until
from stand_ins import serving

from jasminewheel._internal.configuration.configuration import Configuration
from jasminewheel._internal.configuration.repository import (
    ConfigurationRepository,
)
from jasminewheel._internal.fakes.store import FakeStore, FakeStoreSettings
from jasminewheel._internal.fleet.fleet import FleetAddresses
from jasminewheel._internal.fleet.opening import (
    identity_of,
    open_fleet,
    starting_member,
)
from jasminewheel._internal.http.operator_interface import OperatorInterface
from jasminewheel._internal.membership.member import ENTRY
from jasminewheel._internal.observability.event_ring import install_event_ring
from jasminewheel._internal.operations.member import MemberOperations
from jasminewheel._internal.peer.server import PeerServer
from jasminewheel._internal.store.client import HttpStore
from jasminewheel._internal.wire.gen.history.ttypes import (
    DescribeDisk,
    DiskDescribed,
)

# All members of a test log in one process, so they share the ring.
EVENTS = install_event_ring()
logging.getLogger().setLevel('INFO')


@frozen
class FakeDisk:
    """Describe the disk of a member that stores no logs."""

    name: str
    zone: str

    async def describe(self, exchange, request):
        """Answer as a history process would."""
        return DiskDescribed(f'{self.name}#d', self.zone, 0, 0)


@define
class Bench:
    """Represent a fake store and the members that use it."""

    stand_in: FakeStore
    url: str
    nursery: trio.Nursery
    fleets: dict = field(factory=dict)
    sides: dict = field(factory=dict)
    links: dict = field(factory=dict)
    scopes: dict = field(factory=dict)
    operators: tuple = ()
    vms: object = None

    async def start(self, name, role=ENTRY, peers=(), store_url=''):
        """Start a member with the addresses of its peers."""
        url = store_url or self.url
        await self.nursery.start(self.run, name, role, tuple(peers), url)
        return self.fleets[name]

    async def run(self, name, role, peers, url, *, task_status):
        """Run a member until it is killed."""
        zone = f'zone-{name}'
        member = starting_member(name, zone, 'east-mids', (role,))
        scope = trio.CancelScope()
        self.scopes[name] = scope
        addresses = FleetAddresses(peers, self.vms)
        opened = open_fleet(member, KEY, url, addresses)
        with scope:
            async with opened as fleet, trio.open_nursery() as nursery:
                link = CuttablePeerClient(fleet.service.heartbeats.peer_client)
                fleet.service.heartbeats.peer_client = link
                fleet.spread.configuration.peer_client = link
                fleet.spread.placement.peer_client = link
                self.links[name] = link
                side = OperatorInterface.open(
                    fleet,
                    link,
                    MemberOperations(fleet, EVENTS, time.time()),
                    self.operators,
                )
                handlers = {
                    **fleet.handlers(),
                    **side.handlers(),
                    DescribeDisk: FakeDisk(name, zone).describe,
                }
                server = PeerServer(identity_of(member), KEY, handlers)
                port = await nursery.start(server.serve, '127.0.0.1', 0)
                fleet.set_peer_address(f'127.0.0.1:{port}')
                self.fleets[name] = fleet
                self.sides[name] = side
                await nursery.start(fleet.run)
                task_status.started()

    def kill(self, name):
        """Stop a member at once."""
        self.scopes[name].cancel()
        self.fleets.pop(name)

    def cut(self, names, others):
        """Cut the links between two groups of members, both ways."""
        for one, other in (*product(names, others), *product(others, names)):
            cut_off = self.fleets[other].membership.local_member
            self.links[one].cut.add(cut_off.peer_address)

    def heal(self):
        """Make all links work again."""
        for link in self.links.values():
            link.cut.clear()

    def addresses(self):
        """Return the addresses on which the members listen."""
        return [
            fleet.membership.local_member.peer_address
            for fleet in self.fleets.values()
        ]

    def versions(self):
        """Return the versions in force by member."""
        return {
            name: fleet.view.current.version
            for name, fleet in self.fleets.items()
        }

    async def until_version(self, version):
        """Wait until a version is in force everywhere."""
        await until(lambda: set(self.versions().values()) == {version})

    async def commit(self, *changes):
        """Change the configuration as an operator at another VM does."""
        async with HttpStore(self.url) as store:
            repository = ConfigurationRepository(store, 'operator')
            return await repository.commit(changes, Configuration())


@asynccontextmanager
async def bench(operators=(), **settings):
    """Run a fake store and the members that a test starts."""
    stand_in = FakeStore(FakeStoreSettings(**settings))
    async with serving(stand_in) as url, trio.open_nursery() as nursery:
        yield Bench(stand_in, url, nursery, operators=operators)
        nursery.cancel_scope.cancel()
