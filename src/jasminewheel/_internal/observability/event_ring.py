"""Keep the last numbered events of this process for operators."""

import logging
from collections import deque
from collections.abc import Iterator, Mapping

from attrs import frozen

EVENTS_KEPT = 2000


@frozen
class KeptEvent:
    """Hold one event; positions count up from the start of the process."""

    position: int
    at: float
    number: int
    level: str
    text: str
    fields: Mapping[str, str]

    def names(self, subject: str) -> bool:
        """Return whether a field is the subject, given as value or pair."""
        pairs = self.fields.items()
        return any(subject in {one, f'{name}={one}'} for name, one in pairs)


class EventRing(logging.Handler):
    """Keep the last events that were logged."""

    def __init__(self, kept: int = EVENTS_KEPT) -> None:
        """Start without events."""
        super().__init__()
        self.events: deque[KeptEvent] = deque(maxlen=kept)
        self.position = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record that holds an event."""
        number = getattr(record, 'event', None)
        if number is None:
            return
        self.position += 1
        fields = getattr(record, 'fields', {})
        self.events.append(
            KeptEvent(
                self.position,
                record.created,
                number,
                record.levelname,
                _text(record),
                {name: str(fields[name]) for name in fields},
            ),
        )

    def after(self, position: int, subject: str = '') -> Iterator[KeptEvent]:
        """Iterate over later events, or over those that name the subject."""
        for event in self.events:
            if event.position > position and _matches(event, subject):
                yield event


def keep_events() -> EventRing:
    """Return a ring that receives the events of this process."""
    ring = EventRing()
    logging.getLogger().addHandler(ring)
    return ring


def _text(record: logging.LogRecord) -> str:
    """Return the event's text, the second argument of its format."""
    return str(record.args[1]) if isinstance(record.args, tuple) else ''


def _matches(event: KeptEvent, subject: str) -> bool:
    return not subject or event.names(subject)
