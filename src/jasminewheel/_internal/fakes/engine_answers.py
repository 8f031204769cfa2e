"""Serve generations and their streams for the fake engine."""

from collections import Counter
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Any

from attrs import asdict, define, field
from quart import Response, jsonify, request

from jasminewheel._internal.fakes.answers import make_answer
from jasminewheel._internal.fakes.app import Route, error_response, request_json
from jasminewheel._internal.fakes.engine_batch import Batch, Step
from jasminewheel._internal.fakes.engine_orders import OrderExecutor
from jasminewheel._internal.fakes.engine_sequence import Sequence
from jasminewheel._internal.fakes.engine_streams import (
    AnswerStream,
    StreamTable,
)
from jasminewheel._internal.fakes.faults import FaultMode, Faults
from jasminewheel._internal.http.sse import CONTENT_TYPE, format_event
from jasminewheel._internal.targets.prefix import chain

_BAD_REQUEST = 400
_NOT_FOUND = 404


@define
class AnswerViews:
    """Serve the routes that start, resume and cancel generations."""

    batch: Batch
    orders: OrderExecutor
    faults: Faults
    on_work: Callable[[], None]
    streams: StreamTable = field(factory=StreamTable)
    runs: Counter[str] = field(factory=Counter)
    arrivals: int = 0

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of generations and streams."""
        stream_path = '/v1/streams/<request_id>'
        return (
            Route('POST', '/v1/generate', self.generate),
            Route('GET', stream_path, self.resume),
            Route('DELETE', stream_path, self.cancel),
        )

    def deliver(self, step: Step) -> None:
        """Add the step's tokens to their streams."""
        for emission in step.emissions:
            stream = self.streams.find(emission.sequence.request_id)
            if stream is None or stream.sequence is not emission.sequence:
                continue
            if emission.token:
                stream.add(emission.token)
            else:
                stream.end(emission.sequence.finish)

    async def generate(self) -> Response:
        """Start a generation and stream its tokens."""
        fields = await request_json()
        problem = _generation_problem(fields) or self.orders.loading_problem(
            fields
        )
        if problem:
            return error_response(_BAD_REQUEST, problem)
        try:
            sequence = self.make_sequence(fields)
        except ValueError as error:
            return error_response(_BAD_REQUEST, str(error))
        self.runs[sequence.request_id] += 1
        stream = AnswerStream(sequence)
        self.streams.add(stream)
        self.batch.submit(sequence)
        self.on_work()
        return self.stream_response(stream, 0)

    def make_sequence(self, fields: Mapping[str, Any]) -> Sequence:
        """Return a new sequence for the request.

        Raises ValueError if `continue_text` does not start the answer.
        """
        messages = fields['messages']
        continue_text = fields.get('continue_text') or ''
        answer = make_answer(
            fields.get('model', ''),
            messages,
            fields['max_tokens'],
            fields.get('adapter') or '',
        )
        blocks = chain(messages)
        last = blocks[-1].block if blocks else ''
        reply = {'role': 'assistant', 'content': answer.text}
        tokens = answer.continuation(continue_text)
        self.arrivals += 1
        return Sequence(
            request_id=fields['request_id'],
            priority=int(fields.get('priority', 0)),
            order=self.arrivals,
            blocks=blocks,
            tokens=tokens,
            finish=answer.finish,
            resumed_tokens=len(answer.tokens) - len(tokens),
            answer_block=chain([reply], last)[0],
        )

    def stream_response(self, stream: AnswerStream, offset: int) -> Response:
        """Return a response that streams from a character offset."""
        return Response(
            self.stream_events(stream, offset),
            content_type=CONTENT_TYPE,
        )

    async def stream_events(
        self, stream: AnswerStream, offset: int
    ) -> AsyncIterator[bytes]:
        """Yield the stream's events; stop early under cut_streams."""
        count = 0
        async for token in stream.read(offset):
            yield format_event('token', asdict(token))
            count += 1
            is_cut = self.faults.mode is FaultMode.cut_streams
            if is_cut and count >= self.faults.after_tokens:
                return
        usage = asdict(stream.usage)
        finish = usage.pop('finish')
        yield format_event('done', {'usage': usage, 'finish': finish})

    async def resume(self, request_id: str) -> Response:
        """Stream the newest run of a request from a character offset."""
        stream = self.streams.find(request_id)
        if stream is None:
            return error_response(_NOT_FOUND, f'no stream {request_id}')
        offset = request.args.get('offset', 0, type=int)
        return self.stream_response(stream, offset)

    async def cancel(self, request_id: str) -> Response:
        """Cancel a generation and return its usage."""
        stream = self.streams.find(request_id)
        if stream is None:
            return error_response(_NOT_FOUND, f'no stream {request_id}')
        if not stream.usage:
            self.batch.cancel(stream.sequence)
            stream.end('cancelled')
        return jsonify(asdict(stream.usage))


def _generation_problem(fields: Mapping[str, Any]) -> str:
    if not isinstance(fields.get('request_id'), str):
        return 'request_id is not a string'
    max_tokens = fields.get('max_tokens')
    if not isinstance(max_tokens, int) or max_tokens < 1:
        return 'max_tokens is not a positive integer'
    messages = fields.get('messages')
    if not isinstance(messages, list) or not all(map(_is_message, messages)):
        return 'messages is not a list of role and content'
    return ''


def _is_message(message: Any) -> bool:
    if not isinstance(message, dict):
        return False
    return all(
        isinstance(message.get(name), str) for name in ('role', 'content')
    )
