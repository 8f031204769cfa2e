"""Send requests over persistent connections, one at a time on each."""

import select
import socket
from collections.abc import AsyncIterator, Callable

import trio
from attrs import define, field, frozen

from jasminewheel._internal.address import split_address
from jasminewheel._internal.peer.sockets import (
    BROKEN_STREAM_ERRORS,
    set_socket_options,
)
from jasminewheel._internal.web.answer_limits import (
    DISCARD_BYTES,
    DISCARD_SECONDS,
    AnswerLimits,
    AnswerMemory,
)
from jasminewheel._internal.web.headers import (
    Headers,
    field_text,
    header_block,
)
from jasminewheel._internal.web.message import send_message
from jasminewheel._internal.web.response_parser import (
    HttpResponse,
    ResponseParser,
)
from jasminewheel._internal.web.work_share import WorkShare
from jasminewheel.errors import AnswerTooLongError, ConnectionLostError

# Bytes received at once: first, and after pieces that cost little.
FIRST_RECEIVE_BYTES = 4096
MAX_RECEIVE_BYTES = 16384
# A piece with more responses, header fields and parts of a body is costly.
CHEAP_STEPS = 64
# Bytes that wait for this process on one connection, in the kernel.
SOCKET_BUFFER_BYTES = 65536
# Idle timeout of a server that does not announce one.
DEFAULT_IDLE_SECONDS = 4.0
# Subtracted from the announced timeout: the server may close the connection
# while a request is on its way.
IDLE_MARGIN_SECONDS = 0.7


@frozen
class OutgoingRequest:
    """Represent one request to a server."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b''

    def head(self) -> bytes:
        """Return the message up to its body."""
        line = b'%b %b HTTP/1.1\r\n' % (self.method, self.target)
        fields = list(self.headers)
        if self.body or self.method not in {b'GET', b'HEAD'}:
            fields.append((b'Content-Length', b'%d' % len(self.body)))
        return b'%b%b\r\n' % (line, header_block(fields))


@define(eq=False)
class HttpConnection:
    """Represent one connection to a server."""

    address: str
    stream: trio.SocketStream
    parser: ResponseParser = field(factory=ResponseParser)
    idle_since: float = 0
    idle_seconds: float = DEFAULT_IDLE_SECONDS
    limits: AnswerLimits = field(factory=AnswerLimits)
    # Bytes received since the request; reset at the start of its answer.
    received_bytes: int = 0
    # Whether an earlier request was answered on this connection.
    reused: bool = False
    receive_bytes: int = FIRST_RECEIVE_BYTES
    # Shared by all connections of a pool.
    share: WorkShare = field(factory=WorkShare)

    async def send(self, request: OutgoingRequest) -> None:
        """Send one request; raise ConnectionLostError if sending fails."""
        try:
            await send_message(self.stream, request.head(), request.body)
        except BROKEN_STREAM_ERRORS as error:
            raise ConnectionLostError(
                f'connection to {self.address} failed while sending the '
                f'request: {error!r}',
            ) from error

    async def response(
        self, is_match: Callable[[HttpResponse], bool]
    ) -> HttpResponse:
        """Return the next response that matches the request; skip others."""
        self.received_bytes = 0
        self.parser.begin_exchange()
        while True:
            while not self.parser.responses:
                await self._receive(self.limits.unmatched_bytes)
            response = self.parser.responses[0]
            if is_match(response):
                self.received_bytes = 0
                return response
            await self._skip(response, self.limits.unmatched_bytes)
            self.parser.responses.popleft()

    async def parts(self, response: HttpResponse) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raise ConnectionLostError if the connection breaks before its end.
        """
        while True:
            if response.parts:
                arrived = b''.join(response.parts)
                response.parts.clear()
                yield arrived
            if response.complete:
                return
            await self._receive_part(response, self.limits.answer_bytes)

    async def whole_body(
        self, response: HttpResponse, memory: AnswerMemory | None = None
    ) -> bytes:
        """Return the whole body.

        Raise ConnectionLostError if it is incomplete or too long.
        """
        memory = memory or AnswerMemory()
        memory.check_size(response.declared_bytes())
        # A buffer that grows would be copied into ever larger blocks, which
        # leave gaps in the memory of the process.
        received: list[bytes] = []
        size = 0
        try:
            async for part in self.parts(response):
                received.append(part)
                size += len(part)
                memory.resize(size)
        except BaseException:
            # The error may outlive its call, and holds what this frame holds.
            received.clear()
            raise
        return b''.join(received)

    async def drop_rest(self, response: HttpResponse) -> None:
        """Read and discard the rest of an unused response, for a short time.

        Raise AnswerTooLongError if the rest is too long.
        """
        self.received_bytes = 0
        with trio.move_on_after(DISCARD_SECONDS):
            await self._skip(response, DISCARD_BYTES)

    def finish(self, response: HttpResponse, now: float) -> bool:
        """Finish a complete response; return whether to reuse the connection.

        The idle timeout that the server announces is applied.
        """
        self.parser.responses.popleft()
        self.reused = True
        self.idle_since = now
        keep_alive = field_text(response.headers, b'keep-alive')
        timeout = keep_alive.partition('timeout=')[2].partition(',')[0].strip()
        if timeout.isdigit():
            self.idle_seconds = int(timeout) - IDLE_MARGIN_SECONDS
        following = self.parser.responses or self.parser.in_response
        if following or self.parser.broken:
            return False
        return self.parser.keep_alive

    def is_usable(self, now: float) -> bool:
        """Return whether the connection is open, not stale and has no input."""
        if now - self.idle_since >= self.idle_seconds:
            return False
        poll = select.poll()
        poll.register(self.stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    def close(self) -> None:
        """Close the socket at once, without a clean shutdown."""
        self.stream.socket.close()

    async def _skip(self, response: HttpResponse, max_bytes: int) -> None:
        response.parts.clear()
        while not response.complete:
            await self._receive_part(response, max_bytes)
            response.parts.clear()

    async def _receive_part(
        self, response: HttpResponse, max_bytes: int
    ) -> None:
        received_before = self.received_bytes
        while not response.parts and not response.complete:
            framing = max(
                self.received_bytes - received_before,
                self.received_bytes - 2 * response.body_bytes,
            )
            if framing > self.limits.framing_bytes:
                raise self._too_long(framing)
            await self._receive(max_bytes)

    async def _receive(self, max_bytes: int) -> None:
        if self.parser.exceeded or self.received_bytes > max_bytes:
            raise self._too_long(self.received_bytes)
        if self.parser.broken or self.parser.ended:
            raise ConnectionLostError(
                f'incomplete or malformed answer from {self.address}'
            )
        try:
            received = await self.stream.receive_some(self.receive_bytes)
        except BROKEN_STREAM_ERRORS as error:
            raise ConnectionLostError(
                f'connection to {self.address} failed while receiving the '
                f'answer: {error!r}',
            ) from error
        self.received_bytes += len(received)
        await self._parse(received)

    async def _parse(self, received: bytes) -> None:
        """Parse a piece; rest after a costly one, receive more after others."""
        steps = self.parser.steps
        began_at = trio.current_time()
        self.parser.feed(received)
        if self.parser.steps - steps > CHEAP_STEPS:
            self.receive_bytes = FIRST_RECEIVE_BYTES
            await self.share.rest(trio.current_time() - began_at)
        elif len(received) == self.receive_bytes:
            self.receive_bytes = min(MAX_RECEIVE_BYTES, 2 * self.receive_bytes)

    def _too_long(self, received: int) -> AnswerTooLongError:
        counted = self.parser.exceeded or 'bytes'
        return AnswerTooLongError(
            f'answer of {self.address} exceeds the limit of {counted}: '
            f'{received} bytes so far'
        )


async def open_connection(
    address: str, timeout_seconds: float
) -> HttpConnection:
    """Connect to the address.

    Raise ConnectionLostError, marked as not sent, if that fails.
    """
    opened = trio.socket.socket()
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
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
