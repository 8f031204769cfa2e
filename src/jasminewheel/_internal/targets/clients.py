"""Cache one client for each runner's address."""

from contextlib import AsyncExitStack
from types import TracebackType
from typing import Self

from jasminewheel._internal.targets.engine import EngineClient
from jasminewheel._internal.targets.service import ServiceClient


class ClientPool:
    """Cache clients of engines and services; close them all at the end."""

    def __init__(self) -> None:
        """Start without clients."""
        self.engines: dict[str, EngineClient] = {}
        self.services: dict[str, ServiceClient] = {}
        self.stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Return the pool itself."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all clients."""
        await self.stack.aclose()

    def engine(self, url: str) -> EngineClient:
        """Return the client of a model engine."""
        client = self.engines.get(url)
        if client is None:
            client = EngineClient(url)
            self.stack.push_async_exit(client)
            self.engines[url] = client
        return client

    def service(self, url: str) -> ServiceClient:
        """Return the client of a service's runner."""
        client = self.services.get(url)
        if client is None:
            client = ServiceClient(url)
            self.stack.push_async_exit(client)
            self.services[url] = client
        return client
