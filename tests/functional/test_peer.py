"""Check exchanges between peers over real sockets."""

from collections.abc import AsyncIterator, Callable
from contextlib import ExitStack, asynccontextmanager
from functools import partial
from typing import Any

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from jasminewheel._internal.peer import connection as connection_module
from jasminewheel._internal.peer.identity import PeerIdentity
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.peer.server import Exchange, PeerServer
from jasminewheel._internal.wire.gen.frame.ttypes import Hello, Proof
from jasminewheel.errors import BudgetError, PeerError
from jasminewheel.models.verdict import Verdict

KEY = b'k' * 32
SERVER = PeerIdentity('nottingham-a-1', 'i1', 'nottingham-a')
CLIENT = PeerIdentity('leicester-a-1', 'i2', 'leicester-a')


class Handlers:
    """Answer hellos, and record whether a handler was cancelled."""

    def __init__(self) -> None:
        """Start without cancelled handlers."""
        self.cancelled = trio.Event()
        self.peers: list[PeerIdentity] = []

    async def hello(self, exchange: Exchange, hello: Hello) -> Any:
        """Behave as the member's name says: refuse, crash, hang or answer."""
        self.peers.append(exchange.peer)
        if hello.member == 'refuse':
            raise BudgetError(
                'spent',
                verdict=Verdict.not_run,
                remedy='wait',
                retry_after_seconds=2,
            )
        if hello.member == 'crash':
            raise RuntimeError('boom')
        if hello.member == 'hang':
            await self.hang()
        number = 0
        while number < (hello.version or 0):
            await exchange.reply(Proof(mac=bytes([number % 256]) * 1024))
            number += 1
        return Proof(mac=hello.nonce)

    async def hang(self) -> None:
        """Wait until cancelled."""
        with ExitStack() as stack:
            stack.callback(self.cancelled.set)
            await trio.sleep_forever()


@asynccontextmanager
async def peers(
    handlers: Handlers, key: bytes = KEY
) -> AsyncIterator[tuple[PeerPool, str]]:
    """Run a server and a client pool; yield the pool and the address."""
    server = PeerServer(SERVER, KEY, {Hello: handlers.hello})
    async with trio.open_nursery() as nursery:
        port = await nursery.start(server.serve, '127.0.0.1', 0)
        async with PeerPool(CLIENT, key) as pool:
            yield pool, f'127.0.0.1:{port}'
        nursery.cancel_scope.cancel()


async def ask(pool: PeerPool, address: str, **fields: Any) -> Proof:
    """Send a hello with these fields; return its answer."""
    return await pool.ask(address, Hello(**fields), Proof, timeout_seconds=5)


def test_answer_and_identity():
    """The client gets the answer; the handler sees the client's identity."""

    async def scenario() -> None:
        handlers = Handlers()
        async with peers(handlers) as (pool, address):
            answer = await ask(pool, address, nonce=b'n')
            assert answer.mac == b'n'
            assert handlers.peers == [CLIENT]

    trio.run(scenario)


def test_many_exchanges_share_one_connection():
    """Each request gets its own answer."""

    async def scenario() -> None:
        async with peers(Handlers()) as (pool, address):
            found = {}

            async def one(number: int) -> None:
                nonce = str(number).encode()
                found[number] = (await ask(pool, address, nonce=nonce)).mac

            async with trio.open_nursery() as nursery:
                for number in range(200):
                    nursery.start_soon(one, number)
            assert all(int(found[number]) == number for number in found)
            assert len(found) == 200
            assert len(pool.slots) == 1

    trio.run(scenario)


def test_error_keeps_its_type():
    """An error arrives with its type, verdict, remedy and retry time."""

    async def scenario() -> None:
        async with peers(Handlers()) as (pool, address):
            with pytest.raises(BudgetError) as caught:
                await ask(pool, address, member='refuse')
            assert caught.value.verdict is Verdict.not_run
            assert caught.value.remedy == 'wait'
            assert caught.value.retry_after_seconds == 2
            with pytest.raises(PeerError, match='boom'):
                await ask(pool, address, member='crash')
            assert (await ask(pool, address, nonce=b'n')).mac == b'n'

    trio.run(scenario)


def test_cancel_reaches_the_handler():
    """A cancelled request cancels its handler."""

    async def scenario() -> None:
        handlers = Handlers()
        async with peers(handlers) as (pool, address):
            with trio.move_on_after(0.05):
                await ask(pool, address, member='hang')
            with trio.fail_after(5):
                await handlers.cancelled.wait()

    trio.run(scenario)


def test_timeout_is_a_peer_error():
    """A request that times out raises PeerError and may have been received."""

    async def scenario() -> None:
        async with peers(Handlers()) as (pool, address):
            with pytest.raises(PeerError) as caught:
                await pool.ask(
                    address,
                    Hello(member='hang'),
                    Proof,
                    timeout_seconds=0.05,
                )
            assert caught.value.sent

    trio.run(scenario)


def test_stream_in_order():
    """A stream yields each message once, in order, then ends."""

    async def scenario() -> None:
        async with peers(Handlers()) as (pool, address):
            hello = Hello(version=50, nonce=b'end')
            async with pool.stream(address, hello, Proof) as replies:
                macs = [reply.mac[:1] async for reply in replies]
            assert macs == [bytes([first]) for first in range(50)] + [b'e']

    trio.run(scenario)


def test_slow_reader_blocks_no_other_exchange(monkeypatch):
    """A reader that stops reading fails only its own exchange."""
    monkeypatch.setattr(connection_module, 'MAX_UNREAD_BYTES', 100_000)

    async def scenario() -> None:
        async with peers(Handlers()) as (pool, address):
            hello = Hello(version=5000, nonce=b'end')
            async with pool.stream(address, hello, Proof) as replies:
                await anext(replies)
                assert (await ask(pool, address, nonce=b'n')).mac == b'n'
                with pytest.raises(PeerError, match='fast enough'):
                    await _drain(replies)

    trio.run(scenario)


async def _drain(replies: AsyncIterator[Proof]) -> None:
    await trio.sleep(0.3)
    async for _ in replies:
        await trio.lowlevel.checkpoint()


def test_wrong_key_is_refused():
    """A process without the fleet key gets no answer."""

    async def scenario() -> None:
        handlers = Handlers()
        async with peers(handlers, key=b'other' * 8) as (pool, address):
            with pytest.raises(PeerError) as caught:
                await ask(pool, address, nonce=b'n')
            assert not caught.value.sent
            assert not handlers.peers

    trio.run(scenario)


def test_unreachable_is_not_sent():
    """A refused connection proves that nothing was sent."""

    async def scenario() -> None:
        async with PeerPool(CLIENT, KEY) as pool:
            with pytest.raises(PeerError) as caught:
                await ask(pool, '127.0.0.1:1')
            assert not caught.value.sent

    trio.run(scenario)


def test_reconnects_after_restart():
    """The pool reconnects to a peer that restarted on the same port."""

    async def serve_once(
        pool: PeerPool, port: int, check: Callable[..., Any]
    ) -> int:
        server = PeerServer(SERVER, KEY, {Hello: Handlers().hello})
        async with trio.open_nursery() as nursery:
            bound = await nursery.start(
                partial(server.serve, '127.0.0.1'), port
            )
            await check(pool, f'127.0.0.1:{bound}', nonce=b'n')
            nursery.cancel_scope.cancel()
        return bound

    async def scenario() -> None:
        async with PeerPool(CLIENT, KEY) as pool:
            port = await serve_once(pool, 0, ask)
            await wait_all_tasks_blocked(0.01)
            assert await serve_once(pool, port, ask) == port

    trio.run(scenario)


@pytest.mark.parametrize(
    'noise',
    [b'\xff' * 64, b'\x00\x00\x00\x04abcd', b'GET / HTTP/1.1\r\n\r\n', b''],
)
def test_noise_is_refused(noise):
    """Bytes of another protocol close their own connection only."""

    async def scenario() -> None:
        async with peers(Handlers()) as (pool, address):
            port = int(address.rpartition(':')[2])
            stream = await trio.open_tcp_stream('127.0.0.1', port)
            await stream.send_all(noise)
            await stream.send_eof()
            assert (await ask(pool, address, nonce=b'n')).mac == b'n'
            await stream.aclose()

    trio.run(scenario)
