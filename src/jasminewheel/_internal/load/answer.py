"""Collect streamed answers across lost connections and restarts."""

from collections.abc import AsyncIterator, Mapping
from typing import Any

import httpx
import trio
from attrs import define, field

from jasminewheel._internal.http.sse import ServerSentEvent
from jasminewheel._internal.load.client import (
    MAX_ATTEMPTS,
    CallerClient,
    NoAnswerError,
    RefusedError,
    pause_after_loss,
    pause_before_retry,
)

_PROBLEM_STATUS = 502


class InconsistentAnswerError(Exception):
    """Report that the pieces of an answer contradict each other."""


@define
class StreamedAnswer:
    """Assemble one answer from stream events and time its tokens."""

    requested_at: float
    text: str = ''
    first_token_seconds: float | None = None
    token_gaps: list[float] = field(factory=list)
    last_token_at: float = 0
    done: Mapping[str, Any] | None = None
    restarts: int = 0

    def add_event(self, event: ServerSentEvent, now: float) -> None:
        """Apply one event; raise RefusedError for a problem event."""
        if event.name == 'token':
            self._insert(event.fields['offset'], event.fields['text'])
            self._record_time(now)
        elif event.name == 'restart':
            self.text = ''
            self.restarts += 1
        elif event.name == 'problem':
            status = int(event.fields.get('status', _PROBLEM_STATUS))
            raise RefusedError(status, event.fields)
        elif event.name == 'done':
            self.done = event.fields

    def _insert(self, offset: int, piece: str) -> None:
        received = self.text[offset : offset + len(piece)]
        if offset > len(self.text) or not piece.startswith(received):
            raise InconsistentAnswerError(
                f'piece at offset {offset} conflicts or leaves a gap'
            )
        end = offset + len(piece)
        self.text = ''.join((self.text[:offset], piece, self.text[end:]))

    def _record_time(self, now: float) -> None:
        if self.first_token_seconds is None:
            self.first_token_seconds = now - self.requested_at
        else:
            self.token_gaps.append(now - self.last_token_at)
        self.last_token_at = now


async def collect_answer(
    client: CallerClient,
    program: str,
    request_id: str,
    body: Mapping[str, Any],
) -> StreamedAnswer:
    """Return the complete answer of a model call; resume it if truncated."""
    answer = StreamedAnswer(trio.current_time())
    calls = f'/v1/programs/{program}/calls'
    attempt = 0
    while answer.done is None:
        attempt += 1
        if attempt > MAX_ATTEMPTS:
            raise NoAnswerError(f'no complete answer to {request_id}')
        try:
            await _read_stream(client, calls, request_id, body, answer)
        except RefusedError as refusal:
            await pause_before_retry(refusal, attempt)
        except httpx.TransportError as error:
            await pause_after_loss(error, attempt)
    return answer


async def _read_stream(
    client: CallerClient,
    calls: str,
    request_id: str,
    body: Mapping[str, Any],
    answer: StreamedAnswer,
) -> None:
    if answer.text:
        opening = client.resume(f'{calls}/{request_id}', len(answer.text))
    else:
        opening = client.stream(calls, request_id, body)
    async with opening as events:
        await _add_events(events, answer)


async def _add_events(
    events: AsyncIterator[ServerSentEvent], answer: StreamedAnswer
) -> None:
    async for event in events:
        answer.add_event(event, trio.current_time())
