"""Measure the processor time of exchanges between peers."""

from time import process_time
from typing import Any

import trio

from jasminewheel._internal.peer.identity import PeerIdentity
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.peer.server import Exchange, PeerServer
from jasminewheel._internal.wire.gen.frame.ttypes import Hello

EXCHANGE_SIZES = (500, 1000, 2000, 4000)
TIMEOUT_SECONDS = 10
_KEY = b'capacity' * 4
_NONCE_BYTES = 140
_HELLO = Hello(member='m', incarnation='i', nonce=bytes(_NONCE_BYTES))


async def echo(exchange: Exchange, message: Any) -> Any:
    """Return the message unchanged."""
    return message


async def exchange_points() -> list[tuple[float, float]]:
    """Return the processor seconds of both peers by number of exchanges."""
    server = PeerServer(PeerIdentity('a', '1', 'z'), _KEY, {Hello: echo})
    points: list[tuple[float, float]] = []
    async with trio.open_nursery() as nursery:
        port = await nursery.start(server.serve, '127.0.0.1', 0)
        async with PeerPool(PeerIdentity('b', '1', 'z'), _KEY) as pool:
            while len(points) < len(EXCHANGE_SIZES):
                size = EXCHANGE_SIZES[len(points)]
                processor_seconds = await measure_exchanges(
                    pool, f'127.0.0.1:{port}', size
                )
                points.append((size, processor_seconds))
        nursery.cancel_scope.cancel()
    return points


async def measure_exchanges(pool: PeerPool, address: str, count: int) -> float:
    """Return the processor seconds of `count` exchanges."""
    before = process_time()
    remaining = count
    while remaining:
        await pool.ask(address, _HELLO, Hello, timeout_seconds=TIMEOUT_SECONDS)
        remaining -= 1
    return process_time() - before
