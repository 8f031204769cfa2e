"""Monitor processes and configuration while the soak runs."""

from types import MappingProxyType

import trio
from attrs import define, field

from tests.soak.balancer import Balancer
from tests.soak.client import Client
from tests.soak.fault_log import SOAK
from tests.soak.ledger import OK, VERSION_ROUTE
from tests.soak.program import call_route
from tests.soak.role_process import RoleProcess
from tests.soak.world import World

CHECK_SECONDS = 0.5
MIB = 1048576
# Limits of the smaller of the first two deployments.
MAX_MEMORY_MIB = MappingProxyType({'entry': 150, 'history': 170})
MAX_DESCRIPTORS = MappingProxyType({'entry': 3900, 'history': 8000})
# Shorter stalls are normal scheduling delays of a busy machine.
STALL_SECONDS = 0.2
STALL_CHECK_SECONDS = 0.05


def pinned_client(world: World, entry: RoleProcess, purpose: str) -> Client:
    """Return a client of one entry that never cancels."""
    balancer = Balancer([entry], {entry.name: 0})
    name = f'{purpose}-{entry.name}'
    return Client(
        name,
        balancer,
        world.ledger,
        world.random(name),
        cancels_at_random=False,
    )


@define(eq=False)
class Watch:
    """Check limits and guarantees that no single request shows."""

    world: World
    highest_versions: dict[str, tuple[int, int]] = field(factory=dict)
    longest_stall: float = 0
    peak_mib: dict[str, int] = field(factory=dict)
    peak_descriptors: dict[str, int] = field(factory=dict)

    def start(self, nursery: trio.Nursery) -> None:
        """Start all checks, which run until cancelled."""
        nursery.start_soon(self.measure_stalls)
        nursery.start_soon(self.watch_processes)
        for entry in self.world.entries():
            nursery.start_soon(self.watch_configuration, entry)

    async def measure_stalls(self) -> None:
        """Record stalls of the soak process itself."""
        while True:
            before = trio.current_time()
            await trio.sleep(STALL_CHECK_SECONDS)
            now = trio.current_time()
            stall = now - before - STALL_CHECK_SECONDS
            self.longest_stall = max(self.longest_stall, stall)
            if stall > STALL_SECONDS:
                interval = self.world.faults.begin('stalled', SOAK, before)
                interval.ended_at = now

    async def watch_processes(self) -> None:
        """Check memory and descriptors, and that no process exits by itself."""
        while True:
            for process in self.world.processes.values():
                if process.is_running:
                    self.measure(process)
                elif process.popen and not process.exit_expected:
                    code = process.popen.returncode
                    self.record_violation(
                        'processes live', process, f'exited with code {code}'
                    )
                    process.exit_expected = True
            await trio.sleep(CHECK_SECONDS)

    def measure(self, process: RoleProcess) -> None:
        """Check the memory and descriptors of one process."""
        role = process.node.role
        try:
            mib = process.memory_bytes() // MIB
            descriptors = process.descriptor_count()
        except (OSError, IndexError):
            # The process has just exited; the next check reports it.
            return
        self.peak_mib[role] = max(mib, self.peak_mib.get(role, 0))
        peak = max(descriptors, self.peak_descriptors.get(role, 0))
        self.peak_descriptors[role] = peak
        if mib > MAX_MEMORY_MIB[role]:
            self.record_violation('bounded memory', process, f'{mib} MiB')
        if descriptors > MAX_DESCRIPTORS[role]:
            self.record_violation(
                'bounded descriptors', process, f'{descriptors}'
            )

    async def watch_configuration(self, entry: RoleProcess) -> None:
        """Check that a running entry never returns to an older version."""
        client = pinned_client(self.world, entry, 'config')
        while True:
            asked = self.world.version - int(client.random.random() < 1 / 2)
            await self.check_version(client, entry, asked)
            await trio.sleep(client.random.random() * CHECK_SECONDS)

    async def check_version(
        self, client: Client, entry: RoleProcess, version: int
    ) -> bool:
        """Call the route of a version; return whether it is in force."""
        start_number, highest = self.highest_versions.get(entry.name, (0, 0))
        if start_number != entry.starts:
            highest = 0
        start_number = entry.starts
        answer = await call_route(
            client, VERSION_ROUTE, client.name, f'v{version}'
        )
        if answer.status != OK or start_number != entry.starts:
            return False
        if version < highest:
            self.record_violation(
                'configuration', entry, f'served {highest}, then {version}'
            )
        self.highest_versions[entry.name] = (
            start_number,
            max(version, highest),
        )
        return True

    def record_violation(
        self, promise: str, process: RoleProcess, detail: str
    ) -> None:
        """Record a violation of a process."""
        self.world.ledger.record_violation(
            promise, '', f'{process.name}: {detail}'
        )
