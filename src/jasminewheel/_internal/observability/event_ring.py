"""Buffer the last numbered events of this process for operators."""

import logging
from collections import deque
from collections.abc import Iterator, Mapping

from attrs import frozen

MAX_EVENTS = 2000


@frozen
class RecordedEvent:
    """Represent one event; positions count from the start of the process."""

    position: int
    at: float
    number: int
    level: str
    text: str
    fields: Mapping[str, str]

    def mentions(self, subject: str) -> bool:
        """Return whether a field's value, or its key=value, is the subject."""
        pairs = self.fields.items()
        return any(subject in {one, f'{name}={one}'} for name, one in pairs)


class EventRing(logging.Handler):
    """Buffer the last logged events; older ones are discarded."""

    def __init__(self, max_events: int = MAX_EVENTS) -> None:
        """Start with an empty buffer of max_events."""
        super().__init__()
        self.events: deque[RecordedEvent] = deque(maxlen=max_events)
        self.position = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a record that holds an event."""
        number = getattr(record, 'event', None)
        if number is None:
            return
        self.position += 1
        fields = getattr(record, 'fields', {})
        self.events.append(
            RecordedEvent(
                self.position,
                record.created,
                number,
                record.levelname,
                _text(record),
                {name: str(fields[name]) for name in fields},
            ),
        )

    def after(
        self, position: int, subject: str = ''
    ) -> Iterator[RecordedEvent]:
        """Iterate over later events, or over those that mention the subject."""
        for event in self.events:
            if event.position > position and _matches(event, subject):
                yield event


def install_event_ring() -> EventRing:
    """Add a ring to the root logger and return it."""
    ring = EventRing()
    logging.getLogger().addHandler(ring)
    return ring


def _text(record: logging.LogRecord) -> str:
    """Return the event's text, the second argument of its format."""
    return str(record.args[1]) if isinstance(record.args, tuple) else ''


def _matches(event: RecordedEvent, subject: str) -> bool:
    return not subject or event.mentions(subject)
