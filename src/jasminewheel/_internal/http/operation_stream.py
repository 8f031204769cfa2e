"""Stream the events of a running operation to an HTTP response."""

import math
from typing import Self

import trio
from attrs import define

from jasminewheel._internal.observability.spans import open_span
from jasminewheel._internal.program.routing import Router
from jasminewheel._internal.wire.gen.program.ttypes import (
    Operation,
    OperationEvent,
)
from jasminewheel.errors import JasminewheelError, UnavailableError
from jasminewheel.models.verdict import Verdict

# Events buffered for one reader; a slower reader holds up the operation.
BUFFERED_EVENTS = 4


@define(eq=False)
class OperationStream:
    """Run an operation in the background and buffer its events."""

    router: Router
    operation: Operation
    traceparent: str
    sender: trio.MemorySendChannel[OperationEvent]
    receiver: trio.MemoryReceiveChannel[OperationEvent]
    error: JasminewheelError | None = None

    @classmethod
    def open(
        cls, router: Router, operation: Operation, traceparent: str
    ) -> Self:
        """Return a stream of an operation that has not started."""
        sender, receiver = trio.open_memory_channel[OperationEvent](
            BUFFERED_EVENTS
        )
        return cls(router, operation, traceparent, sender, receiver)

    async def run(self) -> None:
        """Perform the operation until it ends or the stream is closed."""
        with open_span('operation', self.traceparent):
            async with self.sender:
                await self.perform()

    async def perform(self) -> None:
        """Perform the operation and store its error for the reader."""
        try:
            await self.router.perform(self.operation, self.sender.send)
        except JasminewheelError as error:
            self.error = error
        except trio.BrokenResourceError:
            self.error = None

    async def next_event(
        self, timeout_seconds: float = math.inf
    ) -> OperationEvent | None:
        """Return the next event, or None after the timeout.

        Raise the operation's error if it failed.
        """
        with trio.move_on_after(timeout_seconds):
            try:
                return await self.receiver.receive()
            except trio.EndOfChannel:
                raise self.error or UnavailableError(
                    'the operation ended without a final event',
                    verdict=Verdict.may_have_run,
                ) from None
        return None

    async def __aenter__(self) -> Self:
        """Return the stream itself."""
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Close the stream."""
        await self.close()

    async def close(self) -> None:
        """Stop receiving events; the call itself goes on at its owner."""
        await self.receiver.aclose()
