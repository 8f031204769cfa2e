"""Send requests over kept connections, one at a time on each."""

import select
from collections.abc import AsyncIterator, Callable

import trio
from attrs import define, field, frozen

from jasminewheel._internal.address import split_address
from jasminewheel._internal.peer.sockets import BROKEN_STREAM_ERRORS, tune
from jasminewheel._internal.web.headers import (
    Headers,
    field_text,
    header_block,
)
from jasminewheel._internal.web.response_parser import (
    HttpResponse,
    ResponseParser,
)
from jasminewheel.errors import ConnectionLostError

CHUNK_BYTES = 65536
# For a server that does not say how long it keeps an idle connection.
IDLE_SECONDS = 4.0
# Time in which a server may close a connection that is used just then.
IDLE_MARGIN_SECONDS = 0.7


@frozen
class OutgoingRequest:
    """Hold one request as it is sent."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b''

    def to_bytes(self) -> bytes:
        """Return the whole message."""
        line = b'%b %b HTTP/1.1\r\n' % (self.method, self.target)
        fields = list(self.headers)
        if self.body or self.method not in {b'GET', b'HEAD'}:
            fields.append((b'Content-Length', b'%d' % len(self.body)))
        return b'%b%b\r\n%b' % (line, header_block(fields), self.body)


@define(eq=False)
class HttpConnection:
    """Hold one connection to a server."""

    address: str
    stream: trio.SocketStream
    parser: ResponseParser = field(factory=ResponseParser)
    idle_since: float = 0
    idle_seconds: float = IDLE_SECONDS

    async def send(self, request: OutgoingRequest) -> None:
        """Send one request; raise ConnectionLostError if that failed."""
        try:
            await self.stream.send_all(request.to_bytes())
        except BROKEN_STREAM_ERRORS as error:
            raise ConnectionLostError(
                f'{self.address} broke off the request: {error!r}',
            ) from error

    async def response(
        self, belongs: Callable[[HttpResponse], bool]
    ) -> HttpResponse:
        """Return the next response that belongs to the request."""
        while True:
            while not self.parser.responses:
                await self._receive()
            response = self.parser.responses[0]
            if belongs(response):
                return response
            await self.whole_body(response)
            self.parser.responses.popleft()

    async def parts(self, response: HttpResponse) -> AsyncIterator[bytes]:
        """Give the body as it arrives; raise ConnectionLostError if cut."""
        while True:
            while response.parts:
                yield response.parts.popleft()
            if response.complete:
                return
            await self._receive()

    async def whole_body(self, response: HttpResponse) -> bytes:
        """Return the whole body."""
        return b''.join([part async for part in self.parts(response)])

    def finish(self, response: HttpResponse, now: float) -> bool:
        """Forget a whole response; tell whether the connection stays good."""
        self.parser.responses.popleft()
        self.idle_since = now
        kept = field_text(response.headers, b'keep-alive')
        timeout = kept.partition('timeout=')[2].partition(',')[0].strip()
        if timeout.isdigit():
            self.idle_seconds = int(timeout) - IDLE_MARGIN_SECONDS
        nothing_follows = not self.parser.responses and not self.parser.broken
        return nothing_follows and self.parser.keep_alive

    def is_usable(self, now: float) -> bool:
        """Tell whether the connection is fresh and nothing came over it."""
        if now - self.idle_since >= self.idle_seconds:
            return False
        poll = select.poll()
        poll.register(self.stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    def close(self) -> None:
        """Close at once."""
        self.stream.socket.close()

    async def _receive(self) -> None:
        if self.parser.broken or self.parser.ended:
            raise ConnectionLostError(f'{self.address} broke off its answer')
        try:
            received = await self.stream.receive_some(CHUNK_BYTES)
        except BROKEN_STREAM_ERRORS as error:
            raise ConnectionLostError(
                f'{self.address} broke off its answer: {error!r}',
            ) from error
        self.parser.feed(received)


async def open_connection(
    address: str, timeout_seconds: float
) -> HttpConnection:
    """Connect to the address; raise ConnectionLostError, with nothing sent."""
    opened = trio.socket.socket()
    try:
        with trio.fail_after(timeout_seconds):
            await opened.connect(split_address(address))
    except (OSError, trio.TooSlowError, ValueError) as error:
        opened.close()
        raise ConnectionLostError(
            f'cannot reach {address}: {error!r}', sent=False
        ) from error
    except BaseException:
        opened.close()
        raise
    tune(opened)
    return HttpConnection(address, trio.SocketStream(opened))
