"""Fake the platform's key-value service."""

from collections import Counter
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
from jasminewheel._internal.fakes.faults import Faults
from jasminewheel._internal.fakes.rates import TokenBucket
from jasminewheel._internal.fakes.store_state import (
    RevisionConflict,
    StoreState,
    UnknownLease,
)

_VALUE_LIMIT_BYTES = 1024 * 1024
_EXPIRY_PERIOD_SECONDS = 0.05
_WATCH_SECONDS = 30
_BAD_REQUEST = 400
_NOT_FOUND = 404
_CONFLICT = 409
_TOO_LARGE = 413
_TOO_MANY = 429


@frozen
class FakeStoreSettings:
    """Configure the address and the rate limits."""

    host: str = '127.0.0.1'
    port: int = 0
    port_file: str = ''
    writes_per_second: float = 400
    reads_per_second: float = 2000


@define
class FakeStore:
    """Serve keys, leases and watches."""

    settings: FakeStoreSettings
    state: StoreState = field(factory=StoreState)
    faults: Faults = field(factory=Faults)
    calls: Counter[str] = field(factory=Counter)
    changed: trio.Event = field(factory=trio.Event)
    writes: TokenBucket = field(init=False)
    reads: TokenBucket = field(init=False)
    app: QuartTrio = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the application."""
        write_rate = self.settings.writes_per_second
        read_rate = self.settings.reads_per_second
        self.writes = TokenBucket(write_rate, write_rate)
        self.reads = TokenBucket(read_rate, read_rate)
        key_path = '/v1/kv/<path:key>'
        lease_path = '/v1/leases/<lease>'
        routes = (
            Route('GET', key_path, self.get),
            Route('PUT', key_path, self.put),
            Route('DELETE', key_path, self.delete),
            Route('GET', '/v1/list', self.list),
            Route('GET', '/v1/watch', self.watch),
            Route('POST', '/v1/leases', self.grant),
            Route('POST', f'{lease_path}/renew', self.renew),
            Route('DELETE', lease_path, self.revoke),
            Route('GET', '/control/counts', self.counts),
        )
        self.app = make_app(__name__, routes, self.faults)
        self.app.before_request(self.limit)
        self.app.register_error_handler(RevisionConflict, _conflict)
        self.app.register_error_handler(UnknownLease, _unknown_lease)
        self.app.register_error_handler(ValueError, _bad_request)

    async def run(self) -> None:
        """Revoke leases as they expire."""
        while True:
            await trio.sleep(_EXPIRY_PERIOD_SECONDS)
            if self.state.expire(trio.current_time()):
                self.wake_watchers()

    def wake_watchers(self) -> None:
        """Wake up all watches."""
        self.changed.set()
        self.changed = trio.Event()

    async def limit(self) -> Response | None:
        """Count the call; refuse it above the rate limit."""
        if request.path.startswith('/control/'):
            return None
        is_read = request.method == 'GET'
        bucket = self.reads if is_read else self.writes
        self.calls['reads' if is_read else 'writes'] += 1
        if bucket.take(trio.current_time()):
            return None
        self.calls['refused'] += 1
        return error_response(_TOO_MANY, 'rate limit exceeded')

    async def get(self, key: str) -> Response:
        """Return the item of a key."""
        found = self.state.items.get(key)
        if found is None:
            return error_response(_NOT_FOUND, f'no key {key}')
        return jsonify(asdict(found))

    async def put(self, key: str) -> Response:
        """Write one value by compare-and-swap."""
        fields = await request_json()
        value = fields.get('value')
        if not isinstance(value, str):
            return error_response(_BAD_REQUEST, 'value is not a string')
        if len(value.encode()) > _VALUE_LIMIT_BYTES:
            return error_response(
                _TOO_LARGE, f'value is over {_VALUE_LIMIT_BYTES} B'
            )
        revision = self.state.put(
            key,
            value,
            fields.get('expected_revision'),
            fields.get('lease'),
        )
        self.wake_watchers()
        return jsonify({'revision': revision})

    async def delete(self, key: str) -> Response:
        """Delete one key by compare-and-swap."""
        expected = request.args.get('expected_revision', type=int)
        revision = self.state.delete(key, expected)
        self.wake_watchers()
        return jsonify({'revision': revision})

    async def list(self) -> Response:
        """Return all items with a prefix."""
        return self.listing(request.args.get('prefix', ''))

    def listing(self, prefix: str) -> Response:
        """Return the items with the prefix and the current revision."""
        found: list[dict[str, Any]] = [
            asdict(item) for item in self.state.list(prefix)
        ]
        return jsonify({'items': found, 'revision': self.state.revision})

    async def watch(self) -> Response:
        """Wait for a change of keys with a prefix and return their items."""
        prefix = request.args.get('prefix', '')
        start = request.args.get('from_revision', 0, type=int)
        seconds = request.args.get('wait_seconds', _WATCH_SECONDS, type=float)
        with trio.move_on_after(seconds):
            while not self.state.has_changed_after(prefix, start):
                await self.changed.wait()
        return self.listing(prefix)

    async def grant(self) -> Response:
        """Grant a lease."""
        fields = await request_json()
        ttl_seconds = float(fields.get('ttl_seconds', 0))
        if ttl_seconds <= 0:
            return error_response(_BAD_REQUEST, 'ttl_seconds is not above zero')
        lease = self.state.grant(ttl_seconds, trio.current_time())
        return jsonify({'lease': lease})

    async def renew(self, lease: str) -> Response:
        """Renew a lease."""
        now = trio.current_time()
        self.state.expire(now)
        self.state.renew(lease, now)
        return jsonify({'lease': lease})

    async def revoke(self, lease: str) -> Response:
        """Revoke a lease and delete its keys."""
        self.state.revoke(lease)
        self.wake_watchers()
        return jsonify({'lease': lease})

    async def counts(self) -> Response:
        """Return the numbers of reads, writes and refused calls."""
        return jsonify(dict(self.calls))


async def _conflict(error: RevisionConflict) -> Response:
    return error_response(_CONFLICT, str(error))


async def _unknown_lease(error: UnknownLease) -> Response:
    return error_response(_NOT_FOUND, f'no lease {error}')


async def _bad_request(error: ValueError) -> Response:
    return error_response(_BAD_REQUEST, str(error))
