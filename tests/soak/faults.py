"""Inject the planned faults of a seed."""

import trio
from attrs import define, field

from tests.soak.fault_log import recorded_fault
from tests.soak.link_faults import LinkFaults, StoreFaults
from tests.soak.plan import LINK_KINDS, PROCESS_KINDS, STORE_KINDS, PlannedFault
from tests.soak.process_faults import ProcessFaults
from tests.soak.world import World

FAULT_SHARE = 0.5
# A fault's duration, counted in steps of 1/100 s, decides how a runner leaves:
# an odd count unregisters it without draining.
UNLIST_STEPS = 100


@define(eq=False)
class FaultInjector:
    """Inject planned faults, which may overlap."""

    world: World
    process_faults: ProcessFaults = field(init=False)
    link_faults: LinkFaults = field(init=False)
    store_faults: StoreFaults = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the injectors of each group of faults."""
        self.process_faults = ProcessFaults(self.world)
        self.link_faults = LinkFaults(self.world)
        self.store_faults = StoreFaults(self.world, self.link_faults)

    async def run(self, faults: list[PlannedFault]) -> None:
        """Start each fault at its time; return when all have ended."""
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for fault in faults:
                nursery.start_soon(
                    self.run_fault, fault, started_at + fault.start_seconds
                )

    async def run_fault(self, fault: PlannedFault, starts_at: float) -> None:
        """Inject one fault at its time."""
        await trio.sleep_until(starts_at)
        if fault.kind in PROCESS_KINDS:
            await self.process_faults.inject(fault)
        elif fault.kind in LINK_KINDS:
            await self.link_faults.inject(fault)
        elif fault.kind in STORE_KINDS:
            await self.store_faults.inject(fault)
        else:
            await self.change_platform(fault)

    async def change_platform(self, fault: PlannedFault) -> None:
        """Change the configuration, or the state or answers of runners."""
        with recorded_fault(self.world.faults, fault.kind, 'platform'):
            if fault.kind == 'configure':
                self.world.configure()
            elif fault.kind == 'faulty-runners':
                await self.inject_runner_faults(fault)
            else:
                await self.drain_runner(fault)

    async def inject_runner_faults(self, fault: PlannedFault) -> None:
        """Let runners truncate, delay or corrupt a share of their answers."""
        for runner in self.world.runners:
            runner.fault_share = FAULT_SHARE
        await trio.sleep(fault.duration_seconds)
        for recovered in self.world.runners:
            recovered.fault_share = 0

    async def drain_runner(self, fault: PlannedFault) -> None:
        """Mark a runner as draining or unregister it, then list it again."""
        runner = fault.pick(self.world.runners)
        if int(fault.duration_seconds * UNLIST_STEPS) % 2:
            self.world.unlist_runner(runner)
        else:
            self.world.list_runner(runner, 'draining')
        await trio.sleep(fault.duration_seconds)
        self.world.list_runner(runner)
