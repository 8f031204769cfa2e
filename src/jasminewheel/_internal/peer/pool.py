"""Send requests to peers over one pooled connection to each."""

import math
from collections.abc import AsyncIterator
from contextlib import ExitStack, asynccontextmanager
from types import TracebackType
from typing import Any, NoReturn, Self, TypeVar

import trio
from attrs import define, field

from jasminewheel._internal.address import split_address
from jasminewheel._internal.observability.spans import current_traceparent
from jasminewheel._internal.peer.connection import PeerConnection
from jasminewheel._internal.peer.frames import BROKEN_ERRORS
from jasminewheel._internal.peer.hello import authenticate
from jasminewheel._internal.peer.identity import PeerIdentity
from jasminewheel._internal.peer.sockets import set_socket_options
from jasminewheel._internal.wire.codec import decode
from jasminewheel._internal.wire.gen.frame.ttypes import Envelope, FrameKind
from jasminewheel.errors import JasminewheelError, PeerError

# Short, because a VM that lost power may be running again without answering a
# dial that was sent before; only a new dial reaches it.
DIAL_TIMEOUT_SECONDS = 1.0
# Requests within this time after a failed dial fail with the same error.
REDIAL_DELAY_SECONDS = 0.25
# An answer that arrives may take so much longer than it is waited for, checked
# at this interval.
MAX_ARRIVAL_SECONDS = 10.0
ARRIVAL_CHECK_SECONDS = 0.1
ReplyT = TypeVar('ReplyT')


@define
class PeerSlot:
    """Track the connection to one address; all requests share one dial."""

    connection: PeerConnection | None = None
    dialing: bool = False
    # Set when the current dial has ended.
    dialed: trio.Event = field(factory=trio.Event)
    error: PeerError | None = None
    redial_at: float = 0

    def record_failure(self, error: PeerError, now: float) -> None:
        """Record a failed dial; the next one starts after a delay."""
        self.error = error
        self.redial_at = now + REDIAL_DELAY_SECONDS

    def check_redial(self, now: float) -> None:
        """Raise the last dial's error again during the delay after it."""
        if self.error and now < self.redial_at:
            raise PeerError(self.error.message, sent=False)

    def raise_error(self, address: str) -> NoReturn:
        """Raise the reason for the missing connection; nothing was sent."""
        problem = f'the connection to {address} was closed at once'
        if self.error:
            problem = self.error.message
        raise PeerError(problem, sent=False)

    def begin_dial(self) -> None:
        """Start a dial, for which all requests to the address wait."""
        self.dialing = True
        self.dialed = trio.Event()

    def end_dial(self) -> None:
        """Wake the requests that wait for the dial."""
        self.dialing = False
        self.dialed.set()

    def live(self) -> PeerConnection | None:
        """Return the connection unless it is closed."""
        if self.connection and not self.connection.closed:
            return self.connection
        return None


class PeerPool:
    """Send requests by address; connect on demand and reconnect."""

    def __init__(self, identity: PeerIdentity, key: bytes) -> None:
        """Create a pool; it opens connections once it is entered."""
        self.identity = identity
        self.key = key
        self.slots: dict[str, PeerSlot] = {}
        self.nursery_manager = trio.open_nursery()
        self.nursery: trio.Nursery

    async def __aenter__(self) -> Self:
        """Start with no connections."""
        self.nursery = await self.nursery_manager.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Close all connections."""
        self.nursery.cancel_scope.cancel()
        return await self.nursery_manager.__aexit__(kind, error, trace)

    async def ask(
        self,
        address: str,
        message: Any,
        reply_kind: type[ReplyT],
        *,
        timeout_seconds: float,
    ) -> ReplyT:
        """Return the peer's answer to one message.

        Raise PeerError on a timeout; its `sent` says whether a connection was
        open, so that the message may have reached the peer. An answer that is
        arriving by then is received whole.
        """
        started_at = trio.current_time()
        due_at = started_at + timeout_seconds
        connection: PeerConnection | None = None
        try:
            with trio.fail_at(due_at) as scope:
                connection = await self.connect(address)
                async with _exchange(
                    connection, message, reply_kind
                ) as replies:
                    # From here on the wait for the reply has its own bound.
                    scope.deadline = math.inf
                    return await _first_reply(connection, replies, due_at)
        except trio.TooSlowError as error:
            if connection:
                connection.close_if_unresponsive(started_at)
            raise PeerError(
                f'{address} did not answer in {timeout_seconds} s',
                sent=bool(connection),
            ) from error
        except StopAsyncIteration as empty:
            raise PeerError(f'{address} sent an empty answer') from empty

    @asynccontextmanager
    async def stream(
        self,
        address: str,
        message: Any,
        reply_kind: type[ReplyT],
    ) -> AsyncIterator[AsyncIterator[ReplyT]]:
        """Send a message; yield the iterator of the answer's messages."""
        connection = await self.connect(address)
        async with _exchange(connection, message, reply_kind) as replies:
            yield replies

    async def connect(self, address: str) -> PeerConnection:
        """Return an open connection to the address; dial if there is none."""
        slot = self.slots.setdefault(address, PeerSlot())
        connection = slot.live()
        if connection:
            return connection
        if not slot.dialing:
            slot.check_redial(trio.current_time())
            slot.begin_dial()
            self.nursery.start_soon(self.dial_for_waiters, slot, address)
        await slot.dialed.wait()
        connection = slot.live()
        if connection is None:
            slot.raise_error(address)
        return connection

    async def dial_for_waiters(self, slot: PeerSlot, address: str) -> None:
        """Dial in a task of its own, which outlives cancelled requests."""
        with ExitStack() as stack:
            stack.callback(slot.end_dial)
            try:
                connection = await self.dial(address)
            except PeerError as error:
                slot.record_failure(error, trio.current_time())
            except BROKEN_ERRORS as error:
                unreachable = PeerError(f'cannot reach {address}: {error!r}')
                slot.record_failure(unreachable, trio.current_time())
            else:
                slot.error = None
                slot.connection = connection
                self.nursery.start_soon(connection.run)

    async def dial(self, address: str) -> PeerConnection:
        """Connect to the address and authenticate."""
        try:
            host, port = split_address(address)
            with trio.fail_after(DIAL_TIMEOUT_SECONDS):
                stream = await trio.open_tcp_stream(
                    host,
                    port,
                    happy_eyeballs_delay=math.inf,
                )
        except (OSError, trio.TooSlowError, ValueError) as error:
            raise PeerError(
                f'cannot reach {address}: {error}', sent=False
            ) from error
        set_socket_options(stream.socket)
        try:
            link = await authenticate(
                stream, self.identity, self.key, is_dialler=True
            )
        except BaseException:
            await trio.aclose_forcefully(stream)
            raise
        return PeerConnection(link)


async def _first_reply(
    connection: PeerConnection, replies: 'Replies[ReplyT]', due_at: float
) -> ReplyT:
    """Return the first reply; raise TooSlowError unless it arrives."""
    ends_at = due_at + MAX_ARRIVAL_SECONDS
    wait_until = due_at
    while True:
        with trio.move_on_at(wait_until):
            return await anext(replies)
        now = trio.current_time()
        if now >= ends_at or not connection.is_receiving(now):
            raise trio.TooSlowError
        wait_until = now + ARRIVAL_CHECK_SECONDS


@asynccontextmanager
async def _exchange(
    connection: PeerConnection,
    message: Any,
    reply_kind: type[ReplyT],
) -> AsyncIterator[AsyncIterator[ReplyT]]:
    number = await connection.open(message, current_traceparent())
    replies = Replies(connection, number, reply_kind)
    try:
        yield replies
    finally:
        connection.end(number, finished=replies.finished)


class Replies(AsyncIterator[ReplyT]):
    """Iterate over the messages of one answer."""

    def __init__(
        self,
        connection: PeerConnection,
        number: int,
        reply_kind: type[ReplyT],
    ) -> None:
        """Start before the first message."""
        self.inbox = connection.inboxes[number]
        self.reply_kind = reply_kind
        self.finished = False

    async def __anext__(self) -> ReplyT:
        """Return the next message; raise the peer's error if it failed."""
        if self.finished:
            raise StopAsyncIteration
        try:
            envelope = await self.inbox.take()
        except JasminewheelError:
            self.finished = not self.inbox.error
            raise
        self.finished = envelope.kind == FrameKind.LAST
        if not envelope.name:
            raise StopAsyncIteration
        return self.decode(envelope)

    def decode(self, envelope: Envelope) -> ReplyT:
        """Return the message; raise PeerError if it is of another type."""
        expected = self.reply_kind.__name__
        if envelope.name != expected:
            raise PeerError(f'expected {expected}, got {envelope.name}')
        return decode(self.reply_kind, envelope.body)
