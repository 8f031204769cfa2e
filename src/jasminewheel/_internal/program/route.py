"""Keep track of one operation on its way to the program's owner."""

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
    PeerError,
    UnavailableError,
)
from jasminewheel.models.verdict import Verdict

PATIENCE_SECONDS = 30.0
MAX_HOPS = 4
_FIRST_PAUSE_SECONDS = 0.01
_LONGEST_PAUSE_SECONDS = 0.25
_MAY_RUN = frozenset((OperationKind.CALL,))


@define(eq=False)
class Route:
    """Remember what was tried, what may have run and what was received."""

    operation: Operation
    sink: EventSink
    searching_since: float
    excluded: set[str] = field(factory=set)
    verdict: Verdict = Verdict.not_run
    pause_seconds: float = _FIRST_PAUSE_SECONDS
    is_done: bool = False

    async def __call__(self, event: OperationEvent) -> None:
        """Pass an event on, then count it as received."""
        await self.sink(event)
        self.is_done = event.kind == OperationEventKind.DONE
        self.operation.generation = event.generation or 0
        if event.kind == OperationEventKind.RESTART:
            self.operation.offset = 0
        elif event.kind == OperationEventKind.TOKEN:
            self.operation.offset = event.offset + len(event.text)

    def next_hop(self) -> Operation:
        """Return the operation to forward; raise MovedError in a loop."""
        hops = (self.operation.hops or 0) + 1
        if hops > MAX_HOPS:
            raise MovedError('the entries disagree about the owner')
        fields = {
            name: getattr(self.operation, name) for name in Operation.__slots__
        }
        return Operation(**{**fields, 'hops': hops})

    def found(self, now: float) -> None:
        """Start the patience anew, since an owner was reached."""
        self.searching_since = now
        self.pause_seconds = _FIRST_PAUSE_SECONDS

    def moved(self, error: MovedError) -> None:
        """Take in that an entry is not the owner, or not any more."""
        if error.verdict is not Verdict.not_run:
            self.weaken()

    def lost(self, member: str, error: PeerError) -> None:
        """Take in that an entry does not answer."""
        self.excluded.add(member)
        if error.sent:
            self.weaken()

    def weaken(self) -> None:
        """Remember that a call may have run."""
        if self.operation.kind in _MAY_RUN:
            self.verdict = Verdict.may_have_run

    def next_pause(self) -> float:
        """Return how long to wait before the next try; each time longer."""
        pause = self.pause_seconds
        self.pause_seconds = min(2 * pause, _LONGEST_PAUSE_SECONDS)
        return pause

    def check_patience(self, now: float) -> None:
        """Raise the final error when there is no time for another try."""
        deadline_at = self.operation.deadline_at
        if deadline_at and now >= deadline_at:
            raise DeadlineError(
                'the deadline passed on the way to the owner',
                verdict=self.verdict,
            )
        if now - self.searching_since >= PATIENCE_SECONDS:
            raise self.unavailable()

    def unavailable(self) -> CallError:
        """Return the error for a program that no entry can serve."""
        return UnavailableError(
            'no entry can serve the program now',
            verdict=self.verdict,
            remedy='retry with the same Idempotency-Key',
            retry_after_seconds=1,
        )
