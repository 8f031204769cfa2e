"""Write and read server-sent events."""

import json
from collections.abc import AsyncIterator
from typing import Any

from attrs import frozen

CONTENT_TYPE = 'text/event-stream'
_EVENT = 'event: '
_DATA = 'data: '


@frozen
class ServerSentEvent:
    """Hold one event with its parsed JSON."""

    name: str
    fields: dict[str, Any]


def format_event(
    name: str, fields: dict[str, Any], event_id: str = ''
) -> bytes:
    """Return the event as it goes over the wire."""
    prefix = f'id: {event_id}\n' if event_id else ''
    text = json.dumps(fields, separators=(',', ':'))
    return f'{prefix}{_EVENT}{name}\n{_DATA}{text}\n\n'.encode()


async def parse_events(
    lines: AsyncIterator[str],
) -> AsyncIterator[ServerSentEvent]:
    """Yield the events that lines hold; raise ValueError for broken ones."""
    name = 'message'
    data: list[str] = []
    async for line in lines:
        if line.startswith(_EVENT):
            name = line.removeprefix(_EVENT)
        elif line.startswith(_DATA):
            data.append(line.removeprefix(_DATA))
        elif not line and data:
            yield _parse(name, data)
            name = 'message'
            data = []


def _parse(name: str, data: list[str]) -> ServerSentEvent:
    fields = json.loads('\n'.join(data))
    if not isinstance(fields, dict):
        raise ValueError(f'event {name!r} holds no JSON object')
    return ServerSentEvent(name, fields)
