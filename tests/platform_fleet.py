"""Run both roles against stand-ins of the platform, inside a test."""

import json
from base64 import b64decode
from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack, asynccontextmanager, closing
from pathlib import Path
from types import MappingProxyType

import trio
from attrs import define, field

from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.web.client import (
    OutgoingRequest,
    open_connection,
)
from jasminewheel._internal.web.early_sockets import EarlySockets
from jasminewheel._internal.web.server import WebServer
from jasminewheel.platform.entry import serve_entry
from jasminewheel.platform.history import serve_history
from jasminewheel.platform.roles import peer_pool
from jasminewheel.platform.settings import NodeSettings
from jasminewheel.errors import ConnectionLostError
from tests.free_port import HOST, free_port
from tests.platform_runner import RunnerStandIn
from tests.platform_store import PlatformStoreStandIn

CALLS_HOST = 'desk.example'
GRACE_SECONDS = 5.0
ROUTES = MappingProxyType(
    {
        'look': {'Prefix': '/look/', 'Kind': 'safe', 'Service': 'desk'},
        'book': {'Prefix': '/book/', 'Kind': 'unsafe', 'Service': 'desk'},
        'turns': {
            'Prefix': '/turns/',
            'Kind': 'streaming',
            'Service': 'model',
            'RetainHistory': True,
            'RetentionS': 60,
            'StickySessions': True,
            'GapAimMs': 400,
        },
    }
)


@define
class ReceivedAnswer:
    """Represent an answer as a client received it."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


@define(eq=False)
class PlatformFleet:
    """Run stand-ins of the platform, and roles that can be stopped."""

    folder: Path
    nursery: trio.Nursery
    store: PlatformStoreStandIn = field(factory=PlatformStoreStandIn)
    store_address: str = ''
    runners: dict[str, RunnerStandIn] = field(factory=dict)
    stops: dict[str, trio.Event] = field(factory=dict)
    scopes: dict[str, trio.CancelScope] = field(factory=dict)
    # The role of each VM and its settings, for a restart.
    roles: dict[str, tuple] = field(factory=dict)
    sent: int = 0
    seeds: list[str] = field(factory=list)

    async def serve(self, handler) -> str:
        """Serve a stand-in and return its address."""
        web = WebServer(handler, _ignore)
        port = await self.nursery.start(web.serve, HOST, 0)
        return f'{HOST}:{port}'

    async def add_runner(self, runner_id: str, target: str) -> RunnerStandIn:
        """Start a runner and register it."""
        runner = RunnerStandIn(runner_id)
        self.runners[runner_id] = runner
        address = await self.serve(runner.handle)
        self.list_runner(runner_id, target, address)
        return runner

    def list_runner(
        self, runner_id: str, target: str, address: str, state: str = 'ready'
    ) -> None:
        """Write the store entry by which a runner registers itself."""
        self.store.write_json(
            f'servers/{runner_id}',
            {
                'Service': target,
                'Address': address,
                'Zone': 'east-a',
                'Version': 'v1',
                'Slots': 6,
                'State': state,
                'ColdLeftMs': 0,
                'Seq': 1,
                'born': 1,
            },
        )

    def configure(
        self, version: int = 7, routes: Mapping = ROUTES, **changes
    ) -> None:
        """Write the configuration; changes apply to every route."""
        standard = {
            'Host': CALLS_HOST,
            'TimeoutMs': 4000,
            'TargetLatencyMs': 300,
            'MaxAttempts': 2,
            'Priority': 1,
        }
        listed = [
            {**standard, 'Name': name, **fields, **changes}
            for name, fields in routes.items()
        ]
        targets = [
            {'Name': 'model', 'Engine': {'Slots': 6, 'StreamStride': 2}},
            {'Name': 'desk', 'MaxConnections': 100},
        ]
        limits = {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 65536,
            'HeaderTimeoutMs': 1000,
            'IdleTimeoutMs': 5000,
        }
        self.store.write_json(
            'op/config',
            {
                'Version': version,
                'Routes': listed,
                'Services': targets,
                'Limits': limits,
            },
        )

    def settings(self, vm: str, zone: str) -> NodeSettings:
        """Return the settings of a process with free ports."""
        return NodeSettings(
            vm=vm,
            ip=HOST,
            zone=zone,
            zone_regions={'east-a': 'east', 'east-b': 'east', 'west-a': 'west'},
            callers_address=f'{HOST}:{free_port()}',
            readiness_address=f'{HOST}:{free_port()}',
            peers_address=self.peers_address(vm),
            seeds=tuple(self.seeds),
            peer_port=free_port(),
            metrics_port=free_port(),
            data_folder=self.folder / vm,
            first_start=True,
            grace_seconds=GRACE_SECONDS,
            disks_lost=1,
            store_address=self.store_address,
        )

    def peers_address(self, vm: str) -> str:
        """Return where a history serves the store's keys to other processes."""
        if not vm.startswith('store-'):
            return ''
        self.seeds.append(f'{HOST}:{free_port()}')
        return self.seeds[-1]

    async def start(self, serve, vm: str, zone: str) -> NodeSettings:
        """Start a role."""
        settings = self.settings(vm, zone)
        self.roles[vm] = (serve, settings)
        self.restart(vm)
        return settings

    def restart(self, vm: str) -> None:
        """Start the VM's role again, with the same disk and address."""
        self.stops[vm] = trio.Event()
        self.scopes[vm] = trio.CancelScope()
        self.nursery.start_soon(self.run, *self.roles[vm])

    async def run(self, serve, settings: NodeSettings) -> None:
        """Run a role until its scope is cancelled."""
        with self.scopes[settings.vm]:
            async with peer_pool(settings) as pool:
                await self.serve_role(serve, settings, pool)

    async def serve_role(
        self, serve, settings: NodeSettings, pool: PeerPool
    ) -> None:
        """Serve a role until its stop event is set."""
        await serve(settings, pool, self.stops[settings.vm], EarlySockets())

    async def start_histories(self) -> None:
        """Start three histories and wait until they form a replica set."""
        await self.start(serve_history, 'store-1', 'east-a')
        await self.start(serve_history, 'store-2', 'east-b')
        await self.start(serve_history, 'store-3', 'west-a')
        while 'jasminewheel/replicas' not in self.store.items:
            await trio.sleep(0.02)

    async def start_entry(self, vm: str = 'entry-1') -> NodeSettings:
        """Start an entry and wait until it is ready."""
        settings = await self.start(serve_entry, vm, 'east-a')
        while not await is_ready(settings):
            await trio.sleep(0.02)
        return settings

    async def ask(
        self,
        entry: NodeSettings,
        path: str,
        body: bytes = b'',
        **headers: str,
    ) -> ReceivedAnswer:
        """Send one request on a new connection."""
        self.sent += 1
        fields = {
            'Host': CALLS_HOST,
            'Request-Id': f'q{self.sent}',
            'Deadline-Ms': '3000',
            **{name.replace('_', '-'): text for name, text in headers.items()},
        }
        method = b'POST' if body else b'GET'
        pairs = [(name.encode(), fields[name].encode()) for name in fields]
        request = OutgoingRequest(method, path.encode(), pairs, body)
        return await ask_once(entry.callers_address, request)

    async def scrape(self, role: NodeSettings) -> ReceivedAnswer:
        """Return a role's metrics."""
        request = OutgoingRequest(b'GET', b'/metrics', [(b'Host', b'h')])
        return await ask_once(f'{role.ip}:{role.metrics_port}', request)


async def ask_once(address: str, request: OutgoingRequest) -> ReceivedAnswer:
    """Send one request on a new connection."""
    connection = await open_connection(address, 1)
    with closing(connection):
        return await exchange(connection, request)


async def exchange(connection, request: OutgoingRequest) -> ReceivedAnswer:
    """Send one request on an open connection, and read its answer."""
    await connection.send(request)
    response = await connection.response(bool)
    received: list[bytes] = []
    whole = True
    try:
        async for part in connection.parts(response):
            received.append(part)
    except ConnectionLostError:
        whole = False
    headers = {
        name.decode().lower(): text.decode() for name, text in response.headers
    }
    return ReceivedAnswer(response.status, headers, b''.join(received), whole)


async def is_ready(settings: NodeSettings) -> bool:
    """Return whether an entry answers that it is ready."""
    request = OutgoingRequest(b'GET', b'/ready', [(b'Host', b'h')])
    try:
        asked = await ask_once(settings.readiness_address, request)
    except ConnectionLostError:
        return False
    return asked.status == 200


def _ignore(_fault) -> None:
    """Ignore malformed requests, which tests send on purpose."""


@asynccontextmanager
async def platform_fleet(folder: Path) -> AsyncIterator[PlatformFleet]:
    """Run the stand-ins; cancel all that was started at the end."""
    async with AsyncExitStack() as stack:
        stack.enter_context(trio.fail_after(40))
        nursery = await stack.enter_async_context(trio.open_nursery())
        fleet = PlatformFleet(folder, nursery)
        fleet.store_address = await fleet.serve(fleet.store.handle)
        yield fleet
        nursery.cancel_scope.cancel()


def stored_json(fleet: PlatformFleet, key: str) -> dict:
    """Return a stored value, decoded from JSON."""
    return json.loads(b64decode(fleet.store.items[key]['Value']))
