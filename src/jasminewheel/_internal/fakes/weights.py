"""Fake the rate-limited store of model weights."""

from collections import Counter
from collections.abc import AsyncIterator

import trio
from attrs import define, field, frozen
from quart import Response, jsonify
from quart_trio import QuartTrio

from jasminewheel._internal.fakes.app import (
    Route,
    make_app,
    error_response,
    request_json,
)
from jasminewheel._internal.fakes.faults import Faults
from jasminewheel._internal.fakes.rates import TokenBucket

_CHUNK_BYTES = 65_536
_NOT_FOUND = 404


@frozen
class FakeWeightsSettings:
    """Configure the address, the rate and the sizes in bytes."""

    host: str = '127.0.0.1'
    port: int = 0
    port_file: str = ''
    bytes_per_second: float = 10_000_000
    default_size_bytes: int = 1_000_000
    sizes: dict[str, int] = field(factory=dict)


@define
class FakeWeights:
    """Serve weights at a rate that all downloads share."""

    settings: FakeWeightsSettings
    faults: Faults = field(factory=Faults)
    fetches: Counter[str] = field(factory=Counter)
    sent_bytes: int = 0
    bucket: TokenBucket = field(init=False)
    app: QuartTrio = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the application."""
        self.bucket = TokenBucket(self.settings.bytes_per_second, _CHUNK_BYTES)
        routes = (
            Route('POST', '/v1/fetch', self.fetch),
            Route('GET', '/control/counts', self.counts),
        )
        self.app = make_app(__name__, routes, self.faults)

    async def run(self) -> None:
        """Sleep forever; the fake needs no background work."""
        await trio.sleep_forever()

    async def fetch(self) -> Response:
        """Stream the named weights."""
        name = (await request_json()).get('name')
        if not isinstance(name, str) or not name:
            return error_response(_NOT_FOUND, 'name is missing')
        self.fetches[name] += 1
        settings = self.settings
        size = settings.sizes.get(name, settings.default_size_bytes)
        return Response(
            self.chunks(size),
            content_type='application/octet-stream',
            headers={'Content-Length': str(size)},
        )

    async def chunks(self, size: int) -> AsyncIterator[bytes]:
        """Yield `size` bytes in chunks, at the shared rate."""
        while size > 0:
            length = min(size, _CHUNK_BYTES)
            now = trio.current_time()
            await trio.sleep(self.bucket.reserve(now, length))
            yield bytes(length)
            self.sent_bytes += length
            size -= length

    async def counts(self) -> Response:
        """Return the number of fetches by name and the bytes sent in total."""
        return jsonify(
            {'fetches': dict(self.fetches), 'sent_bytes': self.sent_bytes},
        )
