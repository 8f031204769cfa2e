"""Stand in for a model engine."""

from collections import Counter
from collections.abc import AsyncIterator, Mapping
from typing import Any

import trio
from attrs import asdict, define, field, frozen
from quart import Response, jsonify, request
from quart_trio import QuartTrio

from jasminewheel._internal.fakes.answers import make_answer
from jasminewheel._internal.fakes.app import (
    Route,
    make_app,
    refusal,
    request_json,
)
from jasminewheel._internal.fakes.engine_batch import (
    Batch,
    EngineSpeed,
    Sequence,
    Step,
)
from jasminewheel._internal.fakes.engine_cache import (
    PrefixCache,
    StaleFence,
    UnknownBlock,
)
from jasminewheel._internal.fakes.engine_memory import MemoryViews
from jasminewheel._internal.fakes.engine_orders import Order, OrderBook
from jasminewheel._internal.fakes.engine_streams import (
    AnswerStream,
    StreamTable,
)
from jasminewheel._internal.fakes.faults import FaultMode, Faults
from jasminewheel._internal.fakes.feed import Feed, FeedSettings
from jasminewheel._internal.http.sse import CONTENT_TYPE, format_event
from jasminewheel._internal.targets.prefix import (
    chain,
)

_BAD_REQUEST = 400
_NOT_FOUND = 404
_CONFLICT = 409


@frozen
class FakeEngineSettings:
    """Set where the stand-in listens, its memory, speed and manners.

    Without models or adapters named, any model or adapter is served.
    """

    host: str = '127.0.0.1'
    port: int = 0
    port_file: str = ''
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    is_fenced: bool = True
    capacity_tokens: int = 50_000
    max_running: int = 16
    kv_bytes_per_token: int = 20_000
    import_bytes_per_second: float = 100_000_000
    load_seconds: float = 0.5
    weights_url: str = ''
    speed: EngineSpeed = EngineSpeed()
    feed: FeedSettings = FeedSettings()


@define
class FakeEngine:
    """Serve generations, the cache, orders and the feed."""

    settings: FakeEngineSettings
    faults: Faults = field(factory=Faults)
    streams: StreamTable = field(factory=StreamTable)
    runs: Counter[str] = field(factory=Counter)
    arrivals: int = 0
    work: trio.Event = field(factory=trio.Event)
    cache: PrefixCache = field(init=False)
    batch: Batch = field(init=False)
    orders: OrderBook = field(init=False)
    feed: Feed = field(init=False)
    app: QuartTrio = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the parts and the application."""
        settings = self.settings
        self.cache = PrefixCache(settings.capacity_tokens)
        self.batch = Batch(self.cache, settings.speed, settings.max_running)
        self.orders = OrderBook(
            settings.is_fenced,
            set(settings.models),
            set(settings.adapters),
            settings.weights_url,
            settings.load_seconds,
        )
        self.feed = Feed(settings.feed, self.load)
        memory = MemoryViews(
            self.cache,
            settings.is_fenced,
            settings.kv_bytes_per_token,
            settings.import_bytes_per_second,
        )
        stream_path = '/v1/streams/<request_id>'
        routes = (
            Route('POST', '/v1/generate', self.generate),
            Route('GET', stream_path, self.resume),
            Route('DELETE', stream_path, self.cancel),
            Route('GET', '/v1/feed', self.follow),
            Route('GET', '/v1/orders', self.show_orders),
            Route('POST', '/v1/orders', self.order),
            Route('GET', '/control/counts', self.counts),
            *memory.routes(),
        )
        self.app = make_app(__name__, routes, self.faults)
        self.app.register_error_handler(StaleFence, _stale_fence)
        self.app.register_error_handler(UnknownBlock, _unknown_block)

    async def run(self) -> None:
        """Step the batch and publish what changes."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.feed.run)
            while True:
                await self.run_step()

    async def run_step(self) -> None:
        """Take one step, or wait for work."""
        self.cache.expire(trio.current_time())
        step = self.batch.step()
        self.feed.publish(self.cache.take_changes(), trio.current_time())
        if step:
            await trio.sleep(step.seconds)
            self.deliver(step)
            return
        with trio.move_on_after(self.settings.feed.load_period_seconds):
            await self.work.wait()
        self.work = trio.Event()

    def deliver(self, step: Step) -> None:
        """Hand the step's tokens to their streams."""
        for emission in step.emissions:
            stream = self.streams.find(emission.sequence.request_id)
            if stream is None or stream.sequence is not emission.sequence:
                continue
            if emission.token:
                stream.add(emission.token)
            else:
                stream.end(emission.sequence.finish)

    def load(self) -> dict[str, Any]:
        """Return the load as it is now."""
        return {
            'running': len(self.batch.running),
            'waiting': len(self.batch.waiting),
            'kv_used_tokens': self.batch.used_tokens,
            'kv_capacity_tokens': self.cache.capacity_tokens,
        }

    async def generate(self) -> Response:
        """Start a generation and stream its tokens."""
        fields = await request_json()
        problem = _generation_problem(fields) or self.loading_problem(fields)
        if problem:
            return refusal(_BAD_REQUEST, problem)
        try:
            sequence = self.make_sequence(fields)
        except ValueError as error:
            return refusal(_BAD_REQUEST, str(error))
        self.runs[sequence.request_id] += 1
        stream = AnswerStream(sequence)
        self.streams.add(stream)
        self.batch.submit(sequence)
        self.work.set()
        return self.stream_response(stream, 0)

    def loading_problem(self, fields: Mapping[str, Any]) -> str:
        """Return why the model or adapter cannot be served, if so."""
        model = fields.get('model', '')
        adapter = fields.get('adapter') or ''
        if self.settings.models and model not in self.orders.models:
            return f'model {model} is not loaded'
        is_missing = adapter and adapter not in self.orders.adapters
        if self.settings.adapters and is_missing:
            return f'adapter {adapter} is not loaded'
        return ''

    def make_sequence(self, fields: Mapping[str, Any]) -> Sequence:
        """Return the sequence that the request asks for."""
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
        tokens = answer.after(continue_text)
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
        """Return the stream from an offset on."""
        return Response(
            self.stream_events(stream, offset),
            content_type=CONTENT_TYPE,
        )

    async def stream_events(
        self, stream: AnswerStream, offset: int
    ) -> AsyncIterator[bytes]:
        """Yield the stream's events; cut them off if a fault says so."""
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
        """Stream the newest run of a request from an offset on."""
        stream = self.streams.find(request_id)
        if stream is None:
            return refusal(_NOT_FOUND, f'no stream {request_id}')
        offset = request.args.get('offset', 0, type=int)
        return self.stream_response(stream, offset)

    async def cancel(self, request_id: str) -> Response:
        """Stop a generation."""
        stream = self.streams.find(request_id)
        if stream is None:
            return refusal(_NOT_FOUND, f'no stream {request_id}')
        if not stream.usage:
            self.batch.cancel(stream.sequence)
            stream.end('cancelled')
        return jsonify(asdict(stream.usage))

    async def follow(self) -> Response:
        """Stream cache events and load reports."""
        start = request.args.get('from', 0, type=int)
        return Response(self.feed.events(start), content_type=CONTENT_TYPE)

    async def order(self) -> Response:
        """Carry out an order, then answer."""
        fields = await request_json()
        kind = str(fields.get('kind', ''))
        name = str(fields.get('name', ''))
        scope = str(fields.get('scope') or f'{kind}:{name}')
        fence = int(fields.get('fence', 0))
        try:
            await self.orders.take(Order(kind, name, scope, fence))
        except ValueError as error:
            return refusal(_BAD_REQUEST, str(error))
        return await self.show_orders()

    async def show_orders(self) -> Response:
        """Return what is loaded."""
        return jsonify(self.orders.describe())

    async def counts(self) -> Response:
        """Return what the engine did, in tokens and runs."""
        return jsonify(
            {
                **self.batch.counts,
                **asdict(self.cache.counts),
                **self.load(),
                'pins': len(self.cache.pins),
                'streams': len(self.streams.streams),
                'runs': dict(self.runs),
            },
        )


def _generation_problem(fields: Mapping[str, Any]) -> str:
    if not isinstance(fields.get('request_id'), str):
        return 'request_id is not a string'
    max_tokens = fields.get('max_tokens')
    if not isinstance(max_tokens, int) or max_tokens < 1:
        return 'max_tokens is not above zero'
    messages = fields.get('messages')
    if not isinstance(messages, list) or not all(map(_is_message, messages)):
        return 'messages is not a list of messages'
    return ''


def _is_message(message: Any) -> bool:
    if not isinstance(message, dict):
        return False
    return all(
        isinstance(message.get(name), str) for name in ('role', 'content')
    )


async def _stale_fence(error: StaleFence) -> Response:
    return refusal(_CONFLICT, str(error))


async def _unknown_block(error: UnknownBlock) -> Response:
    return refusal(_NOT_FOUND, f'no block {error}')
