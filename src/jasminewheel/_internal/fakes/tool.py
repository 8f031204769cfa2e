"""Fake a plain service that counts its runs."""

from collections import Counter
from typing import Any

import trio
from attrs import define, field, frozen
from quart import Response, jsonify, request
from quart_trio import QuartTrio

from jasminewheel._internal.fakes.app import (
    Route,
    make_app,
    error_response,
    request_json,
)
from jasminewheel._internal.fakes.faults import Faults
from jasminewheel._internal.fakes.feed import Feed, FeedSettings
from jasminewheel._internal.http.sse import CONTENT_TYPE

_BAD_REQUEST = 400


@frozen
class FakeToolSettings:
    """Configure the address, the concurrency and the duration of calls."""

    host: str = '127.0.0.1'
    port: int = 0
    port_file: str = ''
    service_seconds: float = 0.01
    max_running: int = 32
    feed: FeedSettings = FeedSettings()


@define
class FakeTool:
    """Run each call, also repeated ones, and count by request identifier."""

    settings: FakeToolSettings
    faults: Faults = field(factory=Faults)
    runs: Counter[str] = field(factory=Counter)
    operations: Counter[str] = field(factory=Counter)
    slots: trio.Semaphore = field(init=False)
    feed: Feed = field(init=False)
    app: QuartTrio = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the application."""
        self.slots = trio.Semaphore(self.settings.max_running)
        self.feed = Feed(self.settings.feed, self.load)
        routes = (
            Route('POST', '/v1/call/<operation>', self.call),
            Route('GET', '/v1/feed', self.follow),
            Route('GET', '/control/counts', self.counts),
        )
        self.app = make_app(__name__, routes, self.faults)

    async def run(self) -> None:
        """Sample the load periodically."""
        await self.feed.run()

    def load(self) -> dict[str, Any]:
        """Return the current load."""
        return {
            'running': self.settings.max_running - self.slots.value,
            'waiting': self.slots.statistics().tasks_waiting,
        }

    async def call(self, operation: str) -> Response:
        """Run an operation and count the run under its request identifier."""
        request_id = request.headers.get('Idempotency-Key', '')
        if not request_id:
            return error_response(_BAD_REQUEST, 'Idempotency-Key is missing')
        body = await request_json()
        async with self.slots:
            self.runs[request_id] += 1
            self.operations[operation] += 1
            run = self.runs[request_id]
            await trio.sleep(self.settings.service_seconds)
        return jsonify(
            {
                'operation': operation,
                'request_id': request_id,
                'run': run,
                'input': body,
            },
        )

    async def follow(self) -> Response:
        """Stream load reports."""
        return Response(self.feed.events(0), content_type=CONTENT_TYPE)

    async def counts(self) -> Response:
        """Return the runs by request identifier and by operation."""
        return jsonify(
            {
                'runs': dict(self.runs),
                'operations': dict(self.operations),
                **self.load(),
            },
        )
