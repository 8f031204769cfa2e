"""Present recent placement decisions to operators as events."""

from collections.abc import Iterator

from attrs import asdict, frozen

from jasminewheel._internal.events.scheduling import DECIDED
from jasminewheel._internal.observability.event_ring import RecordedEvent
from jasminewheel._internal.scheduling.explanations import (
    Explainer,
    Explanation,
    Weighed,
)

_DIGITS = 4


@frozen
class DecisionEvents:
    """Convert the decisions about a subject to events."""

    explainer: Explainer

    def decisions(self, subject: str) -> list[RecordedEvent]:
        """Return decisions about a request, a program or a target."""
        found = (
            self.explainer.explain_request(subject)
            or self.explainer.explain_program(subject)
            or self.explainer.explain_target(subject)
        )
        return [
            _to_event(position, explanation)
            for position, explanation in enumerate(found)
        ]


def _to_event(position: int, explanation: Explanation) -> RecordedEvent:
    fields = {
        'program': explanation.program_id,
        'request': explanation.request_id,
        'target': explanation.target,
        'decision': explanation.decision,
        'runner': explanation.runner,
        'reason': explanation.reason,
        'waited_seconds': str(round(explanation.waited_seconds, _DIGITS)),
        'calls_ahead': str(explanation.calls_ahead),
    }
    for place, weighed in enumerate(explanation.weighed, 1):
        fields[f'weighed_{place}'] = ' '.join(_format_fields(weighed))
    return RecordedEvent(
        position=position,
        at=explanation.at,
        number=DECIDED.number,
        level='INFO',
        text=DECIDED.text,
        fields=fields,
    )


def _format_fields(weighed: Weighed) -> Iterator[str]:
    for name, number in asdict(weighed).items():
        shown = round(number, _DIGITS) if isinstance(number, float) else number
        yield f'{name}={shown}'
