"""Write and read server-sent events."""

import json
from collections.abc import AsyncIterator
from typing import Any

from attrs import define, field, frozen

CONTENT_TYPE = 'text/event-stream'
# Limit for the data of one event.
MAX_EVENT_CHARACTERS = 1048576
_EVENT = 'event: '
_DATA = 'data: '


@frozen
class ServerSentEvent:
    """Represent one event with its parsed JSON."""

    name: str
    fields: dict[str, Any]


def format_event(
    name: str, fields: dict[str, Any], event_id: str = ''
) -> bytes:
    """Return the event as encoded on the wire."""
    prefix = f'id: {event_id}\n' if event_id else ''
    text = json.dumps(fields, separators=(',', ':'))
    return f'{prefix}{_EVENT}{name}\n{_DATA}{text}\n\n'.encode()


@define
class _PartialEvent:
    name: str = 'message'
    data: list[str] = field(factory=list)
    characters: int = 0

    def add_line(self, line: str) -> None:
        """Add a line; raise ValueError if the event is too large."""
        if line.startswith(_EVENT):
            self.name = line.removeprefix(_EVENT)
        elif line.startswith(_DATA):
            self.data.append(line.removeprefix(_DATA))
            self.characters += len(line)
        if self.characters > MAX_EVENT_CHARACTERS:
            raise ValueError(f'event {self.name!r} is too large')

    def parse(self) -> ServerSentEvent:
        """Return the parsed event; raise ValueError for malformed JSON."""
        fields = json.loads('\n'.join(self.data))
        if not isinstance(fields, dict):
            raise ValueError(f'data of event {self.name!r} is no JSON object')
        return ServerSentEvent(self.name, fields)


async def parse_events(
    lines: AsyncIterator[str],
) -> AsyncIterator[ServerSentEvent]:
    """Yield the events in lines; raise ValueError for a malformed one."""
    partial_event = _PartialEvent()
    async for line in lines:
        partial_event.add_line(line)
        if not line and partial_event.data:
            yield partial_event.parse()
            partial_event = _PartialEvent()
