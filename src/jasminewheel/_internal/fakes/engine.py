"""Fake a model engine."""

from typing import Any

import trio
from attrs import asdict, define, field, frozen
from quart import Response, jsonify, request
from quart_trio import QuartTrio

from jasminewheel._internal.fakes.app import (
    Route,
    make_app,
    error_response,
    request_json,
)
from jasminewheel._internal.fakes.engine_answers import AnswerViews
from jasminewheel._internal.fakes.engine_batch import (
    Batch,
    EngineSpeed,
)
from jasminewheel._internal.fakes.engine_cache import (
    PrefixCache,
    StaleFence,
    UnknownBlock,
)
from jasminewheel._internal.fakes.engine_memory import MemoryViews
from jasminewheel._internal.fakes.engine_orders import Order, OrderExecutor
from jasminewheel._internal.fakes.engine_sequence import SequenceMemory
from jasminewheel._internal.fakes.faults import Faults
from jasminewheel._internal.fakes.feed import Feed, FeedSettings
from jasminewheel._internal.http.sse import CONTENT_TYPE

_BAD_REQUEST = 400
_NOT_FOUND = 404
_CONFLICT = 409


@frozen
class FakeEngineSettings:
    """Configure the address, memory, speed and features of the fake.

    If no models (adapters) are configured, any model (adapter) is served.
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
    """Serve generations, the prefix cache, orders and the feed."""

    settings: FakeEngineSettings
    faults: Faults = field(factory=Faults)
    work: trio.Event = field(factory=trio.Event)
    cache: PrefixCache = field(init=False)
    memory: SequenceMemory = field(init=False)
    batch: Batch = field(init=False)
    answers: AnswerViews = field(init=False)
    orders: OrderExecutor = field(init=False)
    feed: Feed = field(init=False)
    app: QuartTrio = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the components and the application."""
        settings = self.settings
        self.cache = PrefixCache(settings.capacity_tokens)
        self.memory = SequenceMemory(self.cache)
        self.batch = Batch(self.memory, settings.speed, settings.max_running)
        self.orders = OrderExecutor(
            settings.is_fenced,
            set(settings.models),
            set(settings.adapters),
            settings.weights_url,
            settings.load_seconds,
            serves_any_model=not settings.models,
            serves_any_adapter=not settings.adapters,
        )
        self.answers = AnswerViews(
            self.batch,
            self.orders,
            self.faults,
            self.wake_batch,
        )
        self.feed = Feed(settings.feed, self.load)
        memory = MemoryViews(
            self.cache,
            settings.is_fenced,
            settings.kv_bytes_per_token,
            settings.import_bytes_per_second,
        )
        routes = (
            *self.answers.routes(),
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
        """Step the batch and publish cache changes."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.feed.run)
            while True:
                await self.run_step()

    async def run_step(self) -> None:
        """Run one step of the batch, or wait for work."""
        self.cache.expire(trio.current_time())
        step = self.batch.step()
        self.feed.publish(self.cache.drain_changes(), trio.current_time())
        if step:
            await trio.sleep(step.seconds)
            self.answers.deliver(step)
            return
        with trio.move_on_after(self.settings.feed.load_period_seconds):
            await self.work.wait()
        self.work = trio.Event()

    def wake_batch(self) -> None:
        """Wake up the task that steps the batch."""
        self.work.set()

    def load(self) -> dict[str, Any]:
        """Return the current load."""
        return {
            'running': len(self.batch.running),
            'waiting': len(self.batch.waiting),
            'kv_used_tokens': self.batch.used_tokens,
            'kv_capacity_tokens': self.cache.capacity_tokens,
        }

    async def follow(self) -> Response:
        """Stream cache events and load reports."""
        start = request.args.get('from', 0, type=int)
        return Response(self.feed.events(start), content_type=CONTENT_TYPE)

    async def order(self) -> Response:
        """Execute an order and return the resulting state."""
        fields = await request_json()
        kind = str(fields.get('kind', ''))
        name = str(fields.get('name', ''))
        scope = str(fields.get('scope') or f'{kind}:{name}')
        fence = int(fields.get('fence', 0))
        try:
            await self.orders.execute(Order(kind, name, scope, fence))
        except ValueError as error:
            return error_response(_BAD_REQUEST, str(error))
        return await self.show_orders()

    async def show_orders(self) -> Response:
        """Return the loaded models and adapters, the role and order counts."""
        return jsonify(self.orders.describe())

    async def counts(self) -> Response:
        """Return the counts of tokens and runs, and the current load."""
        return jsonify(
            {
                **self.memory.counts,
                **asdict(self.cache.counts),
                **self.load(),
                'pins': len(self.cache.pins),
                'streams': len(self.answers.streams.streams),
                'runs': dict(self.answers.runs),
            },
        )


async def _stale_fence(error: StaleFence) -> Response:
    return error_response(_CONFLICT, str(error))


async def _unknown_block(error: UnknownBlock) -> Response:
    return error_response(_NOT_FOUND, f'no block {error}')
