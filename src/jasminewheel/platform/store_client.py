"""Call the platform's key-value store.

A name that misleads: kv-keep renews a lease.
"""

import json
from base64 import b64encode
from collections import Counter
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any
from urllib.parse import quote

import trio
from attrs import define, field

from jasminewheel._internal.peer.sockets import is_no_response
from jasminewheel._internal.store.port import (
    LeasedItem,
    StoreChanges,
    StoreHistoryLostError,
    StoreSnapshot,
)
from jasminewheel._internal.web.answer_limits import (
    AnswerLimits,
    AnswerMemory,
    AnswerMemoryPool,
)
from jasminewheel._internal.web.client import HttpConnection, OutgoingRequest
from jasminewheel._internal.web.pool import ConnectionPool
from jasminewheel._internal.web.response_parser import HttpResponse
from jasminewheel.errors import ConnectionLostError, StoreUnavailableError
from jasminewheel.platform.store_replies import (
    StorePages,
    StoreReply,
    check_status,
    parse_reply,
    read_changes,
    read_leased_item,
    read_page,
)

CONNECT_TIMEOUT_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 2.0
# Time that a watch's reply may take beyond its wait before it times out; a
# change may be unknown for as long, see followed_store.
WATCH_SLACK_SECONDS = 0.7
# A reply that arrives is received whole if no pause in it is longer, and all of
# it takes no longer than this beyond its time.
STALL_SECONDS = 0.7
MAX_ARRIVAL_SECONDS = 10.0
MS_PER_SECOND = 1000
# A page of values has about 1 MB, the changes of a long period may have more.
MAX_REPLY_BYTES = 16777216
_LIMITS = AnswerLimits(answer_bytes=MAX_REPLY_BYTES)
_CALL_KINDS = ('watch', 'range', 'key', 'txn', 'lease', 'keep', 'lease_end')
# Calls whose replies tell all values or changes of them.
_READING_KINDS = frozenset(('watch', 'range'))
_HISTORY_GONE = 410
_NOT_FOUND = 404


@define(eq=False)
class PlatformStore:
    """Call the store one request at a time; watches run beside the calls."""

    address: str
    pool: ConnectionPool = field(factory=ConnectionPool)
    lock: trio.Lock = field(factory=trio.Lock)
    # Told of the time at which a part of a large reply with values arrives.
    on_arrival: Callable[[float], None] | None = None
    # Calls made, by kind.
    calls: Counter[str] = field(factory=Counter)

    def call_counts(self) -> dict[str, float]:
        """Return the number of calls made, by the name of their gauge."""
        return {
            f'store_calls_{kind}': float(self.calls[kind])
            for kind in _CALL_KINDS
        }

    async def snapshot(self) -> StoreSnapshot:
        """Return all values, with the revision of the first page."""
        pages = StorePages()
        while pages.has_more:
            after = quote(pages.after, safe='')
            reply = await self.call('GET', f'/kv-range?Prefix=&after={after}')
            pages.add(parse_reply(reply, partial(read_page, pages.after)))
        return StoreSnapshot(tuple(pages.items), pages.revision)

    async def changes(
        self, after_revision: int, wait_seconds: float
    ) -> StoreChanges:
        """Wait for changes after a revision.

        Raise StoreHistoryLostError if the store no longer has them.
        """
        path = (
            f'/kv-watch?Prefix=&after={after_revision}'
            f'&WaitMs={int(wait_seconds * MS_PER_SECOND)}'
        )
        timeout = wait_seconds + WATCH_SLACK_SECONDS
        reply = await self.exchange(_request('GET', path), timeout)
        if reply.status == _HISTORY_GONE:
            raise StoreHistoryLostError(
                'the store no longer has the changes after this revision'
            )
        check_status(reply)
        return parse_reply(reply, read_changes)

    async def get(self, key: str) -> LeasedItem | None:
        """Return what is stored under a key now, or None."""
        path = f'/kv-key?Key={quote(key, safe="")}'
        reply = await self.exchange_alone(_request('GET', path))
        if reply.status == _NOT_FOUND:
            return None
        check_status(reply)
        return parse_reply(reply, read_leased_item)

    async def put(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease: str = '',
    ) -> int:
        """Write a value and return its revision.

        Raise StoreConflictError if the key is at another revision (0 stands
        for no value), LeaseEndedError if the lease has ended.
        """
        condition = {'Key': key, 'Revision': expected_revision}
        stored = {
            'Key': key,
            'Value': b64encode(value).decode(),
            'Lease': int(lease or 0),
        }
        reply = await self.call(
            'POST',
            '/kv-txn',
            {'IfRevision': [condition], 'Puts': [stored], 'Remove': []},
        )
        return parse_reply(reply, lambda fields: int(fields['Revision']))

    async def grant_lease(self, ttl_seconds: float) -> str:
        """Create a lease and return its identifier."""
        wanted = {'TtlMs': int(ttl_seconds * MS_PER_SECOND)}
        reply = await self.call('POST', '/kv-lease', wanted)
        return parse_reply(reply, lambda fields: str(fields['Lease']))

    async def renew_lease(self, lease: str) -> None:
        """Extend a lease; raise LeaseEndedError if it has ended."""
        await self.call('POST', f'/kv-keep/{lease}', {})

    async def end_lease(self, lease: str) -> None:
        """Revoke a lease, which removes its keys."""
        await self.call('DELETE', f'/kv-lease-end/{lease}')

    async def call(
        self, method: str, path: str, fields: Mapping[str, Any] | None = None
    ) -> StoreReply:
        """Return a reply with status 200; raise StoreError for any other."""
        reply = await self.exchange_alone(_request(method, path, fields))
        check_status(reply)
        return reply

    async def exchange_alone(self, request: OutgoingRequest) -> StoreReply:
        """Return the reply to a request that waits for the one before it."""
        async with self.lock:
            return await self.exchange(request, CALL_TIMEOUT_SECONDS)

    async def exchange(
        self, request: OutgoingRequest, timeout_seconds: float
    ) -> StoreReply:
        """Return the reply to a request, over a pooled connection.

        Raise StoreUnavailableError if no readable reply arrives in time.
        """
        kind = _call_kind(request.target)
        self.calls[kind] += 1
        connection: HttpConnection | None = None
        try:
            with trio.fail_after(timeout_seconds) as scope:
                connection = await self.pool.acquire(
                    self.address,
                    trio.current_time(),
                    CONNECT_TIMEOUT_SECONDS,
                    fresh=False,
                )
                connection.limits = _LIMITS
                arrival = _Arrival(scope, scope.deadline)
                if kind in _READING_KINDS:
                    arrival.on_part = self.on_arrival
                reusable, reply = await _exchange(
                    connection, self.address, request, arrival
                )
        except (ConnectionLostError, trio.TooSlowError, ValueError) as error:
            _close(connection)
            raise StoreUnavailableError(
                f'the store did not answer: {error!r}',
                remedy='the change may have taken effect; read it back',
                no_response=is_no_response(error),
            ) from error
        except BaseException:
            _close(connection)
            raise
        if reusable:
            self.pool.release(reusable)
        return reply


def _call_kind(target: bytes) -> str:
    name = target.decode().removeprefix('/kv-')
    return name.partition('?')[0].partition('/')[0].replace('-', '_')


def _close(connection: HttpConnection | None) -> None:
    if connection:
        connection.close()


async def _exchange(
    connection: HttpConnection,
    host: str,
    request: OutgoingRequest,
    arrival: '_Arrival',
) -> tuple[HttpConnection | None, StoreReply]:
    request.headers.append((b'Host', host.encode()))
    await connection.send(request)
    response = await connection.response(bool)
    body = await _arriving_body(connection, response, arrival)
    reusable: HttpConnection | None = connection
    if not connection.finish(response, trio.current_time()):
        connection.close()
        reusable = None
    return reusable, StoreReply(response.status, _decoded(body))


@define
class _Arrival:
    """Extend a deadline while a reply arrives."""

    scope: trio.CancelScope
    due_at: float
    on_part: Callable[[float], None] | None = None
    parts: int = 0

    def record_part(self, now: float) -> None:
        """Record that a part has arrived; tell of it if it is not the first."""
        ends_at = self.due_at + MAX_ARRIVAL_SECONDS
        arrives_until = min(now + STALL_SECONDS, ends_at)
        self.scope.deadline = max(self.scope.deadline, arrives_until)
        self.parts += 1
        if self.parts > 1 and self.on_part:
            self.on_part(now)


async def _arriving_body(
    connection: HttpConnection, response: HttpResponse, arrival: _Arrival
) -> bytes:
    """Return the whole body, however long it arrives."""
    memory = AnswerMemory(AnswerMemoryPool(MAX_REPLY_BYTES), MAX_REPLY_BYTES)
    memory.check_size(response.declared_bytes())
    received: list[bytes] = []
    async for part in connection.parts(response):
        received.append(part)
        arrival.record_part(trio.current_time())
    return b''.join(received)


def _decoded(body: bytes) -> Mapping[str, Any]:
    if not body.startswith(b'{'):
        return {}
    try:
        return json.loads(body)
    except RecursionError as error:
        raise ValueError('JSON is nested too deeply') from error


def _request(
    method: str, path: str, fields: Mapping[str, Any] | None = None
) -> OutgoingRequest:
    headers = []
    body = b''
    if fields is not None:
        headers = [(b'Content-Type', b'application/json')]
        body = json.dumps(fields).encode()
    return OutgoingRequest(method.encode(), path.encode(), headers, body)
