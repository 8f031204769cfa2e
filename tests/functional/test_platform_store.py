"""Check the client of the platform's store against malformed replies."""

import logging
from functools import partial
from types import MappingProxyType

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from jasminewheel._internal.events import store as events
from jasminewheel._internal.store.mirror import StoreMirror
from jasminewheel._internal.web.pool import ConnectionPool
from jasminewheel._internal.web.server import WebServer
from jasminewheel.errors import StoreUnavailableError
from jasminewheel.platform.store_client import PlatformStore
from tests.free_port import HOST
from tests.platform_store import PlatformStoreStandIn

TEST_TIMEOUT_SECONDS = 10
ITEM = MappingProxyType({'Key': 'a', 'Value': '', 'Revision': 2})
WHOLE = MappingProxyType({'items': [{**ITEM}], 'HasMore': False, 'AsOf': 2})
# Malformed pages that the client must not accept as a complete list of values.
DAMAGED = MappingProxyType(
    {
        'no-revision': {'items': [{**ITEM}], 'HasMore': False},
        'no-word-on-more': {'items': [{**ITEM}], 'AsOf': 2},
        'empty': {},
        'revision-is-text': {**WHOLE, 'AsOf': 'soon'},
        'revision-is-a-list': {**WHOLE, 'AsOf': []},
        'items-are-a-number': {**WHOLE, 'items': 7},
        'item-without-value': {**WHOLE, 'items': [{'Key': 'a', 'Revision': 2}]},
        'more-without-items': {'items': [], 'HasMore': True, 'AsOf': 2},
        'same-page-again': {**WHOLE, 'HasMore': True},
    }
)


class DamagedStore(PlatformStoreStandIn):
    """Answer kv-range with the fields in damage while they are set."""

    damage: dict | None = None

    def range(self, parameters: dict[str, str]) -> tuple[int, dict]:
        """Answer a page of items."""
        if self.damage is None:
            return super().range(parameters)
        return 200, self.damage


async def _serve(nursery, stand_in) -> str:
    web = WebServer(stand_in.handle, logging.getLogger(__name__).info)
    port = await nursery.start(web.serve, HOST, 0)
    return f'{HOST}:{port}'


async def _refuse(damage) -> None:
    stand_in = DamagedStore()
    stand_in.damage = damage
    with trio.fail_after(TEST_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            store = PlatformStore(await _serve(nursery, stand_in))
            with pytest.raises(StoreUnavailableError, match='unreadable'):
                await store.snapshot()
            nursery.cancel_scope.cancel()


@pytest.mark.parametrize('damage', DAMAGED.values(), ids=DAMAGED.keys())
def test_damaged_list_of_values_is_a_typed_error(damage):
    """A malformed list of values raises StoreUnavailableError in time."""
    trio.run(partial(_refuse, damage))


async def _follow(stand_in) -> StoreMirror:
    with trio.fail_after(TEST_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            mirror = StoreMirror(PlatformStore(await _serve(nursery, stand_in)))
            nursery.start_soon(mirror.run)
            while mirror.available:
                await trio.sleep(0.01)
            stand_in.damage = None
            await mirror.loaded.wait()
            nursery.cancel_scope.cancel()
    return mirror


def test_damaged_list_of_values_does_not_end_the_process(caplog):
    """Malformed replies count as a store loss; the mirror then recovers."""
    caplog.set_level(logging.INFO)
    stand_in = DamagedStore()
    stand_in.write('a', b'kept')
    stand_in.damage = DAMAGED['no-revision']
    mirror = trio.run(_follow, stand_in)
    assert mirror.items['a'].value == b'kept'
    seen = [getattr(one, 'event', 0) for one in caplog.records]
    assert events.LOST.number in seen
    assert events.BACK.number in seen


async def _opened() -> int:
    stand_in = DamagedStore()
    stand_in.write('a', b'kept')
    pool = ConnectionPool()
    with trio.fail_after(TEST_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            address = await _serve(nursery, stand_in)
            store = PlatformStore(address, pool)
            await store.put('b', b'1', 0)
            read = await store.snapshot()
            nursery.start_soon(store.changes, read.revision, 5)
            await wait_all_tasks_blocked()
            await store.put('c', b'1', 0)
            while len(pool.idle[address]) < 2:
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
    return pool.opened


def test_calls_and_watches_take_connections_of_the_pool():
    """A call beside a waiting watch opens the second and last one."""
    assert trio.run(_opened) == 2
