"""Send requests to one target over its own connection pool."""

import ssl
from collections.abc import AsyncIterator
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
)
from functools import cache
from typing import Any

import httpx
from attrs import define, field

from jasminewheel._internal.http.bounded_response import (
    read_lines,
    read_response,
    read_body,
)
from jasminewheel._internal.http.sse import ServerSentEvent, parse_events
from jasminewheel._internal.targets.failures import (
    status_error,
    target_errors,
)

_CONNECT_TIMEOUT_SECONDS = 2
IO_TIMEOUT_SECONDS = 60


@cache
def shared_ssl_context() -> ssl.SSLContext:
    """Return the context that all targets share; creating one is slow."""
    return httpx.create_ssl_context()


@define
class TargetConnection(AbstractAsyncContextManager['TargetConnection']):
    """Send requests to one target; each failure raises an error with a verdict.

    `io_timeout_seconds` bounds each read and write, not the whole request.
    """

    url: str
    io_timeout_seconds: float = IO_TIMEOUT_SECONDS
    http: httpx.AsyncClient = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Open the connection pool."""
        self.http = httpx.AsyncClient(
            base_url=self.url,
            timeout=httpx.Timeout(
                self.io_timeout_seconds,
                connect=_CONNECT_TIMEOUT_SECONDS,
            ),
            verify=shared_ssl_context(),
            # The scheduler bounds the number of requests, not the pool.
            limits=httpx.Limits(max_connections=None),
        )

    async def __aexit__(self, *_exception: object) -> None:
        """Close the connections."""
        await self.http.aclose()

    async def ask(self, method: str, path: str, **options: Any) -> Any:
        """Return the decoded JSON of an answer."""
        with target_errors(self.url):
            answer = await read_response(self.http, method, path, **options)
            if answer.is_error:
                raise status_error(self.url, answer.status_code, answer.text)
            return answer.json()

    @asynccontextmanager
    async def stream(
        self, method: str, path: str, **options: Any
    ) -> AsyncIterator[AsyncIterator[ServerSentEvent]]:
        """Open a stream of events."""
        async with AsyncExitStack() as stack:
            with target_errors(self.url):
                answer = await stack.enter_async_context(
                    self.http.stream(method, path, **options),
                )
                if answer.is_error:
                    body = await read_body(answer)
                    problem = body.decode(errors='replace')
                    raise status_error(self.url, answer.status_code, problem)
            yield self.read_events(answer)

    async def read_events(
        self, answer: httpx.Response
    ) -> AsyncIterator[ServerSentEvent]:
        """Yield the events of an open answer."""
        with target_errors(self.url):
            async for event in parse_events(read_lines(answer)):
                yield event
