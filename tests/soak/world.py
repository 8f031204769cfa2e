"""The processes, stand-ins and links of one soak."""

from pathlib import Path
from random import Random
from types import MappingProxyType

import trio
from attrs import define, evolve, field

from tests.platform_fleet import ROUTES, PlatformFleet, stored_json
from tests.soak.balancer import Balancer, is_ready
from tests.soak.fault_log import FaultLog
from tests.soak.ledger import Ledger
from tests.soak.links import Links
from tests.soak.role_process import (
    CONTROL_PORT,
    PEER_PORT,
    ZONES,
    Node,
    RoleProcess,
)
from tests.soak.runner import SoakRunner
from tests.soak.store import StoreProxy

RUNNERS = MappingProxyType(
    {'desk-1': 'desk', 'desk-2': 'desk', 'model-1': 'model', 'model-2': 'model'}
)
MIN_HISTORIES = 3
# From this many processes on, a fourth history is started as a spare.
SPARE_HISTORY_PROCESSES = 7
SET_KEY = 'jasminewheel/replicas'
POLL_SECONDS = 0.05
START_SECONDS = 30.0


@define(eq=False)
class World:
    """Start and end the processes, stand-ins and links of one soak."""

    seed: int
    folder: Path
    nursery: trio.Nursery
    fleet: PlatformFleet
    links: Links
    store: StoreProxy
    ledger: Ledger
    processes: dict[str, RoleProcess] = field(factory=dict)
    runners: list[SoakRunner] = field(factory=list)
    version: int = 10
    subnet: str = ''

    @property
    def faults(self) -> FaultLog:
        """Return the log of faults."""
        return self.ledger.faults

    def entries(self) -> list[RoleProcess]:
        """Return the entries."""
        return self.of_role('entry')

    def of_role(self, role: str) -> list[RoleProcess]:
        """Return the processes of a role."""
        return [
            process
            for process in self.processes.values()
            if process.node.role == role
        ]

    def random(self, purpose: str) -> Random:
        """Return a random generator that is seeded for one purpose."""
        return Random(f'{self.seed} {purpose}')

    def configure(self) -> None:
        """Write the next version, with a route that only this version has."""
        self.version += 1
        own = {
            'Prefix': f'/v{self.version}/',
            'Kind': 'safe',
            'Service': 'desk',
        }
        self.fleet.configure(self.version, {**ROUTES, 'own': own})

    async def start(self, processes: int) -> None:
        """Start the runners and processes; wait until every entry is ready."""
        self.configure()
        async with trio.open_nursery() as nursery:
            for runner_id in RUNNERS:
                nursery.start_soon(self.start_runner, runner_id)
        histories = MIN_HISTORIES + (processes >= SPARE_HISTORY_PROCESSES)
        entries = max(1, processes - histories)
        await self.place_nodes(
            [
                *(f'history-{number}' for number in range(histories)),
                *(f'entry-{number}' for number in range(entries)),
            ]
        )
        with trio.fail_after(START_SECONDS):
            await self.start_processes()

    async def start_processes(self) -> None:
        """Start histories, then entries, and wait until these are ready."""
        for history in self.of_role('history'):
            history.start()
        while SET_KEY not in self.fleet.store.items:
            await trio.sleep(POLL_SECONDS)
        async with trio.open_nursery() as nursery:
            for entry in self.entries():
                entry.start()
                nursery.start_soon(wait_ready, entry)

    async def start_runner(self, runner_id: str) -> None:
        """Start a runner and register it."""
        runner = SoakRunner(
            runner_id, ledger=self.ledger, random=self.random(runner_id)
        )
        runner.address = await self.fleet.serve(runner.handle)
        self.links.add_target(runner_id, runner.address)
        self.runners.append(runner)
        self.list_runner(runner)

    def list_runner(self, runner: SoakRunner, state: str = 'ready') -> None:
        """Register a runner in a state."""
        target = RUNNERS[runner.runner_id]
        self.fleet.list_runner(runner.runner_id, target, runner.address, state)
        if state == 'ready':
            self.ledger.leaving_since.pop(runner.runner_id, None)
        else:
            self.ledger.leaving_since[runner.runner_id] = trio.current_time()

    def unlist_runner(self, runner: SoakRunner) -> None:
        """Unregister a runner that continues to serve."""
        self.fleet.store.remove(f'servers/{runner.runner_id}')
        self.ledger.leaving_since[runner.runner_id] = trio.current_time()

    async def place_nodes(self, names: list[str]) -> None:
        """Give each process an address, a folder and links to the others."""
        ips = [f'{self.subnet}.{number}' for number in range(1, 1 + len(names))]
        for name, own_ip in zip(names, ips, strict=True):
            self.links.add_target(name, f'{own_ip}:{PEER_PORT}')
            self.links.add_target(name, f'{own_ip}:{CONTROL_PORT}')
        seeds = [f'{ip}:{CONTROL_PORT}' for ip in ips[:MIN_HISTORIES]]
        async with trio.open_nursery() as nursery:
            for number, node_name in enumerate(names):
                zone = ZONES[number % len(ZONES)]
                node = Node(node_name, ips[number], zone, self.folder)
                self.processes[node_name] = RoleProcess(node)
                nursery.start_soon(self.add_links, node, seeds)

    async def add_links(self, node: Node, seeds: list[str]) -> None:
        """Link a process to the store and to the histories."""
        store = await self.store.open_address(node.name)
        seed_addresses = tuple(
            self.links.proxied_address(node.name, seed) for seed in seeds
        )
        process = self.processes[node.name]
        process.node = evolve(node, store=store, seeds=seed_addresses)

    def replica_set(self) -> dict:
        """Return the replica set from the store."""
        return stored_json(self.fleet, SET_KEY)

    def end(self) -> None:
        """Kill all processes of this soak."""
        for process in self.processes.values():
            process.end()


async def wait_ready(entry: RoleProcess) -> None:
    """Wait until an entry is ready."""
    while not await is_ready(entry):
        await trio.sleep(POLL_SECONDS)


def new_world(seed: int, folder: Path, nursery: trio.Nursery) -> World:
    """Return a world without running processes."""
    fleet = PlatformFleet(folder, nursery)
    links = Links(nursery)
    ledger = Ledger(FaultLog(trio.current_time()))
    # A random subnet lets several soaks run at the same time.
    low, high = Random().sample(range(1, 255), 2)
    return World(
        seed,
        folder,
        nursery,
        fleet,
        links,
        StoreProxy(fleet, links),
        ledger,
        subnet=f'127.{low}.{high}',
    )


def entry_balancer(world: World) -> Balancer:
    """Return a balancer over all entries of a world."""
    return Balancer(world.entries())
