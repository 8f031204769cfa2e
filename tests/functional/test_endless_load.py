"""Check an entry process beside many endless answers, from outside.

All runners of one service send bytes without end, to many calls at once. The
entry stays within the memory of the smallest VM, and the calls of others end
in time.
"""

import logging
import subprocess
import sys
from contextlib import ExitStack, closing, contextmanager
from pathlib import Path
from types import MappingProxyType

import pytest
import trio
from attrs import define, field, frozen

from tests.endless_server import BLOCK_BYTES
from tests.platform_fleet import (
    CALLS_HOST,
    ROUTES,
    PlatformFleet,
    ask_once,
    platform_fleet,
)
from tests.entry_process import peak_bytes, running_entry
from tests.soak.role_process import RoleProcess
from jasminewheel._internal.web.client import (
    OutgoingRequest,
    open_connection,
)
from tests.processes import STOP_SECONDS

# The smallest VM of the sheets.
MEMORY_BYTES = 128_000_000
RUNNERS = 3
CALLS = 300
DEADLINE_SECONDS = 3.0
# A caller that is answered no later than this after its deadline.
SLACK_SECONDS = 1.0
POLL_SECONDS = 0.01
FEED = MappingProxyType(
    {'Prefix': '/feed/', 'Kind': 'streaming', 'Service': 'desk'}
)
# A stream has begun before it turns out to be without end.
EXPECTED_STATUSES = MappingProxyType(
    {
        '/book/a': {502, 503, 504},
        '/look/a': {502, 503, 504},
        '/feed/a': {200, 502, 503, 504},
    }
)
OWN = b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n'
CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % OWN
CHUNK = b'1000\r\n%b\r\n' % (b'a' * 4096)
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
EVENT = b'9\r\ndata: w\n\n\r\n'
REFUSAL = b'HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n'


@frozen
class Fault:
    """Describe what the runners of the faulty service send, and who calls."""

    start: bytes
    repeated: bytes
    pause_seconds: float = 0
    block_bytes: int = BLOCK_BYTES
    # The route of the calls, which decides whether they may be repeated.
    path: str = '/book/a'
    # Whether the callers read their answers.
    is_read: bool = True

    def arguments(self) -> list[str]:
        """Return the arguments of the process that sends it."""
        return [
            self.start.hex(),
            self.repeated.hex(),
            str(self.pause_seconds),
            str(self.block_bytes),
        ]


WAYS = MappingProxyType(
    {
        'field': Fault(b'HTTP/1.1 200 OK\r\nX: ', b'a'),
        'fields': Fault(b'HTTP/1.1 200 OK\r\n', b'X:y\r\n'),
        'chunks': Fault(CHUNKED, CHUNK),
        'chunks of five': Fault(CHUNKED, b'5\r\nabcde\r\n'),
        'chunks of thirty': Fault(CHUNKED, b'1e\r\n%b\r\n' % (b'a' * 30)),
        'no length': Fault(b'%b\r\n' % OWN, b'a'),
        'no http': Fault(b'', b'\x00\xff'),
        'interim': Fault(b'', INTERIM),
        'foreign answers': Fault(
            b'',
            b'HTTP/1.1 200 OK\r\nRequest-Id: o\r\nContent-Length: 0\r\n\r\n',
        ),
        'refusal': Fault(
            b'%bTransfer-Encoding: chunked\r\n\r\n' % REFUSAL, CHUNK
        ),
        'drip in a head': Fault(b'HTTP/1.1 200 OK\r\nX: ', b'a', 0.2, 1),
        'drip in a body': Fault(b'%b\r\n' % OWN, b'a', 0.2, 1),
        'drip of responses': Fault(b'', INTERIM, 0.3, 1),
        'second tries': Fault(CHUNKED, CHUNK, path='/look/a'),
        'streams': Fault(CHUNKED, EVENT, path='/feed/a'),
        'unread streams': Fault(CHUNKED, EVENT, path='/feed/a', is_read=False),
    }
)


@contextmanager
def endless_process(fault: Fault):
    """Run a server of endless answers as a process; provide its address."""
    popen = subprocess.Popen(
        [sys.executable, '-m', 'tests.endless_server', *fault.arguments()],
        stdout=subprocess.PIPE,
        text=True,
    )
    with popen.stdout:
        try:
            yield popen.stdout.readline().strip()
        finally:
            popen.kill()
            popen.wait(STOP_SECONDS)


@define(eq=False)
class Load:
    """Send calls through one entry process, and measure it."""

    fleet: PlatformFleet
    entry: RoleProcess
    fault: Fault
    sent: int = 0
    turn_seconds: list[float] = field(factory=list)
    turn_statuses: list[int] = field(factory=list)
    statuses: list[int] = field(factory=list)
    unanswered: int = 0
    unread_bytes: int = 0
    peak_bytes: int = 0

    def request(self, path: str, **headers: str) -> OutgoingRequest:
        """Return a new request."""
        self.sent += 1
        fields = {
            'Host': CALLS_HOST,
            'Request-Id': f'q{self.sent}',
            'Deadline-Ms': str(int(DEADLINE_SECONDS * 1000)),
            **{name.replace('_', '-'): text for name, text in headers.items()},
        }
        pairs = [(name.encode(), fields[name].encode()) for name in fields]
        return OutgoingRequest(b'POST', path.encode(), pairs, b'x')

    async def call(self) -> None:
        """Call the faulty service."""
        request = self.request(self.fault.path, Token_Usage='10,100000')
        address = self.entry.node.call_address
        with trio.move_on_after(DEADLINE_SECONDS + SLACK_SECONDS):
            if not self.fault.is_read:
                await _send_unread(address, request)
            answered = await ask_once(address, request)
            self.statuses.append(answered.status)
            return
        self.unanswered += self.fault.is_read

    async def send_turns(self) -> None:
        """Send a turn of a program, one after another, until cancelled."""
        while True:
            began = trio.current_time()
            request = self.request(
                '/turns/a', Program_Id='p', Session_Id='s', Token_Usage='10,8'
            )
            answered = await ask_once(self.entry.node.call_address, request)
            self.turn_seconds.append(trio.current_time() - began)
            self.turn_statuses.append(answered.status)
            await trio.sleep(POLL_SECONDS)

    async def watch_unread(self, ports: set[int]) -> None:
        """Track the bytes of runners that the process has not read yet."""
        while True:
            self.unread_bytes = max(self.unread_bytes, _unread_bytes(ports))
            await trio.sleep(5 * POLL_SECONDS)

    async def run(self, ports: set[int]) -> None:
        """Send the calls beside the turns."""
        async with trio.open_nursery() as others:
            others.start_soon(self.send_turns)
            others.start_soon(self.watch_unread, ports)
            await trio.sleep(0.3)
            await self.call_at_once()
            await self.call_at_once()
            await trio.sleep(0.3)
            others.cancel_scope.cancel()

    async def call_at_once(self) -> None:
        """Send many calls to the faulty service at once."""
        async with trio.open_nursery() as callers:
            for _ in range(CALLS):
                callers.start_soon(self.call)


async def _send_unread(address: str, request: OutgoingRequest) -> None:
    """Send a request, and read nothing until cancelled."""
    connection = await open_connection(address, 1)
    with closing(connection):
        await connection.send(request)
        await trio.sleep_forever()


def _unread_bytes(ports: set[int]) -> int:
    """Return what waits in sockets that are connected to one of the ports."""
    table = Path('/proc/net/tcp').read_text(encoding='ascii')
    rows = [line.split() for line in table.splitlines()[1:]]
    return sum(
        int(row[4].partition(':')[2], 16)
        for row in rows
        if int(row[2].partition(':')[2], 16) in ports
    )


async def _play(folder: Path, fault: Fault, addresses: list[str]) -> Load:
    async with platform_fleet(folder) as fleet:
        fleet.configure(routes={**ROUTES, 'feed': FEED})
        for number, address in enumerate(addresses):
            fleet.list_runner(f'desk-{number}', 'desk', address)
        await fleet.add_runner('model-1', 'model')
        await fleet.start_histories()
        async with running_entry(fleet) as process:
            load = Load(fleet, process, fault)
            await load.run({int(one.split(':')[1]) for one in addresses})
            load.peak_bytes = peak_bytes(process)
            return load


@pytest.mark.parametrize('fault', WAYS.values(), ids=WAYS.keys())
def test_entry_outlasts_many_endless_answers(tmp_path, fault):
    """An entry of 128 MB serves others while 300 calls get bytes without end.

    The callers of the faulty service get an answer too.
    """
    with ExitStack() as stack:
        addresses = [
            stack.enter_context(endless_process(fault)) for _ in range(RUNNERS)
        ]
        load = trio.run(_play, tmp_path, fault, addresses)
    logging.info(
        'peak %d MiB, unread %d MiB, turns of up to %.2f s',
        load.peak_bytes >> 20,
        load.unread_bytes >> 20,
        max(load.turn_seconds),
    )
    assert set(load.turn_statuses) == {200}
    assert max(load.turn_seconds) < DEADLINE_SECONDS
    assert not load.unanswered
    assert set(load.statuses) <= EXPECTED_STATUSES[fault.path]
    assert load.peak_bytes + load.unread_bytes < MEMORY_BYTES
