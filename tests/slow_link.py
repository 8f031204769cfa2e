"""Pass bytes on at a bounded rate, over real sockets or in simulated time."""

from collections.abc import Callable
from contextlib import suppress

import trio
from attrs import define, field

from jasminewheel._internal.peer.sockets import BROKEN_STREAM_ERRORS

PIECE_BYTES = 16384


@define(eq=False)
class SlowLink:
    """Carry bytes for all who share the link, a piece of each in turn."""

    bytes_per_second: float
    lock: trio.Lock = field(factory=trio.Lock)
    carried_bytes: int = 0

    async def carry(
        self, count: int, on_piece: Callable[[float], None] | None = None
    ) -> None:
        """Return once so many bytes have passed; tell of each piece."""
        left = count
        while left > 0:
            piece = min(left, PIECE_BYTES)
            async with self.lock:
                await trio.sleep(piece / self.bytes_per_second)
            self.carried_bytes += piece
            left -= piece
            if on_piece:
                on_piece(trio.current_time())

    async def proxy(
        self, client: trio.SocketStream, host: str, port: int
    ) -> None:
        """Pass a connection on; bytes towards the client use the link."""
        server = await trio.open_tcp_stream(host, port)
        with suppress(*BROKEN_STREAM_ERRORS):
            async with client, server, trio.open_nursery() as nursery:
                nursery.start_soon(_copy, client, server)
                async for received in server:
                    await self.carry(len(received))
                    await client.send_all(received)
                nursery.cancel_scope.cancel()


async def _copy(source: trio.SocketStream, sink: trio.SocketStream) -> None:
    with suppress(*BROKEN_STREAM_ERRORS):
        async for received in source:
            await sink.send_all(received)
        await sink.send_eof()
