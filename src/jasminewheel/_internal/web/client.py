"""Send requests over kept connections, one at a time on each."""

import select
from collections.abc import AsyncIterator, Callable

import trio
from attrs import define, field, frozen

from jasminewheel._internal.address import split_address
from jasminewheel._internal.peer.sockets import (
    BROKEN_STREAM_ERRORS,
    set_socket_options,
)
from jasminewheel._internal.web.answer_limits import (
    UNWANTED_BYTES,
    UNWANTED_SECONDS,
    AnswerLimits,
    HeldBytes,
)
from jasminewheel._internal.web.headers import (
    Headers,
    field_text,
    header_block,
)
from jasminewheel._internal.web.response_parser import (
    HttpResponse,
    ResponseParser,
)
from jasminewheel.errors import AnswerTooLongError, ConnectionLostError

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
    limits: AnswerLimits = field(factory=AnswerLimits)
    # Since the request was sent, and again since its answer began.
    received_bytes: int = 0

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
        self.received_bytes = 0
        while True:
            while not self.parser.responses:
                await self._receive(self.limits.unclaimed_bytes)
            response = self.parser.responses[0]
            if belongs(response):
                self.received_bytes = 0
                return response
            await self._skip(response, self.limits.unclaimed_bytes)
            self.parser.responses.popleft()

    async def parts(self, response: HttpResponse) -> AsyncIterator[bytes]:
        """Give the body as it arrives; raise ConnectionLostError if cut."""
        while True:
            if response.parts:
                arrived = b''.join(response.parts)
                response.parts.clear()
                yield arrived
            if response.complete:
                return
            await self._receive_part(response, self.limits.answer_bytes)

    async def whole_body(
        self, response: HttpResponse, held: HeldBytes | None = None
    ) -> bytes:
        """Return the whole body; raise ConnectionLostError if it is long."""
        held = held or HeldBytes()
        held.check(response.declared_bytes())
        body = bytearray()
        async for part in self.parts(response):
            body += part
            held.resize(len(body))
        return bytes(body)

    async def drop_rest(self, response: HttpResponse) -> None:
        """Read what is left of an unwanted response, unless it is slow."""
        self.received_bytes = 0
        with trio.move_on_after(UNWANTED_SECONDS):
            await self._skip(response, UNWANTED_BYTES)

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

    async def _skip(self, response: HttpResponse, most_bytes: int) -> None:
        response.parts.clear()
        while not response.complete:
            await self._receive_part(response, most_bytes)
            response.parts.clear()

    async def _receive_part(
        self, response: HttpResponse, most_bytes: int
    ) -> None:
        framed_from = self.received_bytes
        while not response.parts and not response.complete:
            framing = max(
                self.received_bytes - framed_from,
                self.received_bytes - 2 * response.body_bytes,
            )
            if framing > self.limits.framing_bytes:
                raise self._too_long(framing)
            await self._receive(most_bytes)

    async def _receive(self, most_bytes: int) -> None:
        if self.parser.head_too_long or self.received_bytes > most_bytes:
            raise self._too_long(self.received_bytes)
        if self.parser.broken or self.parser.ended:
            raise ConnectionLostError(f'{self.address} broke off its answer')
        try:
            received = await self.stream.receive_some(CHUNK_BYTES)
        except BROKEN_STREAM_ERRORS as error:
            raise ConnectionLostError(
                f'{self.address} broke off its answer: {error!r}',
            ) from error
        self.received_bytes += len(received)
        self.parser.feed(received)

    def _too_long(self, received: int) -> AnswerTooLongError:
        return AnswerTooLongError(
            f'{self.address} sends what is no answer, {received} bytes so far'
        )


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
    set_socket_options(opened)
    return HttpConnection(address, trio.SocketStream(opened))
