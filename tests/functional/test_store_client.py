"""Check the store's client against the fake store."""

import pytest
import trio
from memory_store import MemoryStore
from stand_ins import serving

from jasminewheel._internal.fakes.store import FakeStore, FakeStoreSettings
from jasminewheel._internal.store.client import HttpStore
from jasminewheel.errors import StoreConflictError, StoreUnavailableError


async def over_http(check):
    """Run check with a client of the fake store."""
    stand_in = FakeStore(FakeStoreSettings())
    async with serving(stand_in) as url, HttpStore(url) as store:
        await check(store)


async def in_memory(check):
    """Run check with the in-memory store that other tests use."""
    await check(MemoryStore())


both = pytest.mark.parametrize('run', [over_http, in_memory])


async def check_swaps(store):
    """Write, conflict, delete."""
    first = await store.put('a/key', 'one', 0)
    with pytest.raises(StoreConflictError):
        await store.put('a/key', 'two', 0)
    second = await store.put('a/key', 'two', first)
    assert second > first
    assert (await store.get('a/key')).value == 'two'
    assert [item.key for item in (await store.list('a/')).items] == ['a/key']
    with pytest.raises(StoreConflictError):
        await store.delete('a/key', first)
    await store.delete('a/key', second)
    assert await store.get('a/key') is None


@both
def test_swaps(run):
    """Compare-and-swap takes effect or conflicts."""
    trio.run(run, check_swaps)


async def check_leases(store):
    """Expire a key with its lease."""
    lease = await store.grant_lease(0.2)
    await store.put('members/a', 'one', 0, lease)
    await store.renew_lease(lease)
    seen = await store.list('members/')
    while seen.items:
        seen = await store.watch('members/', seen.revision)
    with pytest.raises(StoreConflictError):
        await store.renew_lease(lease)
    with pytest.raises(StoreConflictError):
        await store.put('members/a', 'one', 0, lease)


def test_leases():
    """A watch reports the deletion of the keys of an expired lease."""
    trio.run(over_http, check_leases)


async def check_watch(store):
    """Receive a change below the prefix and none of other keys."""
    start = (await store.list('a/')).revision

    async def write():
        await store.put('b/other', 'one', 0)
        await store.put('a/key', 'one', 0)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(write)
        seen = await store.watch('a/', start)
    assert [item.key for item in seen.items] == ['a/key']


@both
def test_watch(run):
    """A watch returns after a change below its prefix."""
    trio.run(run, check_watch)


async def check_unavailable():
    """Call a store that refuses requests, and one that has stopped."""
    stand_in = FakeStore(FakeStoreSettings(reads_per_second=1))
    async with serving(stand_in) as url:
        await check_refusals(stand_in, url)
        gone = HttpStore(url)
    async with gone:
        with pytest.raises(StoreUnavailableError):
            await gone.get('key')


async def check_refusals(stand_in, url):
    """Call a store over its rate limit, and one that fails."""
    async with HttpStore(url) as store:
        with pytest.raises(StoreUnavailableError):
            await store.get('key')
            await store.get('key')
            await store.get('key')
        stand_in.faults.install({'mode': 'error'})
        with pytest.raises(StoreUnavailableError):
            await store.put('key', 'one', 0)


def test_unavailable():
    """No answer, a refusal and a failure all raise as unavailable."""
    trio.run(check_unavailable)
