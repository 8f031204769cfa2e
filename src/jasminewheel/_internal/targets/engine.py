"""Send requests to one model engine."""

from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Any

from attrs import asdict, define, field, frozen

from jasminewheel._internal.http.sse import ServerSentEvent
from jasminewheel._internal.targets.connection import (
    IO_TIMEOUT_SECONDS,
    TargetConnection,
)
from jasminewheel._internal.targets.failures import (
    incomplete_answer,
    target_errors,
)
from jasminewheel._internal.targets.load_report import LoadReport

_LONG_TIMEOUT_SECONDS = 600
# The engine's cache is of prompt prefixes; a block names one.
_PINS = '/v1/cache/pins'


@frozen
class EngineToken:
    """Represent a piece of an answer; offset counts characters before it."""

    offset: int
    text: str


@frozen
class EngineUsage:
    """Represent the end of an answer, with the tokens that it used."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int
    finish: str


@frozen
class EngineRequest:
    """Request an answer.

    `continue_text` is the part that an earlier run produced; the engine
    continues after it.
    """

    request_id: str
    model: str
    messages: Sequence[Mapping[str, str]]
    max_tokens: int
    priority: int = 0
    adapter: str = ''
    continue_text: str = ''


@frozen
class EnginePin:
    """Represent a pin, which protects a cached prefix from eviction."""

    block: str
    expires_seconds: float
    fence: int


@frozen
class CacheExport:
    """Refer to a cached prefix that an engine exported."""

    tokens: int
    size_bytes: int
    blob: str


@frozen
class EngineOrder:
    """Represent an administrative command to an engine.

    An engine that checks fences refuses one below the highest in `scope`.
    """

    kind: str
    name: str
    fence: int
    scope: str = ''


@frozen
class CacheEvent:
    """Report that a block was stored in the cache or evicted."""

    sequence: int
    kind: str
    block: str
    tokens: int


Answer = AsyncIterator[EngineToken | EngineUsage]
FeedEvent = CacheEvent | LoadReport


@define
class EngineClient(AbstractAsyncContextManager['EngineClient']):
    """Send generations, orders and cache requests to one engine.

    A failure raises TargetFailedError with its verdict, an outdated fence
    FencedError, and an unknown stream or block NotFoundError.
    """

    url: str
    io_timeout_seconds: float = IO_TIMEOUT_SECONDS
    connection: TargetConnection = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Open the connection pool."""
        self.connection = TargetConnection(self.url, self.io_timeout_seconds)

    async def __aexit__(self, *_exception: object) -> None:
        """Close the connections."""
        await self.connection.http.aclose()

    @asynccontextmanager
    async def generate(self, request: EngineRequest) -> AsyncIterator[Answer]:
        """Start an answer; yield its tokens, then its usage."""
        async with self.connection.stream(
            'POST',
            '/v1/generate',
            json=asdict(request, recurse=False),
        ) as events:
            yield self.read_answer(events)

    @asynccontextmanager
    async def resume(
        self, request_id: str, offset: int
    ) -> AsyncIterator[Answer]:
        """Read an answer again from a character offset."""
        async with self.connection.stream(
            'GET',
            f'/v1/streams/{request_id}',
            params={'offset': offset},
        ) as events:
            yield self.read_answer(events)

    async def cancel(self, request_id: str) -> EngineUsage:
        """Cancel an answer; return the tokens that it used."""
        fields = await self.connection.ask(
            'DELETE', f'/v1/streams/{request_id}'
        )
        with target_errors(self.url):
            return EngineUsage(**fields)

    async def pin(self, block: str, expires_seconds: float, fence: int) -> None:
        """Pin the prefix that ends in block, or renew its pin."""
        pin = EnginePin(block, expires_seconds, fence)
        await self.connection.ask('POST', _PINS, json=asdict(pin))

    async def unpin(self, block: str) -> None:
        """Remove a pin."""
        await self.connection.ask('DELETE', f'{_PINS}/{block}')

    async def pins(self) -> list[EnginePin]:
        """Return the engine's current pins."""
        fields = await self.connection.ask('GET', _PINS)
        with target_errors(self.url):
            return [EnginePin(**pin) for pin in fields['pins']]

    async def export_cache(self, block: str) -> CacheExport:
        """Export the prefix that ends in block."""
        fields = await self.connection.ask(
            'POST',
            '/v1/cache/export',
            json={'block': block},
        )
        with target_errors(self.url):
            return CacheExport(**fields)

    async def import_cache(self, export: CacheExport) -> None:
        """Import a prefix that another engine exported."""
        await self.post_long_running('/v1/cache/import', export)

    async def order(self, order: EngineOrder) -> None:
        """Send an order and wait until the engine has executed it."""
        await self.post_long_running('/v1/orders', order)

    async def post_long_running(
        self, path: str, message: CacheExport | EngineOrder
    ) -> None:
        """Post a request that the engine may take minutes to execute."""
        await self.connection.ask(
            'POST',
            path,
            json=asdict(message),
            timeout=_LONG_TIMEOUT_SECONDS,
        )

    @asynccontextmanager
    async def feed(self, start: int) -> AsyncIterator[AsyncIterator[FeedEvent]]:
        """Read cache events from a sequence number on, and load reports."""
        async with self.connection.stream(
            'GET',
            '/v1/feed',
            params={'from': start},
        ) as events:
            yield read_feed(events)

    async def read_answer(
        self, events: AsyncIterator[ServerSentEvent]
    ) -> Answer:
        """Yield tokens, then the usage; raise if the stream ends early."""
        with target_errors(self.url):
            async for event in events:
                if event.name == 'token':
                    yield EngineToken(**event.fields)
                if event.name == 'done':
                    yield _usage(event.fields)
                    return
        raise incomplete_answer(self.url, 'the stream ended before the answer')


async def read_feed(
    events: AsyncIterator[ServerSentEvent],
) -> AsyncIterator[FeedEvent]:
    """Yield the cache events and load reports of a feed; skip other events."""
    async for event in events:
        if event.name == 'cache':
            yield CacheEvent(
                event.fields['seq'],
                event.fields['kind'],
                event.fields['block'],
                event.fields['tokens'],
            )
        if event.name == 'load':
            yield LoadReport(**event.fields)


def _usage(fields: Mapping[str, Any]) -> EngineUsage:
    return EngineUsage(finish=fields['finish'], **fields['usage'])
