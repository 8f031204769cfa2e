"""Convert an operation's events to HTTP responses."""

import json
from collections.abc import AsyncIterator
from typing import Any

from quart import Response

from jasminewheel._internal.http.operation_stream import OperationStream
from jasminewheel._internal.http.sse import CONTENT_TYPE, format_event
from jasminewheel._internal.wire.gen.program.ttypes import (
    OperationEvent,
    OperationEventKind,
)
from jasminewheel.errors import JasminewheelError
from jasminewheel.models.problem import PROBLEM_MEDIA_TYPE, Problem

KEEP_ALIVE_SECONDS = 10.0
# An error within this time, before any event, still sets the status of the
# response; a later one is an event of the stream.
FIRST_EVENT_TIMEOUT_SECONDS = 5.0
_KEEP_ALIVE = b': keep-alive\n\n'
_FIRST_ERROR_STATUS = 400
_JSON = 'application/json'


def outcome_response(event: OperationEvent) -> Response:
    """Return the response for the final event: an answer or a problem."""
    failed = event.status >= _FIRST_ERROR_STATUS
    content_type = PROBLEM_MEDIA_TYPE if failed else _JSON
    return Response(
        event.body,
        status=event.status,
        content_type=content_type,
        headers={'Jasminewheel-Verdict': event.verdict},
    )


async def collect_response(stream: OperationStream) -> Response:
    """Return one response once the operation has finished."""
    async with stream:
        event = await stream.next_event()
        while event and event.kind != OperationEventKind.DONE:
            event = await stream.next_event()
    return outcome_response(event)


async def stream_response(stream: OperationStream) -> Response:
    """Return a response of server-sent events; raise an early error."""
    first = await stream.next_event(FIRST_EVENT_TIMEOUT_SECONDS)
    response = Response(
        event_stream(stream, first),
        content_type=CONTENT_TYPE,
        headers={'Cache-Control': 'no-store', 'X-Accel-Buffering': 'no'},
    )
    # The stream lasts as long as the call, beyond the library's time limit.
    response.timeout = None
    return response


async def event_stream(
    stream: OperationStream, first: OperationEvent | None
) -> AsyncIterator[bytes]:
    """Yield events until the call ends, and comments to keep it alive."""
    event = first
    try:
        while event is None or event.kind != OperationEventKind.DONE:
            yield format_operation_event(event) if event else _KEEP_ALIVE
            event = await stream.next_event(KEEP_ALIVE_SECONDS)
        yield format_operation_event(event)
    except JasminewheelError as error:
        yield format_event('problem', json.loads(Problem.of(error).encode()))
    finally:
        await stream.close()


def format_operation_event(event: OperationEvent) -> bytes:
    """Return the server-sent event for an operation's event."""
    generation = event.generation or 0
    if event.kind == OperationEventKind.TOKEN:
        end = event.offset + len(event.text)
        fields = {'offset': event.offset, 'text': event.text}
        return format_event('token', fields, f'{generation}:{end}')
    if event.kind == OperationEventKind.RESTART:
        return format_event('restart', {}, f'{generation}:0')
    body: dict[str, Any] = json.loads(event.body)
    if event.status >= _FIRST_ERROR_STATUS:
        return format_event('problem', body)
    return format_event('done', body)
