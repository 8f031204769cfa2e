"""Say what the gateway needs of runners, whatever protocol they speak."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from attrs import frozen

from jasminewheel._internal.gateway.call import Call
from jasminewheel._internal.gateway.runners import Runner
from jasminewheel._internal.targets.load_report import LoadReport
from jasminewheel._internal.web.headers import Headers


class SendObserver(Protocol):
    """Learn how far the sending of a call is."""

    def on_connected(self) -> None:
        """Note that the connection is open and the call goes out.

        Raise RunnerLeftError, with nothing sent, if it may not any more.
        """

    def on_sent(self) -> None:
        """Note that the whole call went out."""


@frozen
class Attempt:
    """Hold one sending of a call to a runner."""

    call: Call
    runner: Runner
    body: bytes
    # What is left of the caller's time.
    seconds_left: float
    repeatable: bool
    observer: SendObserver
    # Lower is more urgent; None leaves it to the runner.
    priority: int | None = None


class RunnerAnswer(Protocol):
    """Hold a runner's answer while it arrives."""

    status: int
    headers: Headers
    # The runner says that it did not run the call.
    refused: bool
    load: LoadReport | None

    def parts(self) -> AsyncIterator[bytes]:
        """Give the body as it arrives; raise ConnectionLostError if cut."""

    async def whole_body(self) -> bytes:
        """Return the body; raise ConnectionLostError if cut or too long."""

    async def drop_rest(self) -> None:
        """Let go of an answer that is not used, in a short time.

        Raise AnswerTooLongError if it is long.
        """

    def set_held_bytes(self, count: int) -> None:
        """Note how many bytes of the body are held.

        Raise ConnectionLostError if they are too many.
        """


class RunnerPort(Protocol):
    """Send calls to runners."""

    def attempt(
        self, attempt: Attempt
    ) -> AbstractAsyncContextManager[RunnerAnswer]:
        """Give the answer; raise ConnectionLostError where none comes."""
