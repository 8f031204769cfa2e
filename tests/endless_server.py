"""Simulate a server that sends endless answers."""

import re
import sys

import trio
from attrs import define

from tests.free_port import HOST

# Size of one write; it blocks while the client does not read.
BLOCK_BYTES = 16384
_CALL_ID = re.compile(rb'request-id: *([^\r]*)', re.IGNORECASE)
_LENGTH = re.compile(rb'content-length: *(\d+)', re.IGNORECASE)
_HEAD_END = b'\r\n\r\n'


@define(eq=False)
class EndlessServer:
    """Answer each request with a start, then repeat bytes until disconnected.

    In the start, `{id}` stands for the identifier of the request.
    """

    start: bytes
    repeated: bytes
    # Pause before each block, including the first one.
    pause_seconds: float = 0
    block_bytes: int = BLOCK_BYTES
    requests: int = 0
    # Bytes of repeated blocks on the connection that received the most.
    max_sent: int = 0
    opened: int = 0
    closed: int = 0
    address: str = ''

    async def serve(self, nursery: trio.Nursery) -> str:
        """Listen and return the address."""
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, self.answer, listeners)
        self.address = f'{HOST}:{port}'
        return self.address

    async def answer(self, stream: trio.SocketStream) -> None:
        """Answer one request, until the client closes."""
        self.opened += 1
        try:
            await self.send_all(stream)
        except trio.BrokenResourceError:
            self.closed += 1

    async def send_all(self, stream: trio.SocketStream) -> None:
        """Read a request, then send an endless answer."""
        head = await self.read(stream)
        self.requests += 1
        call_id = _CALL_ID.search(head)
        named = call_id.group(1) if call_id else b''
        await stream.send_all(self.start.replace(b'{id}', named))
        block = self.repeated * (self.block_bytes // len(self.repeated) or 1)
        sent = 0
        while True:
            await trio.sleep(self.pause_seconds)
            await stream.send_all(block)
            sent += len(block)
            self.max_sent = max(sent, self.max_sent)

    async def read(self, stream: trio.SocketStream) -> bytes:
        """Return one complete request."""
        received = b''
        wanted = 1
        while len(received) < wanted:
            received += await stream.receive_some(BLOCK_BYTES) or b'\r\n\r\n'
            head, end, _ = received.partition(_HEAD_END)
            length = _LENGTH.search(head)
            body = int(length.group(1)) if length else 0
            wanted = len(head) + len(end) + body if end else len(received) + 1
        return received

    async def wait_closed(self, seconds: float) -> None:
        """Wait until the client has closed all connections."""
        with trio.fail_after(seconds):
            while self.closed < self.opened:
                await trio.sleep(0.01)


def main() -> None:
    """Serve an endless answer until killed; print the port.

    The arguments are the start and the repeated bytes, in hexadecimal, the
    pause in seconds and the bytes of a block.
    """
    start, repeated = map(bytes.fromhex, sys.argv[1:3])
    pause_seconds, block_bytes = float(sys.argv[3]), int(sys.argv[4])
    server = EndlessServer(start, repeated, pause_seconds, block_bytes)
    trio.run(_serve_alone, server)


async def _serve_alone(server: EndlessServer) -> None:
    async with trio.open_nursery() as nursery:
        address = await server.serve(nursery)
        sys.stdout.write(f'{address}\n')
        sys.stdout.flush()
        await trio.sleep_forever()


if __name__ == '__main__':
    main()
