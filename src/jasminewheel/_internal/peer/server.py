"""Answer requests of authenticated peers."""

import logging
from collections.abc import Awaitable, Callable, Mapping
from contextlib import AsyncExitStack, ExitStack
from functools import partial
from typing import Any

import trio
from attrs import define, field

from jasminewheel._internal.events import peer as events
from jasminewheel._internal.observability.spans import open_span
from jasminewheel._internal.peer.failures import failure_of
from jasminewheel._internal.peer.frames import BROKEN_ERRORS
from jasminewheel._internal.peer.hello import PeerLink, authenticate
from jasminewheel._internal.peer.identity import PeerIdentity
from jasminewheel._internal.peer.sockets import accept_on, set_socket_options
from jasminewheel._internal.wire.codec import decode, encode
from jasminewheel._internal.wire.gen.frame.ttypes import Envelope, FrameKind
from jasminewheel.errors import JasminewheelError, OverloadedError, PeerError

MAX_CONNECTIONS = 2048
MAX_EXCHANGES = 4096
_LOGGER = logging.getLogger(__name__)


@define
class Exchange:
    """Represent one request of a peer while a handler answers it."""

    number: int
    peer: PeerIdentity
    traceparent: str
    link: PeerLink
    scope: trio.CancelScope = field(factory=trio.CancelScope)

    async def reply(self, message: Any) -> None:
        """Send an intermediate message of the answer."""
        await self.send(FrameKind.REPLY, message)

    async def send(self, kind: FrameKind, message: Any) -> None:
        """Send a frame of this exchange; None has an empty body."""
        await self.link.writer.send(
            Envelope(
                exchange=self.number,
                kind=kind,
                name='' if message is None else type(message).__name__,
                body=b'' if message is None else encode(message),
                traceparent='',
            ),
        )


Handler = Callable[[Exchange, Any], Awaitable[Any]]


class PeerServer:
    """Serve requests by the handlers of their message types."""

    def __init__(
        self,
        identity: PeerIdentity,
        key: bytes,
        handlers: Mapping[type, Handler],
    ) -> None:
        """Register the handlers under the wire names of their messages."""
        self.identity = identity
        self.key = key
        self.kinds = {kind.__name__: kind for kind in handlers}
        self.handlers = {kind.__name__: handlers[kind] for kind in handlers}
        self.connections = 0

    async def serve(
        self,
        host: str,
        port: int,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen until cancelled; report the bound port by task_status."""
        listeners = await trio.open_tcp_listeners(port, host=host)
        await accept_on(listeners, self.accept, task_status)

    async def accept(self, stream: trio.SocketStream) -> None:
        """Serve one connection; its errors do not affect others."""
        if self.connections >= MAX_CONNECTIONS:
            events.CONNECTIONS_FULL.log(_LOGGER, limit=MAX_CONNECTIONS)
            await trio.aclose_forcefully(stream)
            return
        self.connections += 1
        try:
            await self.serve_stream(stream)
        except* PeerError as errors:
            events.PEER_REFUSED.log(_LOGGER, problem=errors.exceptions[0])
        except* BROKEN_ERRORS:
            _LOGGER.debug('the connection of a peer was closed')
        finally:
            self.connections -= 1

    async def serve_stream(self, stream: trio.SocketStream) -> None:
        """Authenticate the peer, then serve its requests."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(stream)
            set_socket_options(stream.socket)
            link = await authenticate(
                stream, self.identity, self.key, is_dialler=False
            )
            nursery = await stack.enter_async_context(trio.open_nursery())
            nursery.start_soon(link.writer.run)
            await PeerSession(self, link, nursery).run()


@define
class PeerSession:
    """Run the exchanges of one connection, one task each."""

    server: PeerServer
    link: PeerLink
    nursery: trio.Nursery
    exchanges: dict[int, Exchange] = field(factory=dict)

    async def run(self) -> None:
        """Dispatch frames until the peer closes, then cancel open exchanges."""
        with ExitStack() as stack:
            stack.callback(self.nursery.cancel_scope.cancel)
            while True:
                await self.dispatch(await self.link.reader.receive())

    async def dispatch(self, envelope: Envelope) -> None:
        """Open or cancel an exchange."""
        if envelope.kind == FrameKind.CANCEL:
            cancelled = self.exchanges.get(envelope.exchange)
            if cancelled:
                cancelled.scope.cancel()
            return
        if envelope.kind != FrameKind.REQUEST:
            raise PeerError(f'unexpected frame of kind {envelope.kind}')
        if envelope.exchange in self.exchanges:
            raise PeerError(f'exchange {envelope.exchange} is already open')
        exchange = Exchange(
            envelope.exchange,
            self.link.peer,
            envelope.traceparent or '',
            self.link,
        )
        self.exchanges[exchange.number] = exchange
        self.nursery.start_soon(self.answer, exchange, envelope)

    async def answer(self, exchange: Exchange, envelope: Envelope) -> None:
        """Run the handler and send its message or its error."""
        try:
            with exchange.scope:
                await self.handle(exchange, envelope)
        except JasminewheelError as error:
            await exchange.send(FrameKind.FAILURE, failure_of(error))
        except trio.Cancelled:
            raise
        except Exception as fault:
            events.HANDLER_FAILED.log(_LOGGER, message=envelope.name)
            _LOGGER.exception('handler of %s failed', envelope.name)
            unexpected = PeerError(f'the peer failed: {fault!r}')
            await exchange.send(FrameKind.FAILURE, failure_of(unexpected))
        finally:
            self.exchanges.pop(exchange.number, None)

    async def handle(self, exchange: Exchange, envelope: Envelope) -> None:
        """Decode the request and run its handler."""
        if len(self.exchanges) > MAX_EXCHANGES:
            raise OverloadedError('too many requests on one connection')
        kind = self.server.kinds.get(envelope.name)
        if kind is None:
            raise PeerError(f'no handler for {envelope.name}')
        handler = partial(self.server.handlers[envelope.name], exchange)
        message = decode(kind, envelope.body)
        if exchange.traceparent:
            with open_span(f'peer {envelope.name}', exchange.traceparent):
                answer = await handler(message)
        else:
            answer = await handler(message)
        await exchange.send(FrameKind.LAST, answer)
