"""Track the routing of one operation to the program's owner."""

from attrs import define, field

from jasminewheel._internal.program.ports import EventSink
from jasminewheel._internal.wire.gen.program.ttypes import (
    Operation,
    OperationEvent,
    OperationEventKind,
    OperationKind,
)
from jasminewheel.errors import (
    CallError,
    DeadlineError,
    MovedError,
    UnavailableError,
)
from jasminewheel.models.verdict import Verdict

SEARCH_TIMEOUT_SECONDS = 30.0
MAX_HOPS = 4
_MIN_PAUSE_SECONDS = 0.01
_MAX_PAUSE_SECONDS = 0.25


@define(eq=False)
class RoutedOperation:
    """Track the attempts to route an operation and the events received."""

    operation: Operation
    sink: EventSink
    search_started_at: float
    excluded: set[str] = field(factory=set)
    pause_seconds: float = _MIN_PAUSE_SECONDS
    is_complete: bool = False

    async def __call__(self, event: OperationEvent) -> None:
        """Pass an event to the sink, then record it as received."""
        await self.sink(event)
        self.is_complete = event.kind == OperationEventKind.DONE
        self.operation.generation = event.generation or 0
        if event.kind == OperationEventKind.RESTART:
            self.operation.offset = 0
        elif event.kind == OperationEventKind.TOKEN:
            self.operation.offset = event.offset + len(event.text)

    def forwarded_operation(self) -> Operation:
        """Return the operation to forward; raise MovedError in a loop."""
        hops = (self.operation.hops or 0) + 1
        if hops > MAX_HOPS:
            raise MovedError(
                'forwarded too often: the entries disagree about the owner'
            )
        fields = {
            name: getattr(self.operation, name) for name in Operation.__slots__
        }
        return Operation(**{**fields, 'hops': hops})

    def record_owner_reached(self, now: float) -> None:
        """Restart the search timeout and backoff after an owner answered."""
        self.search_started_at = now
        self.pause_seconds = _MIN_PAUSE_SECONDS

    @property
    def verdict(self) -> Verdict:
        """Return the verdict while no owner has answered.

        An earlier attempt of the same request may have run.
        """
        if self.operation.kind == OperationKind.CALL:
            return Verdict.may_have_run
        return Verdict.not_run

    def next_pause(self) -> float:
        """Return the seconds to wait before a retry; doubles up to a limit."""
        pause = self.pause_seconds
        self.pause_seconds = min(2 * pause, _MAX_PAUSE_SECONDS)
        return pause

    def check_time_left(self, now: float) -> None:
        """Raise the final error at the deadline or after the search timeout."""
        deadline_at = self.operation.deadline_at
        if deadline_at and now >= deadline_at:
            raise DeadlineError(
                'the deadline passed while the request was routed',
                verdict=self.verdict,
            )
        if now - self.search_started_at >= SEARCH_TIMEOUT_SECONDS:
            raise self.unavailable()

    def unavailable(self) -> CallError:
        """Return the error for a program that no entry can serve."""
        return UnavailableError(
            'no entry can serve the program now',
            verdict=self.verdict,
            remedy='retry with the same Idempotency-Key',
            retry_after_seconds=1,
        )
