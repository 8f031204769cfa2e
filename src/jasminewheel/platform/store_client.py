"""Call the platform's key-value store.

Names that mislead: kv-keep renews a lease, AsOf is a revision, and watches
answer with events, of which those with Deleted set are removals.
"""

import json
from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any
from urllib.parse import quote

import trio
from attrs import define, field, frozen

from jasminewheel._internal.peer.sockets import is_no_response
from jasminewheel._internal.store.port import (
    StoreChanges,
    StoreHistoryLostError,
    StoreItem,
    StoreSnapshot,
)
from jasminewheel._internal.web.answer_limits import (
    AnswerLimits,
    AnswerMemory,
    AnswerMemoryPool,
)
from jasminewheel._internal.web.client import HttpConnection, OutgoingRequest
from jasminewheel._internal.web.pool import ConnectionPool
from jasminewheel.errors import (
    ConnectionLostError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)

CONNECT_TIMEOUT_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 2.0
# Time that a watch's reply may take beyond its wait before it times out; a
# change may be unknown for as long, see followed_store.
WATCH_SLACK_SECONDS = 0.7
MS_PER_SECOND = 1000
# A page of values has about 1 MB, the changes of a long period may have more.
MAX_REPLY_BYTES = 16777216
# For all values together; a configuration and its runners take some 100 KB.
MAX_SNAPSHOT_BYTES = 33554432
# Memory that a stored value takes beside its own bytes.
ITEM_OVERHEAD_BYTES = 256
_LIMITS = AnswerLimits(answer_bytes=MAX_REPLY_BYTES)
_CALL_KINDS = ('watch', 'range', 'txn', 'lease', 'keep', 'lease_end')
_OK = 200
_NOT_FOUND = 404
_HISTORY_GONE = 410
_CONDITION_FAILED = 412
_REFUSED_STATUSES = (429, 503)


@frozen
class StoreReply:
    """Represent the status and the decoded body of a reply."""

    status: int
    fields: Mapping[str, Any]


@frozen
class StorePage:
    """Represent one page of values in the order of their keys."""

    items: tuple[StoreItem, ...]
    revision: int
    has_more: bool

    @property
    def last_key(self) -> str:
        """Return the key after which the next page starts."""
        return self.items[-1].key if self.items else ''


@define(eq=False)
class PlatformStore:
    """Call the store one request at a time; watches run beside the calls."""

    address: str
    pool: ConnectionPool = field(factory=ConnectionPool)
    lock: trio.Lock = field(factory=trio.Lock)
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
        pages = _Pages()
        while pages.has_more:
            after = quote(pages.after, safe='')
            reply = await self.call('GET', f'/kv-range?Prefix=&after={after}')
            pages.add(_parse(reply, partial(_page, pages.after)))
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
        _check(reply)
        return _parse(reply, _changes)

    async def put(
        self,
        key: str,
        written: bytes,
        *,
        expected_revision: int | None = None,
        lease: str = '',
    ) -> int:
        """Write a value and return its revision.

        Raise StoreConflictError if the key is at another revision (0 stands
        for no value) or if the lease has ended.
        """
        conditions = []
        if expected_revision is not None:
            conditions = [{'Key': key, 'Revision': expected_revision}]
        stored = {
            'Key': key,
            'Value': b64encode(written).decode(),
            'Lease': int(lease or 0),
        }
        reply = await self.call(
            'POST',
            '/kv-txn',
            {'IfRevision': conditions, 'Puts': [stored], 'Remove': []},
        )
        return _parse(reply, lambda fields: int(fields['Revision']))

    async def grant_lease(self, ttl_seconds: float) -> str:
        """Create a lease and return its identifier."""
        wanted = {'TtlMs': int(ttl_seconds * MS_PER_SECOND)}
        reply = await self.call('POST', '/kv-lease', wanted)
        return _parse(reply, lambda fields: str(fields['Lease']))

    async def renew_lease(self, lease: str) -> None:
        """Extend a lease; raise StoreConflictError if it has ended."""
        await self.call('POST', f'/kv-keep/{lease}', {})

    async def end_lease(self, lease: str) -> None:
        """Revoke a lease, which removes its keys."""
        await self.call('DELETE', f'/kv-lease-end/{lease}')

    async def call(
        self, method: str, path: str, fields: Mapping[str, Any] | None = None
    ) -> StoreReply:
        """Return a reply with status 200; raise StoreError for any other."""
        async with self.lock:
            reply = await self.exchange(
                _request(method, path, fields), CALL_TIMEOUT_SECONDS
            )
        _check(reply)
        return reply

    async def exchange(
        self, request: OutgoingRequest, timeout_seconds: float
    ) -> StoreReply:
        """Return the reply to a request, over a pooled connection.

        Raise StoreUnavailableError if no readable reply arrives in time.
        """
        self.calls[_call_kind(request.target)] += 1
        connection: HttpConnection | None = None
        try:
            with trio.fail_after(timeout_seconds):
                connection = await self.pool.acquire(
                    self.address,
                    trio.current_time(),
                    CONNECT_TIMEOUT_SECONDS,
                    fresh=False,
                )
                connection.limits = _LIMITS
                reusable, reply = await _exchange(
                    connection, self.address, request
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
    connection: HttpConnection, host: str, request: OutgoingRequest
) -> tuple[HttpConnection | None, StoreReply]:
    request.headers.append((b'Host', host.encode()))
    await connection.send(request)
    response = await connection.response(bool)
    memory = AnswerMemory(AnswerMemoryPool(MAX_REPLY_BYTES), MAX_REPLY_BYTES)
    body = await connection.whole_body(response, memory)
    reusable: HttpConnection | None = connection
    if not connection.finish(response, trio.current_time()):
        connection.close()
        reusable = None
    return reusable, StoreReply(response.status, _decoded(body))


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


def _check(reply: StoreReply) -> None:
    if reply.status == _OK:
        return
    if reply.status in {_NOT_FOUND, _CONDITION_FAILED}:
        raise StoreConflictError(
            f'the store answered with status {reply.status}'
        )
    if reply.status in _REFUSED_STATUSES:
        raise StoreUnavailableError(
            f'the store refused the request with status {reply.status}'
        )
    raise StoreError(f'the store answered with status {reply.status}')


def _parse(reply: StoreReply, read: Callable[[Mapping[str, Any]], Any]) -> Any:
    try:
        return read(reply.fields)
    except (KeyError, TypeError, ValueError) as error:
        raise StoreUnavailableError(
            f'unreadable reply from the store: {error!r}'
        ) from error


def _item(fields: Mapping[str, Any]) -> StoreItem:
    return StoreItem(
        str(fields['Key']),
        b64decode(fields['Value']),
        int(fields['Revision']),
    )


@define
class _Pages:
    items: list[StoreItem] = field(factory=list)
    # Revision of the first page; changes after it are read by the watch, so a
    # change between two pages is not missed.
    revision: int = 0
    after: str = ''
    has_more: bool = True
    held_bytes: int = 0

    def add(self, page: StorePage) -> None:
        """Add a page.

        Raise StoreUnavailableError above MAX_SNAPSHOT_BYTES, because a faulty
        store may return pages without end.
        """
        self.held_bytes += sum(
            ITEM_OVERHEAD_BYTES + len(one.value) for one in page.items
        )
        if self.held_bytes > MAX_SNAPSHOT_BYTES:
            raise StoreUnavailableError(
                'the pages of the store do not end: their values exceed the '
                'maximum size of a snapshot',
                remedy='check whether the store returns correct pages',
            )
        self.items.extend(page.items)
        self.revision = self.revision or page.revision
        self.has_more = page.has_more
        self.after = page.last_key


def _page(after: str, fields: Mapping[str, Any]) -> StorePage:
    page = StorePage(
        tuple(map(_item, fields['items'])),
        int(fields['AsOf']),
        bool(fields['HasMore']),
    )
    if page.has_more and page.last_key <= after:
        raise ValueError(
            'HasMore is set, but the page has no key after the previous page'
        )
    return page


def _changes(fields: Mapping[str, Any]) -> StoreChanges:
    # A key may be written and removed within one reply: its last event counts.
    last = {str(event['Key']): event for event in fields['events']}
    written = [one for one in last.values() if not one.get('Deleted')]
    removed = [key for key, one in last.items() if one.get('Deleted')]
    return StoreChanges(
        tuple(map(_item, written)), tuple(removed), int(fields['AsOf'])
    )
