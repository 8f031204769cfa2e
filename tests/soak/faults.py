"""Bring the faults of a seed about."""

import trio
from attrs import define, field

from tests.soak.interval_log import lasting
from tests.soak.link_faults import LinkFaults, StoreFaults
from tests.soak.plan import LINK_KINDS, PROCESS_KINDS, STORE_KINDS, Planned
from tests.soak.process_faults import ProcessFaults
from tests.soak.world import World

FAULT_SHARE = 0.5
# Every second one of so many lengths a second is that of a runner that leaves
# without a word.
WORDLESS_STEPS = 100


@define(eq=False)
class FaultMaker:
    """Bring planned faults about; they overlap."""

    world: World
    of_processes: ProcessFaults = field(init=False)
    of_links: LinkFaults = field(init=False)
    of_store: StoreFaults = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the parts."""
        self.of_processes = ProcessFaults(self.world)
        self.of_links = LinkFaults(self.world)
        self.of_store = StoreFaults(self.world, self.of_links)

    async def run(self, planned: list[Planned]) -> None:
        """Begin each fault at its time; return when all have ended."""
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            for one in planned:
                nursery.start_soon(self.run_one, one, began + one.at)

    async def run_one(self, one: Planned, at: float) -> None:
        """Bring one fault about at its time."""
        await trio.sleep_until(at)
        if one.kind in PROCESS_KINDS:
            await self.of_processes.bring_about(one)
        elif one.kind in LINK_KINDS:
            await self.of_links.bring_about(one)
        elif one.kind in STORE_KINDS:
            await self.of_store.bring_about(one)
        else:
            await self.change(one)

    async def change(self, one: Planned) -> None:
        """Change the configuration, or what runners do."""
        with lasting(self.world.faults, one.kind, 'platform'):
            if one.kind == 'configure':
                self.world.configure()
            elif one.kind == 'faulty-runners':
                await self.trouble_runners(one)
            else:
                await self.drain_runner(one)

    async def trouble_runners(self, one: Planned) -> None:
        """Let runners break off, come late or give wrong bytes."""
        for runner in self.world.runners:
            runner.fault_share = FAULT_SHARE
        await trio.sleep(one.seconds)
        for healed in self.world.runners:
            healed.fault_share = 0

    async def drain_runner(self, one: Planned) -> None:
        """List a runner as draining, or not at all, for a while."""
        runner = one.pick(self.world.runners)
        if int(one.seconds * WORDLESS_STEPS) % 2:
            self.world.unlist_runner(runner)
        else:
            self.world.list_runner(runner, 'draining')
        await trio.sleep(one.seconds)
        self.world.list_runner(runner)
