"""Serve the connections of clients, one request at a time on each."""

import logging
import math
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

import trio
from attrs import define, field

from jasminewheel._internal.peer.sockets import (
    BROKEN_STREAM_ERRORS,
    accept_on,
)
from jasminewheel._internal.web.answer_writer import AnswerWriter
from jasminewheel._internal.web.request_parser import (
    HttpRequest,
    RequestLimits,
    RequestParser,
)
from jasminewheel.errors import RequestError, SlowRequestError

CHUNK_BYTES = 65536
# Requests parsed ahead of the one that is being answered.
READ_AHEAD_REQUESTS = 2
# How long the input of a refused client is still read before the connection
# is closed.
LINGER_SECONDS = 1.0
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_LOGGER = logging.getLogger(__name__)

Handler = Callable[[HttpRequest, AnswerWriter], Awaitable[None]]


@define(eq=False)
class ClientConnection:
    """Read requests and answer them in order; detect client disconnects."""

    server: 'WebServer'
    stream: trio.SocketStream
    parser: RequestParser
    progress: trio.Event = field(factory=trio.Event)
    space_freed: trio.Event = field(factory=trio.Event)
    read_scope: trio.CancelScope = field(factory=trio.CancelScope)
    answer_scope: trio.CancelScope | None = None
    ended: bool = False
    idle_since: float = field(factory=trio.current_time)

    async def run(self) -> None:
        """Serve until either side closes."""
        async with self.stream, trio.open_nursery() as nursery:
            nursery.start_soon(self.read)
            await self.answer_all()
            nursery.cancel_scope.cancel()

    async def read(self) -> None:
        """Feed the parser until the client closes or sends a faulty request.

        If the client closes, the answer in progress is cancelled.
        """
        while not self.ended:
            received = await self.receive()
            if received:
                self.parser.feed(received, trio.current_time())
                await self.send_continue()
            self.ended = not received or bool(self.parser.fault)
            self.progress.set()
            await self.wait_for_space()
        if self.answer_scope and not self.parser.fault:
            self.answer_scope.cancel()

    async def receive(self) -> bytes:
        """Return received bytes; none if the client closed or timed out."""
        self.read_scope = trio.CancelScope(deadline=self.read_deadline())
        with self.read_scope:
            try:
                return await self.stream.receive_some(CHUNK_BYTES)
            except BROKEN_STREAM_ERRORS:
                return b''
        if self.parser.started_at is not None:
            self.parser.fail(SlowRequestError('timeout reading the request'))
        return b''

    def read_deadline(self) -> float:
        """Return the time by which the next bytes have to arrive."""
        limits = self.parser.limits
        if self.parser.started_at is not None:
            allowed = limits.header_seconds
            if not self.parser.in_head:
                allowed = limits.idle_seconds
            return self.parser.started_at + allowed
        if self.is_idle():
            return self.idle_since + limits.idle_seconds
        return math.inf

    async def send_continue(self) -> None:
        """Send 100 Continue to a client that waits for it."""
        if self.parser.wants_continue and not self.parser.fault:
            self.parser.wants_continue = False
            with suppress(*BROKEN_STREAM_ERRORS):
                await self.stream.send_all(_CONTINUE)

    async def wait_for_space(self) -> None:
        """Wait while the queue of parsed requests is full."""
        while len(self.parser.complete) >= READ_AHEAD_REQUESTS:
            self.space_freed = trio.Event()
            await self.space_freed.wait()

    def is_idle(self) -> bool:
        """Return whether no request is being read, queued or answered."""
        busy = self.answer_scope or self.parser.complete
        return not busy and self.parser.started_at is None

    async def answer_all(self) -> None:
        """Answer requests in order until the connection ends."""
        while await self.wait_for_request():
            request = self.parser.complete.popleft()
            self.space_freed.set()
            if not await self.answer(request):
                return
        if self.parser.fault:
            await self.refuse(self.parser.fault)

    async def wait_for_request(self) -> bool:
        """Wait for a complete request; return False if none will follow."""
        while not self.parser.complete and not self.ended:
            self.progress = trio.Event()
            await self.progress.wait()
        return bool(self.parser.complete)

    async def answer(self, request: HttpRequest) -> bool:
        """Answer one request; return whether the connection stays open."""
        keep_alive = request.keep_alive and not self.server.draining
        answer = AnswerWriter(
            self.stream, keep_alive, self.parser.limits.idle_seconds
        )
        if self.ended and not self.parser.fault:
            return False
        self.answer_scope = trio.CancelScope()
        with self.answer_scope:
            await self.handle(request, answer)
        self.answer_scope = None
        self.idle_since = trio.current_time()
        self.read_scope.deadline = self.read_deadline()
        return answer.finished and answer.keep_alive

    async def handle(self, request: HttpRequest, answer: AnswerWriter) -> None:
        """Run the handler; an exception ends only this connection."""
        try:
            await self.server.handler(request, answer)
        except BROKEN_STREAM_ERRORS:
            _LOGGER.debug('client disconnected during its answer')
        except Exception:
            _LOGGER.exception('handler of %r failed', request.target)

    async def refuse(self, fault: RequestError) -> None:
        """Answer a faulty request, then close the connection gracefully.

        The client's input is read for a while: closing with unread input
        would reset the connection before the client reads the answer.
        """
        answer = AnswerWriter(self.stream, keep_alive=False, idle_seconds=0)
        self.server.on_fault(fault)
        with (
            trio.move_on_after(LINGER_SECONDS),
            suppress(*BROKEN_STREAM_ERRORS),
        ):
            await answer.send_whole(fault.status, [], fault.message.encode())
            await self.stream.send_eof()
            while await self.stream.receive_some(CHUNK_BYTES):
                await trio.sleep(0)


@define(eq=False)
class WebServer:
    """Accept connections and pass their requests to the handler."""

    handler: Handler
    on_fault: Callable[[RequestError], None]
    limits: RequestLimits = RequestLimits()
    draining: bool = False
    connections: set[ClientConnection] = field(factory=set)

    async def serve(
        self,
        host: str,
        port: int,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen until cancelled; report the bound port by task_status."""
        listeners = await trio.open_tcp_listeners(port, host=host)
        await accept_on(listeners, self.accept, task_status)

    async def serve_early(
        self,
        early: socket.socket,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept on a socket that is already listening, until cancelled."""
        listening = trio.socket.from_stdlib_socket(early)
        listeners = [trio.SocketListener(listening)]
        await accept_on(listeners, self.accept, task_status)

    async def accept(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        connection = ClientConnection(self, stream, RequestParser(self.limits))
        self.connections.add(connection)
        try:
            await connection.run()
        except* BROKEN_STREAM_ERRORS:
            _LOGGER.debug('client closed its connection')
        finally:
            self.connections.discard(connection)

    def busy_connections(self) -> int:
        """Return how many connections have a request in progress."""
        return sum(not one.is_idle() for one in self.connections)

    def close_idle(self) -> None:
        """Close the connections without a request by ending their reads."""
        for connection in self.connections:
            if connection.is_idle():
                connection.read_scope.cancel()
