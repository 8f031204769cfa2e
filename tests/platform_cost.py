"""Compare the processor time per request of an entry and of an echo server.

Run by scripts/platform-cost. The entry and the echo server are separate
processes; the platform's stand-ins and the histories run in this one.
"""

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Iterator
from contextlib import ExitStack, asynccontextmanager, contextmanager
from pathlib import Path
from time import perf_counter

import trio
from attrs import define, frozen

from jasminewheel._internal.web.client import (
    HttpConnection,
    OutgoingRequest,
    open_connection,
)
from jasminewheel.errors import ConnectionLostError
from jasminewheel.platform.settings import NodeSettings
from tests.echo_server import EVENTS
from tests.platform_fleet import CALLS_HOST, PlatformFleet, platform_fleet

CONNECTIONS = 4
PLAIN_REQUESTS = 2000
TURNS = 400
# Sent before the measurement, to open connections to runners and disks.
WARM_UP_REQUESTS = 80
MILLISECONDS = 1000
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
SETTINGS = """
NodeName = "{vm}"
Ip = "{ip}"
Zone = "{zone}"
PortRange = [{peer_port}, {peer_port}]
[Zones]
east-a = "east"
[Listen]
Front = "{callers_address}"
Ready = "{readiness_address}"
[Platform]
Address = "{store_address}"
"""


@frozen
class Cost:
    """Represent the measured cost of one kind of request."""

    requests: int
    processor_seconds: float
    p50_seconds: float

    @property
    def processor_ms(self) -> float:
        """Return the processor time of one request in milliseconds."""
        return self.processor_seconds / self.requests * MILLISECONDS


@define
class Sender:
    """Send requests sequentially on one connection."""

    connection: HttpConnection
    name: str
    path: str
    count: int
    seconds: list[float]

    async def run(self) -> None:
        """Send all requests and record the duration of each."""
        number = 0
        while number < self.count:
            began = perf_counter()
            await self.connection.send(self.request(number))
            response = await self.connection.response(bool)
            await self.connection.whole_body(response)
            self.connection.finish(response, trio.current_time())
            self.seconds.append(perf_counter() - began)
            number += 1

    def request(self, number: int) -> OutgoingRequest:
        """Return the next request."""
        fields = {
            'Host': CALLS_HOST,
            'Request-Id': f'{self.name}-{number}',
            'Program-Id': f'{self.name}-{number}',
            'Token-Budget': '1000',
            'Token-Usage': '100,50',
            'Deadline-Ms': '3000',
        }
        pairs = [(name.encode(), fields[name].encode()) for name in fields]
        body = b'x' * 400 if self.path.startswith('/turns/') else b''
        method = b'POST' if body else b'GET'
        return OutgoingRequest(method, self.path.encode(), pairs, body)


def processor_seconds(process: subprocess.Popen) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = Path(f'/proc/{process.pid}/stat').read_text(encoding='ascii')
    used = text.rpartition(')')[2].split()[11:13]
    return sum(map(int, used)) / TICKS_PER_SECOND


async def measure(
    process: subprocess.Popen, address: str, path: str, requests: int
) -> Cost:
    """Send requests to one path; return their cost in a process."""
    seconds: list[float] = []
    before = processor_seconds(process)
    async with trio.open_nursery() as nursery:
        number = 0
        while number < CONNECTIONS:
            connection = await open_connection(address, 1)
            name = f'c{number}-{before}'
            share = requests // CONNECTIONS
            sender = Sender(connection, name, path, share, seconds)
            nursery.start_soon(sender.run)
            number += 1
    used = processor_seconds(process) - before
    return Cost(requests, used, sorted(seconds)[len(seconds) // 2])


@contextmanager
def running(module: str, *arguments: str, **variables: str) -> Iterator:
    """Run a module as a process until the block ends."""
    command = (sys.executable, '-m', module, *arguments)
    environment = {**os.environ, **variables}
    with ExitStack() as stack:
        process = stack.enter_context(
            subprocess.Popen(command, env=environment, stdout=subprocess.PIPE)
        )
        stack.callback(process.terminate)
        yield process


@asynccontextmanager
async def entry_process(
    fleet: PlatformFleet,
) -> AsyncIterator[tuple[subprocess.Popen, NodeSettings]]:
    """Run an entry in a separate process."""
    settings = fleet.settings('entry-1', 'east-a')
    fields = {
        name: getattr(settings, name) for name in NodeSettings.__slots__[:-1]
    }
    path = fleet.folder / 'entry.toml'
    path.write_text(SETTINGS.format(**fields), encoding='utf-8')
    arguments = ('jasminewheel.platform', 'entry')
    with running(*arguments, JASMINEWHEEL_NODE_FILE=str(path)) as process:
        while not await _answers(fleet, settings):
            await trio.sleep(0.05)
        yield process, settings


async def _answers(fleet: PlatformFleet, settings: NodeSettings) -> bool:
    try:
        answered = await fleet.ask(settings, '/look/1')
    except ConnectionLostError:
        return False
    return answered.status == 200


async def compare(folder: Path) -> dict[str, Cost]:
    """Return the costs of the entry and of the echo server."""
    costs: dict[str, Cost] = {}
    async with platform_fleet(folder) as fleet:
        fleet.configure()
        await fleet.add_runner('desk-1', 'desk')
        model = await fleet.add_runner('model-1', 'model')
        model.events = EVENTS
        await fleet.start_histories()
        async with entry_process(fleet) as (process, settings):
            address = settings.callers_address
            await measure(process, address, '/look/1', WARM_UP_REQUESTS)
            costs.update(await measure_both_kinds('entry', process, address))
        with running('tests.echo_server') as process:
            port = int(process.stdout.readline())
            address = f'127.0.0.1:{port}'
            costs.update(await measure_both_kinds('echo', process, address))
    return costs


async def measure_both_kinds(
    name: str, process: subprocess.Popen, address: str
) -> dict[str, Cost]:
    """Return the costs of plain requests and of turns."""
    plain = await measure(process, address, '/look/1', PLAIN_REQUESTS)
    turn = await measure(process, address, '/turns/1', TURNS)
    return {f'{name} plain': plain, f'{name} turn': turn}


def rows(costs: dict[str, Cost]) -> Iterator[dict[str, object]]:
    """Yield a row for each cost, and one for each ratio."""
    for name, cost in costs.items():
        yield {
            'row': name,
            'processor_ms': round(cost.processor_ms, 3),
            'p50_ms': round(cost.p50_seconds * MILLISECONDS, 2),
        }
    for kind in ('plain', 'turn'):
        entry, echo = costs[f'entry {kind}'], costs[f'echo {kind}']
        ratio = entry.processor_ms / echo.processor_ms
        yield {'row': f'ratio {kind}', 'ratio': round(ratio, 2)}


def main() -> None:
    """Print each row as one JSON object."""
    with tempfile.TemporaryDirectory() as folder:
        costs = trio.run(compare, Path(folder))
    for row in rows(costs):
        sys.stdout.write(f'{json.dumps(row)}\n')


if __name__ == '__main__':
    main()
