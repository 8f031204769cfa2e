"""Multiplex requests to one peer over one connection."""

from collections import deque
from contextlib import ExitStack
from itertools import count
from typing import Any

import trio
from attrs import define, field

from jasminewheel._internal.peer.failures import error_of
from jasminewheel._internal.peer.frames import BROKEN_ERRORS
from jasminewheel._internal.peer.hello import PeerLink
from jasminewheel._internal.wire.codec import decode, encode
from jasminewheel._internal.wire.gen.frame.ttypes import (
    Envelope,
    Failure,
    FrameKind,
)
from jasminewheel.errors import JasminewheelError, PeerError

# 32 MiB; an exchange fails if its reader leaves more than this unread.
MAX_UNREAD_BYTES = 33554432


@define
class Inbox:
    """Buffer the answer of one exchange, so that it does not block others."""

    envelopes: deque[Envelope] = field(factory=deque)
    unread_bytes: int = 0
    error: JasminewheelError | None = None
    arrival: trio.Event = field(factory=trio.Event)

    def put(self, envelope: Envelope) -> None:
        """Add a frame; fail the exchange if its reader is too slow."""
        if self.error:
            return
        self.envelopes.append(envelope)
        self.unread_bytes += len(envelope.body)
        if self.unread_bytes > MAX_UNREAD_BYTES:
            self.envelopes.clear()
            self.fail(PeerError('the answer was not read fast enough'))
        self.arrival.set()

    def fail(self, error: JasminewheelError) -> None:
        """End the exchange with an error."""
        self.error = self.error or error
        self.arrival.set()

    async def take(self) -> Envelope:
        """Return the next frame of the answer or raise its error."""
        while not self.envelopes and not self.error:
            self.arrival = trio.Event()
            await self.arrival.wait()
        if self.error and not self.envelopes:
            raise self.error
        envelope = self.envelopes.popleft()
        self.unread_bytes -= len(envelope.body)
        if envelope.kind == FrameKind.FAILURE:
            raise error_of(decode(Failure, envelope.body))
        return envelope


@define
class PeerConnection:
    """Number the exchanges and pass each received frame to its inbox."""

    link: PeerLink
    inboxes: dict[int, Inbox] = field(factory=dict)
    numbers: count = field(factory=lambda: count(1))
    closed: bool = False
    running: trio.CancelScope = field(factory=trio.CancelScope)

    @property
    def last_received_at(self) -> float:
        """Return when bytes of the peer last arrived."""
        return self.link.reader.last_received_at

    async def run(self) -> None:
        """Read and write until the connection breaks or is closed."""
        with ExitStack() as stack:
            stack.callback(self.close, 'the connection was closed')
            with self.running:
                await self.exchange_frames()

    def close_if_unresponsive(self, since: float) -> None:
        """Close the connection if nothing arrived since the given time.

        A connection that still delivers other answers is only slow; a new one
        would not be faster.
        """
        if self.last_received_at < since:
            self.close('the peer sent nothing in time; connection closed')
            self.running.cancel()

    def is_receiving(self, now: float) -> bool:
        """Return whether a large frame is arriving."""
        return self.link.reader.is_receiving(now)

    async def exchange_frames(self) -> None:
        """Read and write; a broken connection fails the open exchanges."""
        try:
            async with self.link.stream, trio.open_nursery() as nursery:
                nursery.start_soon(self.link.writer.run)
                await self.read()
        except* BROKEN_ERRORS as group:
            self.close(f'the connection broke: {group.exceptions[0]!r}')

    async def read(self) -> None:
        """Pass frames to their inboxes; drop those of ended exchanges."""
        while True:
            envelope = await self.link.reader.receive()
            inbox = self.inboxes.get(envelope.exchange)
            if inbox:
                inbox.put(envelope)

    def close(self, problem: str) -> None:
        """Fail all open exchanges."""
        self.closed = True
        for inbox in self.inboxes.values():
            inbox.fail(PeerError(problem))

    async def open(self, message: Any, traceparent: str) -> int:
        """Send a request and return the number of its exchange."""
        number = next(self.numbers)
        self.inboxes[number] = Inbox()
        try:
            await self.send(number, FrameKind.REQUEST, message, traceparent)
        except BaseException:
            self.inboxes.pop(number)
            raise
        return number

    async def send(
        self,
        number: int,
        kind: FrameKind,
        message: Any,
        traceparent: str,
    ) -> None:
        """Queue a frame of an exchange."""
        envelope = Envelope(
            exchange=number,
            kind=kind,
            name=type(message).__name__,
            body=encode(message),
            traceparent=traceparent,
        )
        await self.link.writer.send(envelope)

    def end(self, number: int, *, finished: bool) -> None:
        """Remove an exchange; cancel it at the peer if it is unfinished."""
        self.inboxes.pop(number, None)
        if finished or self.closed:
            return
        self.link.writer.push(
            encode(
                Envelope(
                    exchange=number,
                    kind=FrameKind.CANCEL,
                    name='',
                    body=b'',
                    traceparent='',
                ),
            ),
        )
