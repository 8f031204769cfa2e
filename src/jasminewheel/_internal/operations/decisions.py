"""Show the scheduler's decisions among the events of a request."""

from collections.abc import Iterator
from typing import Protocol

from attrs import define

from jasminewheel._internal.events.scheduling import DECIDED
from jasminewheel._internal.observability.event_ring import KeptEvent
from jasminewheel._internal.scheduling.explanations import Explanation


class DecisionBook(Protocol):
    """Keep recent decisions."""

    def explain_subject(self, subject: str) -> list[Explanation]:
        """Return decisions about a request, program, target or runner."""


@define
class SchedulerDecisions:
    """Read the decisions of one scheduler as events."""

    book: DecisionBook

    def decisions(self, subject: str) -> list[KeptEvent]:
        """Return decisions about a request, program, target or runner."""
        return [_event_of(one) for one in self.book.explain_subject(subject)]


def _event_of(explanation: Explanation) -> KeptEvent:
    return KeptEvent(
        position=0,
        at=explanation.at,
        number=DECIDED.number,
        level='INFO',
        text=DECIDED.text,
        fields=dict(_fields_of(explanation)),
    )


def _fields_of(explanation: Explanation) -> Iterator[tuple[str, str]]:
    yield 'decision', explanation.decision
    yield 'request', explanation.request_id
    yield 'program', explanation.program_id
    yield 'target', explanation.target
    yield 'runner', explanation.runner
    yield 'reason', explanation.reason
    yield 'waited_seconds', str(round(explanation.waited_seconds, 3))
    yield 'calls_ahead', str(explanation.calls_ahead)
    for weighed in explanation.weighed:
        yield weighed.runner, f'{weighed.total_seconds:.3f}s'
