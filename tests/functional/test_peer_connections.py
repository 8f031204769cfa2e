"""Check that requests to unresponsive or distant peers leak no connections."""

from contextlib import asynccontextmanager

import trio

from jasminewheel._internal.peer.identity import PeerIdentity
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.peer.server import PeerServer
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import PeerError

KEY = b'k' * 32
REQUESTS = 60
TIMEOUT_SECONDS = 0.1
REQUEST_INTERVAL_SECONDS = 0.02
DIAL_DELAY_SECONDS = 0.2
SHORT_TIMEOUT_SECONDS = 0.05
# All of them time out before the dial can end.
SHORT_REQUESTS = 3
LONG_TIMEOUT_SECONDS = 5.0


class SlowDialPool(PeerPool):
    """Delay each dial, as over a long network path."""

    def __init__(self, identity: PeerIdentity, key: bytes) -> None:
        """Start without dials."""
        super().__init__(identity, key)
        self.dials = 0

    async def dial(self, address):
        """Count the dial and delay it."""
        self.dials += 1
        await trio.sleep(DIAL_DELAY_SECONDS)
        return await super().dial(address)


async def _never_answer(_exchange, _request) -> None:
    await trio.sleep_forever()


async def _answer(_exchange, _request) -> wire.KnownItems:
    return wire.KnownItems(items=[], revision=0)


@asynccontextmanager
async def _peers(pool_kind, handler):
    async with trio.open_nursery() as nursery:
        server = PeerServer(
            PeerIdentity('server', 'i1', 'z'),
            KEY,
            {wire.ReadKnownItems: handler},
        )
        port = await nursery.start(server.serve, '127.0.0.1', 0)
        async with pool_kind(PeerIdentity('asker', 'i1', 'z'), KEY) as pool:
            yield server, pool, f'127.0.0.1:{port}'
        nursery.cancel_scope.cancel()


async def _ask(pool, address, seconds) -> bool:
    try:
        await pool.ask(
            address,
            wire.ReadKnownItems(),
            wire.KnownItems,
            timeout_seconds=seconds,
        )
    except PeerError:
        return False
    return True


def test_requests_that_time_out_leave_no_connections_open():
    """Connections that are replaced after timeouts are closed."""

    async def scenario() -> None:
        async with _peers(PeerPool, _never_answer) as (server, pool, address):
            async with trio.open_nursery() as nursery:
                remaining = REQUESTS
                while remaining:
                    remaining -= 1
                    nursery.start_soon(_ask, pool, address, TIMEOUT_SECONDS)
                    await trio.sleep(REQUEST_INTERVAL_SECONDS)
            await trio.sleep(TIMEOUT_SECONDS)
            assert server.connections <= 1

    trio.run(scenario)


def test_dial_continues_after_its_first_request_timed_out():
    """Requests that time out during a dial do not cause further dials."""

    async def scenario() -> None:
        async with _peers(SlowDialPool, _answer) as (_server, pool, address):
            remaining = SHORT_REQUESTS
            while remaining:
                remaining -= 1
                assert not await _ask(pool, address, SHORT_TIMEOUT_SECONDS)
            assert await _ask(pool, address, LONG_TIMEOUT_SECONDS)
            assert pool.dials == 1

    async def bounded() -> None:
        with trio.fail_after(10):
            await scenario()

    trio.run(bounded)


def test_slow_answer_does_not_close_a_responsive_connection():
    """A connection is closed only if nothing arrived during the request."""

    async def scenario() -> None:
        async with _peers(PeerPool, _answer) as (server, pool, address):
            assert await _ask(pool, address, 1)
            connection = pool.slots[address].live()
            connection.close_if_unresponsive(connection.last_received_at)
            assert await _ask(pool, address, 1)
            assert pool.slots[address].live() is connection
            connection.close_if_unresponsive(trio.current_time())
            assert await _ask(pool, address, 1)
            assert pool.slots[address].live() is not connection
            assert server.connections <= 2

    trio.run(scenario)
