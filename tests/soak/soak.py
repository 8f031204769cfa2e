"""Run one seed from start to verdict."""

import os
import signal
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import trio
from attrs import define

from tests.soak.balancer import Balancer
from tests.soak.client import Client
from tests.soak.faults import FaultInjector
from tests.soak.plan import plan_faults
from tests.soak.program import StoredTurn, Workload
from tests.soak.recovery import Recovery
from tests.soak.report import Report, build_report
from tests.soak.watch import Watch
from tests.soak.world import World, entry_balancer, new_world

PROGRAMS_PER_ENTRY = 3
# One concurrent chain of turns of a program for each suffix.
CHAIN_SUFFIXES = 'abc'
CHECK_SECONDS = 0.1
# The recovery check samples from this many of the newest turns.
MAX_STORED_TURNS = 200
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class InterruptedSoakError(Exception):
    """Report that a signal interrupted the soak."""


@define(eq=False)
class Soak:
    """Run the load, the faults and the checks of one seed."""

    world: World
    seconds: float
    watch: Watch
    stored_turns: deque[StoredTurn]

    async def run(self) -> None:
        """Run to the end, or to the first violation."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.stop_at_violation, nursery.cancel_scope)
            self.watch.start(nursery)
            await self.start_clients(nursery)
            until = trio.current_time() + self.seconds
            faults = plan_faults(self.world.seed, self.seconds)
            await FaultInjector(self.world).run(faults)
            await trio.sleep_until(until)
            await Recovery(self.world, self.watch, self.stored_turns).run()
            nursery.cancel_scope.cancel()

    async def start_clients(self, nursery: trio.Nursery) -> None:
        """Start the balancer and the clients."""
        balancer = entry_balancer(self.world)
        for entry in balancer.entries:
            nursery.start_soon(balancer.run, entry)
        for number in range(PROGRAMS_PER_ENTRY * len(balancer.entries)):
            clients = [
                self.client(f'c{number}{suffix}', balancer)
                for suffix in CHAIN_SUFFIXES
            ]
            nursery.start_soon(Workload(clients, self.stored_turns).run)

    def client(self, name: str, balancer: Balancer) -> Client:
        """Return a client that connects to any entry."""
        return Client(
            name, balancer, self.world.ledger, self.world.random(name)
        )

    async def stop_at_violation(self, scope: trio.CancelScope) -> None:
        """End the soak at the first violation."""
        while not self.world.ledger.violations:
            await trio.sleep(CHECK_SECONDS)
        scope.cancel()


async def soak_seed(
    seed: int, seconds: float, processes: int, folder: Path
) -> Report:
    """Run one seed; its processes end in any case."""
    async with running_world(seed, folder) as world:
        await world.start(processes)
        soak = Soak(
            world, seconds, Watch(world), deque(maxlen=MAX_STORED_TURNS)
        )
        await soak.run()
        # The processes must end before their logs are read.
        world.end()
        return build_report(world, soak.watch)


@asynccontextmanager
async def running_world(seed: int, folder: Path) -> AsyncIterator[World]:
    """Provide a world that ends with the block, also after a signal."""
    async with trio.open_nursery() as nursery:
        world = new_world(seed, folder, nursery)
        nursery.start_soon(_raise_at_signal)
        try:
            yield world
        finally:
            world.end()
        nursery.cancel_scope.cancel()


async def _raise_at_signal() -> None:
    with trio.open_signal_receiver(*SIGNALS) as received:
        async for number in received:
            name = signal.Signals(number).name
            raise InterruptedSoakError(f'{name} in process {os.getpid()}')
