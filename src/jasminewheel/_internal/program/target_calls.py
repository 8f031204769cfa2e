"""Define the interface that runs the calls of one kind of target."""

from typing import Protocol

from jasminewheel._internal.program.job import CallJob
from jasminewheel._internal.wire.gen.program.ttypes import CallStarted
from jasminewheel.models.call import CallOutcome


class TargetCalls(Protocol):
    """Run calls of one kind of target."""

    async def run(self, job: CallJob) -> CallOutcome:
        """Return the outcome; raise the error of the last runner tried."""

    async def resume_attempt(
        self, job: CallJob, start: CallStarted
    ) -> CallOutcome | None:
        """Return the outcome of a running attempt; None to start another."""

    async def abandon(self, job: CallJob) -> None:
        """Cancel a call whose answer is no longer needed."""
