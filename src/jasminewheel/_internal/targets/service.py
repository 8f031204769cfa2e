"""Call one runner of a plain service."""

from collections.abc import AsyncIterator
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
)
from typing import Any

import httpx
import trio
from attrs import define, field, frozen

from jasminewheel._internal.http.bounded_response import read_body
from jasminewheel._internal.targets.connection import TargetConnection
from jasminewheel._internal.targets.engine import read_feed
from jasminewheel._internal.targets.load_report import LoadReport
from jasminewheel._internal.targets.failures import (
    status_error,
    target_errors,
)

_CONNECT_TIMEOUT_SECONDS = 2
_TOO_MANY_REQUESTS = 429
_FIRST_SERVER_ERROR = 500


@frozen
class ServiceAnswer:
    """Represent a service's answer; a 4xx, except 429, is its own refusal."""

    status: int
    body: Any


@define
class ServiceClient(AbstractAsyncContextManager['ServiceClient']):
    """Call operations of one runner, with the request id as idempotency key."""

    url: str
    connection: TargetConnection = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Open the connection pool."""
        self.connection = TargetConnection(self.url)

    async def __aexit__(self, *_exception: object) -> None:
        """Close the connections."""
        await self.connection.http.aclose()

    async def call(
        self,
        operation: str,
        body: Any,
        request_id: str,
        timeout_seconds: float,
    ) -> ServiceAnswer:
        """Call an operation once; raise TargetFailedError with its verdict."""
        async with AsyncExitStack() as stack:
            stack.enter_context(target_errors(self.url))
            stack.enter_context(trio.fail_after(timeout_seconds))
            answer = await stack.enter_async_context(
                self.connection.http.stream(
                    'POST',
                    f'/v1/call/{operation}',
                    json=body,
                    headers={'Idempotency-Key': request_id},
                    timeout=httpx.Timeout(
                        None, connect=_CONNECT_TIMEOUT_SECONDS
                    ),
                ),
            )
            return await self.read(answer)

    async def read(self, answer: httpx.Response) -> ServiceAnswer:
        """Return the whole answer; raise for 429, 5xx and too large ones."""
        content = await read_body(answer)
        status = answer.status_code
        if status == _TOO_MANY_REQUESTS or status >= _FIRST_SERVER_ERROR:
            body = content.decode(errors='replace')
            raise status_error(self.url, status, body)
        return ServiceAnswer(status, _parse(answer, content))

    @asynccontextmanager
    async def feed(self) -> AsyncIterator[AsyncIterator[LoadReport]]:
        """Read the runner's load reports."""
        async with self.connection.stream('GET', '/v1/feed') as events:
            yield read_feed(events)


def _parse(answer: httpx.Response, content: bytes) -> Any:
    if answer.headers.get('content-type', '').startswith('application/json'):
        return httpx.Response(answer.status_code, content=content).json()
    return content.decode(errors='replace')
