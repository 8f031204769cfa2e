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
from jasminewheel._internal.web.answer_writer import (
    AnswerWriter,
    retry_after,
)
from jasminewheel._internal.web.client import CHEAP_STEPS, SOCKET_BUFFER_BYTES
from jasminewheel._internal.web.client_memory import (
    CONNECTION_BYTES,
    ClientAccount,
    ClientMemory,
)
from jasminewheel._internal.web.request_parser import (
    HttpRequest,
    RequestLimits,
    RequestParser,
)
from jasminewheel._internal.web.work_share import WorkShare
from jasminewheel.errors import (
    ClientMemoryError,
    RequestError,
    SlowRequestError,
)

CHUNK_BYTES = 65536
# Requests parsed ahead of the one that is being answered.
READ_AHEAD_REQUESTS = 2
# How long the input of a refused client is still read before the connection
# is closed.
LINGER_SECONDS = 1.0
# When a client may come back whose request found no memory.
MEMORY_RETRY_SECONDS = 0.5
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
    # Memory of the requests that are parsed and not yet answered.
    complete_bytes: int = 0
    account: ClientAccount = field(init=False)

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
                await self.parse(received)
                await send_continue(self.parser, self.stream)
            self.ended = not received or bool(self.parser.fault)
            self.progress.set()
            await self.wait_for_space()
        if self.answer_scope and not self.parser.fault:
            self.answer_scope.cancel()

    async def parse(self, received: bytes) -> None:
        """Feed the parser; rest after bytes that are costly to parse."""
        began_at = trio.current_time()
        steps, count = self.parser.steps, len(self.parser.complete)
        self.parser.feed(received, began_at)
        added = list(self.parser.complete)[count:]
        self.complete_bytes += sum(one.memory_bytes for one in added)
        self.account.receive(len(received), began_at)
        self.account_memory(began_at)
        if self.parser.steps - steps > CHEAP_STEPS:
            await self.server.share.rest(trio.current_time() - began_at)

    def account_memory(self, now: float) -> None:
        """Account for what the client holds; refuse what finds no room."""
        held = CONNECTION_BYTES + self.complete_bytes
        held += self.parser.unfinished_bytes()
        if not self.server.memory.resize(self.account, held, now):
            self.parser.fail(no_memory_error())

    def may_yield(self) -> bool:
        """Return whether no request of the client waits for its answer."""
        busy = self.answer_scope or self.parser.complete
        return not (busy or self.parser.fault or self.ended)

    def yield_room(self) -> None:
        """Refuse the unfinished request, if there is one, and close."""
        if self.parser.started_at is not None:
            self.parser.fail(no_memory_error())
        self.read_scope.cancel()

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
            self.server.on_fault(self.parser.fault)
            await refuse(self.stream, self.parser.fault)

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
            await self.server.handle(request, answer)
        self.answer_scope = None
        self.idle_since = trio.current_time()
        self.complete_bytes -= request.memory_bytes
        self.account.record_progress(self.idle_since)
        self.account_memory(self.idle_since)
        self.read_scope.deadline = self.read_deadline()
        return answer.finished and answer.keep_alive

    @account.default
    def _new_account(self) -> ClientAccount:
        return ClientAccount(self.may_yield, self.yield_room, self.idle_since)


async def refuse(stream: trio.SocketStream, fault: RequestError) -> None:
    """Answer a faulty request, then end the connection gracefully.

    The client's input is read for a while: closing with unread input would
    reset the connection before the client reads the answer.
    """
    answer = AnswerWriter(stream, keep_alive=False, idle_seconds=0)
    with (
        trio.move_on_after(LINGER_SECONDS),
        suppress(*BROKEN_STREAM_ERRORS),
    ):
        await answer.send_whole(
            fault.status, retry_after(fault), fault.message.encode()
        )
        await stream.send_eof()
        while await stream.receive_some(CHUNK_BYTES):
            await trio.sleep(0)


async def send_continue(
    parser: RequestParser, stream: trio.SocketStream
) -> None:
    """Send 100 Continue to a client that waits for it."""
    if parser.wants_continue and not parser.fault:
        parser.wants_continue = False
        with suppress(*BROKEN_STREAM_ERRORS):
            await stream.send_all(_CONTINUE)


def no_memory_error() -> ClientMemoryError:
    """Return the error of a request for which there is no memory."""
    return ClientMemoryError(
        'the memory for requests of clients is used up',
        retry_after_seconds=MEMORY_RETRY_SECONDS,
    )


@define(eq=False)
class WebServer:
    """Accept connections and pass their requests to the handler."""

    handler: Handler
    on_fault: Callable[[RequestError], None]
    limits: RequestLimits = RequestLimits()
    draining: bool = False
    connections: set[ClientConnection] = field(factory=set)
    memory: ClientMemory = field(factory=ClientMemory)
    share: WorkShare = field(factory=WorkShare)

    async def serve(
        self,
        host: str,
        port: int,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen until cancelled; report the bound port by task_status."""
        listeners = await trio.open_tcp_listeners(port, host=host)
        bound_buffers(listeners)
        await accept_on(listeners, self.accept, task_status)

    async def serve_early(
        self,
        early: socket.socket,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept on a socket that is already listening, until cancelled."""
        listening = trio.socket.from_stdlib_socket(early)
        listeners = [trio.SocketListener(listening)]
        bound_buffers(listeners)
        await accept_on(listeners, self.accept, task_status)

    async def accept(self, stream: trio.SocketStream) -> None:
        """Serve one connection, or close it if there is no room for it."""
        connection = ClientConnection(self, stream, RequestParser(self.limits))
        account = connection.account
        if not self.memory.open(account, account.progressed_at):
            await trio.aclose_forcefully(stream)
            return
        self.connections.add(connection)
        try:
            await connection.run()
        except* BROKEN_STREAM_ERRORS:
            _LOGGER.debug('client closed its connection')
        finally:
            self.connections.discard(connection)
            self.memory.close(account)

    async def handle(self, request: HttpRequest, answer: AnswerWriter) -> None:
        """Run the handler; an exception ends only this connection."""
        try:
            await self.handler(request, answer)
        except BROKEN_STREAM_ERRORS:
            _LOGGER.debug('client disconnected during its answer')
        except Exception:
            _LOGGER.exception('handler of %r failed', request.target)

    def busy_connections(self) -> int:
        """Return how many connections have a request in progress."""
        return sum(not one.is_idle() for one in self.connections)

    def close_idle(self) -> None:
        """Close the connections without a request by ending their reads."""
        for connection in self.connections:
            if connection.is_idle():
                connection.read_scope.cancel()


def bound_buffers(listeners: list[trio.SocketListener]) -> None:
    """Bound what waits in the kernel for each connection to be accepted."""
    for listener in listeners:
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            listener.socket.setsockopt(
                socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES
            )
