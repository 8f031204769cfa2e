"""Execute orders to load models and adapters or to change the role."""

from collections import Counter
from collections.abc import Iterator, Mapping
from contextlib import ExitStack, contextmanager
from typing import Any

import httpx
import trio
from attrs import define, field, frozen

from jasminewheel._internal.fakes.engine_cache import StaleFence

_TIMEOUT_SECONDS = 600


@frozen
class Order:
    """Represent one order; fences are compared within its scope."""

    kind: str
    name: str
    scope: str
    fence: int


@define
class OrderExecutor:
    """Execute orders; refuse stale fences if `is_fenced`."""

    is_fenced: bool
    models: set[str]
    adapters: set[str]
    weights_url: str
    load_seconds: float
    serves_any_model: bool
    serves_any_adapter: bool
    role: str = 'mixed'
    loading: set[str] = field(factory=set)
    fences: dict[str, int] = field(factory=dict)
    received: Counter[str] = field(factory=Counter)

    def check_fence(self, scope: str, fence: int) -> None:
        """Record the highest fence; raise StaleFence for a lower one."""
        highest = self.fences.get(scope, 0)
        if self.is_fenced and fence < highest:
            raise StaleFence(f'stale fence: {scope} has fence {highest}')
        self.fences[scope] = max(fence, highest)

    async def execute(self, order: Order) -> None:
        """Execute an order; raise ValueError for an unknown kind."""
        self.check_fence(order.scope, order.fence)
        self.received[f'{order.kind}:{order.name}'] += 1
        if order.kind == 'role':
            self.role = order.name
        elif order.kind == 'load_model':
            await self.load(order.name, self.models)
        elif order.kind == 'load_adapter':
            await self.load(order.name, self.adapters)
        else:
            raise ValueError(f'unknown kind of order: {order.kind!r}')

    async def load(self, name: str, into: set[str]) -> None:
        """Load a model or adapter unless it is loaded already."""
        if name in into:
            return
        with self.marked_as_loading(name):
            await self.fetch(name)
        into.add(name)

    @contextmanager
    def marked_as_loading(self, name: str) -> Iterator[None]:
        """List the name as loading while the block runs."""
        self.loading.add(name)
        with ExitStack() as stack:
            stack.callback(self.loading.discard, name)
            yield

    async def fetch(self, name: str) -> None:
        """Download the weights, then wait for the simulated load time."""
        if self.weights_url:
            async with (
                httpx.AsyncClient(timeout=_TIMEOUT_SECONDS) as client,
                client.stream(
                    'POST',
                    f'{self.weights_url}/v1/fetch',
                    json={'name': name},
                ) as answer,
            ):
                answer.raise_for_status()
                await answer.aread()
        await trio.sleep(self.load_seconds)

    def loading_problem(self, fields: Mapping[str, Any]) -> str:
        """Return why the model or adapter cannot be served, or ''."""
        model = fields.get('model', '')
        adapter = fields.get('adapter') or ''
        if not self.serves_any_model and model not in self.models:
            return f'model {model} is not loaded'
        is_missing = adapter and adapter not in self.adapters
        if not self.serves_any_adapter and is_missing:
            return f'adapter {adapter} is not loaded'
        return ''

    def describe(self) -> dict[str, Any]:
        """Return the loaded names, the role and the counts of orders."""
        return {
            'models': sorted(self.models),
            'adapters': sorted(self.adapters),
            'loading': sorted(self.loading),
            'role': self.role,
            'orders': dict(self.received),
        }
