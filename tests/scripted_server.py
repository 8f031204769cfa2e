"""Simulate a runner that answers with scripted bytes."""

import re
from collections import deque

import trio
from attrs import define, field, frozen

from tests.free_port import HOST

BLOCK_BYTES = 16384
# Lets a client read what was sent before the connection is reset.
RESET_DELAY_SECONDS = 0.05
_CALL_ID = re.compile(rb'request-id: *([^\r]*)', re.IGNORECASE)
_LENGTH = re.compile(rb'content-length: *(\d+)', re.IGNORECASE)
_HEAD_END = b'\r\n\r\n'
# Closing a socket with this option resets its connection.
_RESET_ON_CLOSE = b'\x01\x00\x00\x00\x00\x00\x00\x00'


@frozen
class Script:
    """Represent what is sent for one request.

    In the bytes, `{id}` stands for the identifier of the request, and `{old}`
    for that of the request before it on the connection.
    """

    answer: bytes
    # What happens to the connection then: 'keep', 'close' or 'reset'.
    end: str = 'keep'
    # Sent as soon as the head of the request has arrived.
    early: bytes = b''
    # Sent after the answer, with a pause before it.
    late: bytes = b''
    pause_seconds: float = 0
    # Whether the request counts as run.
    runs: bool = True


@define(eq=False)
class ScriptedServer:
    """Answer requests by scripts in order; the last one is repeated."""

    scripts: deque[Script] = field(converter=deque)
    # Identifiers of the requests that ran.
    ran: list[str] = field(factory=list)
    # Requests received on each connection.
    received: list[int] = field(factory=list)

    async def serve(self, nursery: trio.Nursery) -> str:
        """Listen and return the address."""
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, self.answer_all, listeners)
        return f'{HOST}:{port}'

    async def answer_all(self, stream: trio.SocketStream) -> None:
        """Answer the requests of one connection."""
        exchange = _Exchange(self, stream, len(self.received))
        self.received.append(0)
        try:
            while await exchange.answer_next():
                await trio.sleep(0)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    def next_script(self) -> Script:
        """Return the script of the next request."""
        if len(self.scripts) > 1:
            return self.scripts.popleft()
        return self.scripts[0]


@define(eq=False)
class _Exchange:
    server: ScriptedServer
    stream: trio.SocketStream
    # Position of the connection in the server's counts.
    number: int
    old_id: bytes = b''
    call_id: bytes = b''

    async def answer_next(self) -> bool:
        """Answer one request; return whether another one may follow."""
        head, rest = await self.read_head()
        if not head:
            return False
        script = self.server.next_script()
        found = _CALL_ID.search(head)
        self.old_id = self.call_id
        self.call_id = found[1] if found else b''
        self.server.received[self.number] += 1
        await self.send(script.early)
        await self.read_body(head, rest)
        if script.runs:
            self.server.ran.append(self.call_id.decode())
        await self.send(script.answer)
        await trio.sleep(script.pause_seconds)
        await self.send(script.late)
        return await self.end(script)

    async def end(self, script: Script) -> bool:
        """End the connection by the script; return whether it stays open."""
        if script.end == 'reset':
            await trio.sleep(RESET_DELAY_SECONDS)
            self.stream.setsockopt(
                trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, _RESET_ON_CLOSE
            )
        if script.end != 'keep':
            await self.stream.aclose()
        return script.end == 'keep'

    async def send(self, template: bytes) -> None:
        """Send bytes with the identifiers filled in."""
        filled = template.replace(b'{id}', self.call_id)
        filled = filled.replace(b'{old}', self.old_id)
        if filled:
            await self.stream.send_all(filled)

    async def read_head(self) -> tuple[bytes, bytes]:
        """Return the head of a request and what arrived after it."""
        received = b''
        while _HEAD_END not in received:
            part = await self.stream.receive_some(BLOCK_BYTES)
            if not part:
                return b'', b''
            received += part
        head, _, rest = received.partition(_HEAD_END)
        return head, rest

    async def read_body(self, head: bytes, body: bytes) -> None:
        """Read the rest of the body."""
        length = _LENGTH.search(head)
        wanted = int(length[1]) if length else 0
        while len(body) < wanted:
            part = await self.stream.receive_some(BLOCK_BYTES)
            if not part:
                raise trio.BrokenResourceError
            body += part
