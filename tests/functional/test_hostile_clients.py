"""Check an entry process beside clients that try to exhaust it.

The limits of the settings are low, so that a small crowd shows the fault: a
process that holds whatever clients send it grows past its memory.
"""

import logging
from contextlib import closing
from types import MappingProxyType

import pytest
import trio
from attrs import define, frozen

from jasminewheel._internal.web.client import OutgoingRequest, open_connection
from jasminewheel.errors import ConnectionLostError
from tests.entry_process import peak_bytes, running_entry
from tests.platform_fleet import (
    CALLS_HOST,
    PlatformFleet,
    ask_once,
    platform_fleet,
    stored_json,
)
from tests.soak.role_process import RoleProcess

MEMORY_MB = 80
MEMORY_BYTES = MEMORY_MB * 1048576
MAX_DESCRIPTORS = 400
LIMITS = f'MemoryMb = {MEMORY_MB}\nMaxFds = {MAX_DESCRIPTORS}'
BODY_BYTES = 4194304
HEAD_BYTES = 16384
# How long a crowd stays, and may take to send what it sends.
CROWD_SECONDS = 6.0
# Tries of the ordinary request, each after a refusal that it did not run.
TRIES = 40
RETRY_SECONDS = 0.25
OK = 200
POST = b'POST /book/a HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: h\r\n'
GET = b'GET /look/a HTTP/1.1\r\nHost: desk.example\r\n'
CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % POST
LAST_CHUNK = b'%b0\r\n' % CHUNKED
SIZED = b'%bContent-Length: %d\r\n\r\n' % (POST, BODY_BYTES)
CHUNK = b'10000\r\n%b\r\n' % (b'a' * 65536)
SHORT_OF_END = BODY_BYTES - 65536


@frozen
class Crowd:
    """Describe clients that send a start, repeat bytes, and stay."""

    clients: int
    start: bytes
    repeated: bytes = b''
    times: int = 0


CROWDS = MappingProxyType(
    {
        'short header lines': Crowd(300, POST, b'a:\r\n', 3750),
        'long header lines': Crowd(300, POST, b'%b:\r\n' % (b'a' * 1000), 15),
        'unended header line': Crowd(300, b'%bX: ' % POST, b'a', 15000),
        'trailers': Crowd(12, LAST_CHUNK, b'a: b\r\n' * 1000, 1400),
        'unended trailer': Crowd(12, b'%bX: ' % LAST_CHUNK, b'a' * 8192, 1000),
        'sized bodies short of the end': Crowd(
            60, SIZED, b'a' * 65536, SHORT_OF_END // 65536
        ),
        'chunked bodies short of the end': Crowd(60, CHUNKED, CHUNK, 63),
        'whole bodies': Crowd(40, SIZED, b'a' * 65536, 64),
        'chunks of one byte': Crowd(24, CHUNKED, b'1\r\na\r\n' * 1000, 600),
        'many requests at once': Crowd(
            60, b'', b'%bRequest-Id: h\r\n\r\n' % GET, 800
        ),
        'silent connections': Crowd(420, b'G'),
    }
)


@define(eq=False)
class Visit:
    """Let a crowd visit one entry process, then ask an ordinary request."""

    fleet: PlatformFleet
    entry: RoleProcess
    crowd: Crowd
    descriptors: int = 0
    served: bool = False

    async def run(self) -> None:
        """Play the crowd, and measure the process while the crowd stays."""
        async with trio.open_nursery() as nursery:
            for _ in range(self.crowd.clients):
                nursery.start_soon(self.visit)
            with trio.move_on_after(CROWD_SECONDS):
                await self.watch_descriptors()
            nursery.cancel_scope.cancel()

    async def visit(self) -> None:
        """Send as one client of the crowd, and stay until cancelled."""
        address = self.entry.node.call_address
        try:
            connection = await open_connection(address, CROWD_SECONDS)
        except ConnectionLostError:
            return
        with closing(connection):
            try:
                await self.send(connection.stream)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            await trio.sleep_forever()

    async def send(self, stream: trio.SocketStream) -> None:
        """Send what a client of the crowd sends, in pieces."""
        await stream.send_all(self.crowd.start)
        per_piece = max(1, 65536 // max(1, len(self.crowd.repeated)))
        left = self.crowd.times
        while left:
            count = min(left, per_piece)
            await stream.send_all(self.crowd.repeated * count)
            left -= count

    async def watch_descriptors(self) -> None:
        """Track the descriptors of the process until cancelled."""
        while self.entry.is_running:
            count = self.entry.descriptor_count()
            self.descriptors = max(self.descriptors, count)
            await trio.sleep(0.05)

    async def ask_ordinary(self) -> bool:
        """Return whether an ordinary request is answered, within TRIES."""
        tries = 0
        while tries < TRIES:
            tries += 1
            if await self.is_answered(make_request(f'ordinary-{tries}')):
                return True
            await trio.sleep(RETRY_SECONDS)
        return False

    async def is_answered(self, request: OutgoingRequest) -> bool:
        """Return whether a request is answered by the runner."""
        try:
            answered = await ask_once(self.entry.node.call_address, request)
        except ConnectionLostError:
            return False
        return answered.status == OK


def make_request(call_id: str, body: bytes = b'x') -> OutgoingRequest:
    """Return a request inside all limits."""
    fields = [
        (b'Host', CALLS_HOST.encode()),
        (b'Request-Id', call_id.encode()),
        (b'Deadline-Ms', b'3000'),
    ]
    return OutgoingRequest(b'POST', b'/look/a', fields, body)


def configure(fleet: PlatformFleet) -> None:
    """Write a configuration with the limits of the sheets."""
    fleet.configure()
    fields = stored_json(fleet, 'op/config')
    fields['Limits'] = {
        'MaxHeaderBytes': HEAD_BYTES,
        'MaxBodyBytes': BODY_BYTES,
        'HeaderTimeoutMs': 3000,
        'IdleTimeoutMs': 15000,
    }
    fleet.store.write_json('op/config', fields)


async def _visit(folder, crowd: Crowd) -> tuple[Visit, int, bool]:
    async with platform_fleet(folder) as fleet:
        configure(fleet)
        runner = await fleet.add_runner('desk-1', 'desk')
        await fleet.start_histories()
        async with running_entry(fleet, LIMITS) as process:
            visit = Visit(fleet, process, crowd)
            if crowd is CROWDS['whole bodies']:
                # The calls of the crowd stay at the runner.
                runner.faults = ['hang' for _ in range(crowd.clients)]
            await visit.run()
            runner.faults = []
            visit.served = await visit.ask_ordinary()
            return visit, peak_bytes(process), process.is_running


@pytest.mark.parametrize('crowd', CROWDS.values(), ids=CROWDS.keys())
def test_entry_outlasts_hostile_clients(tmp_path, crowd):
    """An entry stays within its limits, and serves an ordinary caller."""
    visit, peak, is_running = trio.run(_visit, tmp_path, crowd)
    logging.info('peak %d MiB, %d descriptors', peak >> 20, visit.descriptors)
    assert is_running
    assert peak < MEMORY_BYTES
    assert visit.descriptors < MAX_DESCRIPTORS
    assert visit.served


async def _ask_alone(folder, requests: list[OutgoingRequest]) -> list[int]:
    async with platform_fleet(folder) as fleet:
        configure(fleet)
        await fleet.add_runner('desk-1', 'desk')
        await fleet.start_histories()
        async with running_entry(fleet, LIMITS) as process:
            address = process.node.call_address
            first, second = requests
            answers = [await ask_once(address, first)]
            answers.append(await ask_once(address, second))
            return [one.status for one in answers]


def test_single_requests_inside_the_limits_are_served(tmp_path):
    """Requests at the limits of size are answered when they come alone."""
    large = make_request('large', b'a' * BODY_BYTES)
    fields = [*large.headers, *((b'a', b'') for _ in range(3900 * 4 // 5))]
    odd = OutgoingRequest(b'GET', b'/look/a', fields)
    assert trio.run(_ask_alone, tmp_path, [large, odd]) == [OK, OK]
