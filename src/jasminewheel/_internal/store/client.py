"""Read and write the platform's key-value service."""

from collections.abc import Iterator
from contextlib import AbstractAsyncContextManager, contextmanager
from typing import Any, Protocol
from urllib.parse import quote

import httpx
from attrs import define, field, frozen

from jasminewheel._internal.http.bounded_response import read_response
from jasminewheel.errors import (
    LeaseEndedError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)

# The largest accepted answer to a list or watch: 64 MiB.
MAX_LISTING_BYTES = 67108864
_TIMEOUT_SECONDS = 5
_WATCH_SECONDS = 30
_NOT_FOUND = 404
_UNREADABLE = (KeyError, TypeError, ValueError, RecursionError)
_CONFLICT = 409
_TOO_MANY = 429
_FIRST_SERVER_ERROR = 500


@frozen
class StoredValue:
    """Represent a value and the revision that wrote it."""

    key: str
    value: str
    revision: int


@frozen
class StoreListing:
    """Represent the values below a prefix as of a revision."""

    items: tuple[StoredValue, ...]
    revision: int


class Store(Protocol):
    """Read and write keys, leases and watches.

    Each method raises StoreUnavailableError if no answer came.
    """

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of key, or None."""

    async def put(
        self,
        key: str,
        value: str,
        expected_revision: int,
        lease: str = '',
    ) -> int:
        """Write value and return its revision; 0 expects no such key.

        Raise StoreConflictError if the key is at another revision,
        LeaseEndedError if the lease has ended. No value is written without
        a condition: executed late, such a write would undo a newer one.
        """

    async def delete(self, key: str, expected_revision: int | None) -> None:
        """Delete key if it has the expected revision."""

    async def list(self, prefix: str) -> StoreListing:
        """Return all values below prefix."""

    async def watch(self, prefix: str, from_revision: int) -> StoreListing:
        """Return all values below prefix after a change or a timeout."""

    async def grant_lease(self, ttl_seconds: float) -> str:
        """Return a new lease."""

    async def renew_lease(self, lease: str) -> None:
        """Extend a lease; raise LeaseEndedError if it expired."""

    async def revoke_lease(self, lease: str) -> None:
        """End a lease and delete its keys."""


@define
class HttpStore(AbstractAsyncContextManager['HttpStore']):
    """Access the key-value service over HTTP."""

    url: str
    timeout_seconds: float = _TIMEOUT_SECONDS
    watch_seconds: float = _WATCH_SECONDS
    http: httpx.AsyncClient = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Open the connection pool."""
        self.http = httpx.AsyncClient(
            base_url=self.url,
            timeout=self.timeout_seconds,
        )

    async def __aexit__(self, *_exception: object) -> None:
        """Close the connections."""
        await self.http.aclose()

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of key, or None."""
        answer = await self.request('GET', _key_path(key))
        if answer.status_code == _NOT_FOUND:
            return None
        with _readable_answer():
            return _stored_value(answer.json())

    async def put(
        self,
        key: str,
        value: str,
        expected_revision: int,
        lease: str = '',
    ) -> int:
        """Write value and return its revision; 0 expects no such key."""
        fields = {
            'value': value,
            'expected_revision': expected_revision,
            'lease': lease or None,
        }
        answer = await self.request('PUT', _key_path(key), json=fields)
        _check_lease(answer)
        with _readable_answer():
            return int(answer.json()['revision'])

    async def delete(self, key: str, expected_revision: int | None) -> None:
        """Delete key if it has the expected revision."""
        query = {}
        if expected_revision is not None:
            query['expected_revision'] = expected_revision
        await self.request('DELETE', _key_path(key), params=query)

    async def list(self, prefix: str) -> StoreListing:
        """Return all values below prefix."""
        query = {'prefix': prefix}
        answer = await self.request(
            'GET', '/v1/list', params=query, max_bytes=MAX_LISTING_BYTES
        )
        return _listing(answer)

    async def watch(self, prefix: str, from_revision: int) -> StoreListing:
        """Return all values below prefix after a change or a timeout."""
        answer = await self.request(
            'GET',
            '/v1/watch',
            params={
                'prefix': prefix,
                'from_revision': from_revision,
                'wait_seconds': self.watch_seconds,
            },
            timeout=self.watch_seconds + self.timeout_seconds,
            max_bytes=MAX_LISTING_BYTES,
        )
        return _listing(answer)

    async def grant_lease(self, ttl_seconds: float) -> str:
        """Return a new lease."""
        fields = {'ttl_seconds': ttl_seconds}
        answer = await self.request('POST', '/v1/leases', json=fields)
        with _readable_answer():
            return str(answer.json()['lease'])

    async def renew_lease(self, lease: str) -> None:
        """Extend a lease; raise LeaseEndedError if it expired."""
        answer = await self.request('POST', f'/v1/leases/{lease}/renew')
        _check_lease(answer)

    async def revoke_lease(self, lease: str) -> None:
        """End a lease and delete its keys."""
        await self.request('DELETE', f'/v1/leases/{lease}')

    async def request(
        self, method: str, path: str, **options: Any
    ) -> httpx.Response:
        """Send a request; raise StoreError for errors other than 404."""
        try:
            answer = await read_response(self.http, method, path, **options)
        except httpx.HTTPError as error:
            raise StoreUnavailableError(
                f'{method} {path}: no answer: {error!r}',
                remedy='the change may have taken effect; read the key again',
            ) from error
        _check_status(answer)
        return answer


def _key_path(key: str) -> str:
    return f'/v1/kv/{quote(key)}'


def _check_status(answer: httpx.Response) -> None:
    if answer.is_error and answer.status_code != _NOT_FOUND:
        raise _status_error(answer.status_code, answer.text.strip())


def _status_error(status: int, problem: str) -> StoreError:
    if status == _CONFLICT:
        return StoreConflictError(problem)
    if status == _TOO_MANY:
        return StoreUnavailableError(
            'the store rejected the request: rate limit exceeded'
        )
    if status >= _FIRST_SERVER_ERROR:
        return StoreUnavailableError(f'the store failed with status {status}')
    return StoreError(f'the store rejected the request: {problem}')


def _check_lease(answer: httpx.Response) -> None:
    if answer.status_code == _NOT_FOUND:
        raise LeaseEndedError('the lease has expired')


@contextmanager
def _readable_answer() -> Iterator[None]:
    try:
        yield
    except _UNREADABLE as error:
        raise StoreUnavailableError(
            f'invalid answer from the store: {error!r}'
        ) from error


def _stored_value(fields: dict[str, Any]) -> StoredValue:
    return StoredValue(
        str(fields['key']),
        str(fields['value']),
        int(fields['revision']),
    )


def _listing(answer: httpx.Response) -> StoreListing:
    with _readable_answer():
        fields = answer.json()
        found = tuple(_stored_value(one) for one in fields['items'])
        return StoreListing(found, int(fields['revision']))
