"""Start programs on a schedule, within limits of count and time."""

import secrets
from collections.abc import Callable
from contextlib import ExitStack

import httpx
import trio

from jasminewheel._internal.load.arrivals import (
    Arrival,
    Bounds,
    draw_arrivals,
)
from jasminewheel._internal.load.client import CallerClient
from jasminewheel._internal.load.conversation import Conversation
from jasminewheel._internal.load.program_run import ProgramRun
from jasminewheel._internal.load.records import Records
from jasminewheel._internal.load.workload import Workload

_RUN_ID_BYTES = 4
_CONNECTIONS = 400


def open_http() -> httpx.AsyncClient:
    """Return an HTTP client that supports many concurrent streams."""
    limits = httpx.Limits(
        max_connections=_CONNECTIONS, max_keepalive_connections=_CONNECTIONS
    )
    return httpx.AsyncClient(limits=limits, timeout=60, trust_env=False)


class LoadDriver:
    """Run the programs of one workload against its entries."""

    def __init__(
        self,
        workload: Workload,
        http: httpx.AsyncClient,
        on_progress: Callable[[Records], None],
    ) -> None:
        """Call `on_progress` after each program."""
        self.workload = workload
        self.http = http
        self.on_progress = on_progress
        self.records = Records()
        self.run_id = secrets.token_hex(_RUN_ID_BYTES)
        self.clients = {
            program_class.name: CallerClient(
                http, workload.entries, program_class.key
            )
            for program_class in workload.classes
        }

    async def drive(self, bounds: Bounds, seed: int) -> Records:
        """Run the programs within the bounds and return the records."""
        latest = trio.current_time() + bounds.seconds + bounds.grace_seconds
        scope = trio.CancelScope(deadline=latest)
        with scope:
            await self._start_all(bounds, seed)
        if scope.cancelled_caught:
            self.records.count_problem(
                'programs cancelled at the end of the run'
            )
        return self.records

    async def _start_all(self, bounds: Bounds, seed: int) -> None:
        arrivals = draw_arrivals(self.workload, seed, bounds)
        slots = trio.Semaphore(bounds.open_programs)
        started_at = trio.current_time()
        arrival = next(arrivals, None)
        async with trio.open_nursery() as nursery:
            while arrival:
                await trio.sleep_until(started_at + arrival.at)
                await slots.acquire()
                nursery.start_soon(self._run_one, arrival, seed, slots)
                arrival = next(arrivals, None)

    async def _run_one(
        self, arrival: Arrival, seed: int, slots: trio.Semaphore
    ) -> None:
        program_class = arrival.program_class
        run = ProgramRun(
            program_class,
            f'{self.run_id}-{program_class.name}-{arrival.number}',
            f'{seed}-{program_class.name}-{arrival.number}',
            self.clients[program_class.name],
            self.records,
            Conversation(program_class.model, self.run_id),
        )
        with ExitStack() as cleanup:
            cleanup.callback(slots.release)
            await run.run()
        self.on_progress(self.records)
