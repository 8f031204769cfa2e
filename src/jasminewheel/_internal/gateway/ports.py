"""Define the interface to runners, independent of their protocol."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from attrs import frozen

from jasminewheel._internal.gateway.call import Call
from jasminewheel._internal.gateway.runners import Runner
from jasminewheel._internal.targets.load_report import LoadReport
from jasminewheel._internal.web.headers import Headers


class SendObserver(Protocol):
    """Observe the progress of sending a call."""

    def on_connected(self) -> None:
        """Handle an open connection, before the call is sent.

        Raise RunnerLeftError, marked as not sent, if the runner must no longer
        be sent the call.
        """

    def on_sent(self) -> None:
        """Handle the end of sending the call."""


@frozen
class Attempt:
    """Represent one attempt to send a call to a runner."""

    call: Call
    runner: Runner
    body: bytes
    # Time left until the call's deadline.
    seconds_left: float
    repeatable: bool
    observer: SendObserver
    # Lower is more urgent; if None, the runner decides.
    priority: int | None = None
    # The name of the organisation that calls; empty without keys.
    organisation: str = ''


class RunnerAnswer(Protocol):
    """Represent a runner's answer while it is received."""

    status: int
    headers: Headers
    # Whether the runner reports that it did not run the call.
    refused: bool
    load: LoadReport | None
    # Whether the runner says that it leaves.
    leaving: bool
    # Requests a second that the runner takes from all entries, if it says so.
    limit_rate: float | None
    # Whether the body has neither a length nor chunks.
    ends_with_connection: bool

    def parts(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raise ConnectionLostError if the connection breaks before its end. A
        body that ends with the connection is whole if that end is clean.
        """

    async def whole_body(self) -> bytes:
        """Return the whole body.

        Raise ConnectionLostError if the body is incomplete or too long.
        """

    async def drop_rest(self) -> None:
        """Read and discard the rest of an unused answer, for a short time.

        Raise AnswerTooLongError if the rest is too long to read.
        """

    def set_held_bytes(self, count: int) -> None:
        """Record how many bytes of the body are buffered.

        Raise ConnectionLostError if they are too many.
        """


class RunnerPort(Protocol):
    """Send calls to runners."""

    def attempt(
        self, attempt: Attempt
    ) -> AbstractAsyncContextManager[RunnerAnswer]:
        """Yield the answer; raise ConnectionLostError if there is none."""
