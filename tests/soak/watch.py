"""Watch processes and configuration while the soak runs."""

from types import MappingProxyType

import trio
from attrs import define, field

from tests.soak.balancer import Balancer
from tests.soak.client import Client
from tests.soak.interval_log import SOAK
from tests.soak.ledger import OK, OWN
from tests.soak.program import call_plain
from tests.soak.role_process import RoleProcess
from tests.soak.world import World

CHECK_SECONDS = 0.5
MIB = 1048576
# The limits of the smaller of the users' first two deployments.
MEMORY_MIB = MappingProxyType({'entry': 150, 'history': 170})
DESCRIPTORS = MappingProxyType({'entry': 3900, 'history': 8000})
# Less is how a busy machine runs its processes.
STALL_SECONDS = 0.2
BEAT_SECONDS = 0.05


def pinned_client(world: World, entry: RoleProcess, purpose: str) -> Client:
    """Return a patient client of one entry."""
    balancer = Balancer([entry], {entry.name: 0})
    name = f'{purpose}-{entry.name}'
    return Client(
        name, balancer, world.ledger, world.random(name), gives_up=False
    )


@define(eq=False)
class Watch:
    """Check what no single request shows."""

    world: World
    highest: dict[str, tuple[int, int]] = field(factory=dict)
    longest_stall: float = 0
    most_mib: dict[str, int] = field(factory=dict)
    most_descriptors: dict[str, int] = field(factory=dict)

    def start(self, nursery: trio.Nursery) -> None:
        """Watch until cancelled."""
        nursery.start_soon(self.beat)
        nursery.start_soon(self.watch_processes)
        for entry in self.world.entries():
            nursery.start_soon(self.watch_configuration, entry)

    async def beat(self) -> None:
        """Notice when the soak itself is held up."""
        while True:
            before = trio.current_time()
            await trio.sleep(BEAT_SECONDS)
            now = trio.current_time()
            stall = now - before - BEAT_SECONDS
            self.longest_stall = max(self.longest_stall, stall)
            if stall > STALL_SECONDS:
                row = self.world.faults.begin('stalled', SOAK, before)
                row.ended = now

    async def watch_processes(self) -> None:
        """Check memory and descriptors, and that none ends by itself."""
        while True:
            for process in self.world.processes.values():
                if process.running:
                    self.measure(process)
                elif process.popen and not process.ending:
                    code = process.popen.returncode
                    self.violate('processes live', process, f'ended by {code}')
                    process.ending = True
            await trio.sleep(CHECK_SECONDS)

    def measure(self, process: RoleProcess) -> None:
        """Check one process."""
        role = process.place.role
        try:
            mib = process.memory_bytes() // MIB
            descriptors = process.descriptors()
        except (OSError, IndexError):
            # It ended just now; the next look tells why.
            return
        self.most_mib[role] = max(mib, self.most_mib.get(role, 0))
        most = max(descriptors, self.most_descriptors.get(role, 0))
        self.most_descriptors[role] = most
        if mib > MEMORY_MIB[role]:
            self.violate('bounded memory', process, f'{mib} MiB')
        if descriptors > DESCRIPTORS[role]:
            self.violate('bounded descriptors', process, f'{descriptors}')

    async def watch_configuration(self, entry: RoleProcess) -> None:
        """Check that no version comes back in one life of an entry."""
        client = pinned_client(self.world, entry, 'config')
        while True:
            asked = self.world.version - int(client.random.random() < 1 / 2)
            await self.ask_version(client, entry, asked)
            await trio.sleep(client.random.random() * CHECK_SECONDS)

    async def ask_version(
        self, client: Client, entry: RoleProcess, version: int
    ) -> bool:
        """Ask by the route of one version; tell whether it is in force."""
        life, highest = self.highest.get(entry.name, (0, 0))
        if life != entry.starts:
            highest = 0
        life = entry.starts
        got = await call_plain(client, OWN, client.name, f'v{version}')
        if got.status != OK or life != entry.starts:
            return False
        if version < highest:
            self.violate('configuration', entry, f'{highest}, then {version}')
        self.highest[entry.name] = (life, max(version, highest))
        return True

    def violate(self, promise: str, process: RoleProcess, seen: str) -> None:
        """Note a violation."""
        self.world.ledger.violate(promise, '', f'{process.name}: {seen}')
