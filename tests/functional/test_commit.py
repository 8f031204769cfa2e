"""Check commits of configurations, also while the store fails."""

from functools import partial

import pytest
import trio

from jasminewheel._internal.configuration import repository as module
from jasminewheel._internal.configuration.change import ResourceChange
from jasminewheel._internal.configuration.configuration import Configuration
from jasminewheel._internal.configuration.repository import (
    ConfigurationRepository,
)
from jasminewheel._internal.configuration.root import PART_PREFIX, ROOT_KEY
from jasminewheel._internal.fakes.faults import FaultMode
from jasminewheel._internal.fakes.store import FakeStore, FakeStoreSettings
from jasminewheel._internal.parallel import map_parallel
from jasminewheel._internal.store.client import HttpStore
from jasminewheel.errors import (
    InvalidResourceError,
    MissingResourceError,
    StaleVersionError,
    StoreUnavailableError,
    UnsettledCommitError,
)
from jasminewheel.models.resource import ResourceKey
from configurations import (
    caller_change,
    caller_changes,
    target_change,
)
from stand_ins import serving

EMPTY = Configuration()


def target_removal(name='helper'):
    """Return a change that deletes a target."""
    return ResourceChange(ResourceKey('target', name), None)


def with_store(check, **settings):
    """Run a check with a fake store and a client of it."""

    async def main():
        stand_in = FakeStore(FakeStoreSettings(**settings))
        async with serving(stand_in) as url, HttpStore(url) as store:
            await check(stand_in, store)

    trio.run(main)


def test_commit_and_read():
    """Another member reads a commit, and fetches only changed parts."""

    async def check(stand_in, store):
        first = ConfigurationRepository(store, 'vm-1')
        await first.commit([target_change(), caller_change()], EMPTY)
        second = ConfigurationRepository(store, 'vm-2')
        await second.read()
        gets = stand_in.calls['get']
        await first.commit([caller_change(tokens=5)], EMPTY)
        found = (await second.read()).configuration
        assert found.version == 2
        assert found.snapshot().callers['clerk'].budget.tokens == 5
        assert found.snapshot().caller_by_key('key-clerk', 0)
        assert stand_in.calls['get'] - gets <= 6
        parts = await store.list(PART_PREFIX)
        assert {item.key for item in parts.items} == {
            f'{PART_PREFIX}{digest}' for digest in found.root.parts.values()
        }

    with_store(check)


def test_refused_changes_change_nothing():
    """A batch with one invalid change is refused as a whole."""

    async def check(stand_in, store):
        repository = ConfigurationRepository(store, 'vm-1')
        await repository.commit([target_change()], EMPTY)
        before = stand_in.state.revision
        with pytest.raises(StaleVersionError):
            await repository.commit(
                [caller_change(), target_change(expected_version=7)],
                EMPTY,
            )
        with pytest.raises(InvalidResourceError):
            await repository.commit([target_removal(), caller_change()], EMPTY)
        with pytest.raises(MissingResourceError):
            await repository.commit([target_removal('other')], EMPTY)
        assert stand_in.state.revision == before

    with_store(check)


def test_two_operators_race():
    """Concurrent commits of two operators all take effect, each once."""

    async def check(stand_in, store):
        async def operate(member):
            repository = ConfigurationRepository(store, member)
            changes = [[target_change(f'{member}-{one}')] for one in range(5)]
            commit = partial(repository.commit, in_force=EMPTY)
            await map_parallel(commit, changes, 1)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(operate, 'vm-1')
            nursery.start_soon(operate, 'vm-2')
        repository = ConfigurationRepository(store, 'vm-3')
        found = (await repository.read()).configuration
        assert found.version == 10
        assert len(found.snapshot().targets) == 10

    with_store(check)


def test_stale_version_loses_the_race():
    """Of two changes that expect the same version exactly one commits."""

    async def check(stand_in, store):
        await ConfigurationRepository(store, 'vm-0').commit(
            [target_change(), caller_change()],
            EMPTY,
        )
        outcomes = []

        async def operate(tokens):
            repository = ConfigurationRepository(store, f'vm-{tokens}')
            change = caller_change(tokens=tokens, expected_version=1)
            try:
                await repository.commit([change], EMPTY)
            except StaleVersionError:
                return
            outcomes.append(tokens)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(operate, 7)
            nursery.start_soon(operate, 8)
        found = (await ConfigurationRepository(store, 'x').read()).configuration
        assert [found.snapshot().callers['clerk'].budget.tokens] == outcomes

    with_store(check)


def test_lost_replies_are_resolved():
    """A change whose reply was lost takes effect exactly once."""

    async def check(stand_in, store):
        repository = ConfigurationRepository(store, 'vm-1')
        await repository.commit([target_change()], EMPTY)
        stand_in.faults.mode = FaultMode.lose_answers
        stand_in.faults.path_part = ROOT_KEY
        stand_in.faults.probability = 0.6
        changes = [target_change(f'extra-{number}') for number in range(5)]
        await map_parallel(partial(settled, repository), changes, 1)
        stand_in.faults.mode = FaultMode.ok
        found = (await repository.read()).configuration
        assert found.version == 6
        assert len(found.snapshot().targets) == 6

    async def settled(repository, change):
        while not await attempt(repository, change):
            await trio.lowlevel.checkpoint()

    async def attempt(repository, change):
        try:
            await repository.commit([change], EMPTY)
        except StoreUnavailableError:
            # Reading the root failed, so no change was sent.
            return False
        return True

    with_store(check)


def test_later_commit_confirms_a_lost_reply():
    """A commit whose reply was lost is detected under a later commit."""

    async def check(stand_in, store):
        first = ConfigurationRepository(store, 'vm-1')
        stored = await first.read()
        following = stored.configuration.apply([target_change()], 'mark')
        assert await first.replace(stored, following)
        await ConfigurationRepository(store, 'vm-2').commit(
            [target_change('other')],
            EMPTY,
        )
        assert await first.replace_root(following.root, stored.revision)

    with_store(check)


def test_unsettled_commit_raises(monkeypatch):
    """A commit without any reply raises UnsettledCommitError.

    The change may take effect nevertheless, as it does here.
    """
    monkeypatch.setattr(module, 'OUTCOME_TIMEOUT_SECONDS', 0.5)

    async def check(stand_in, store):
        repository = ConfigurationRepository(store, 'vm-1')
        stored = await repository.read()
        following = stored.configuration.apply([target_change()], 'mark')
        stand_in.faults.mode = FaultMode.lose_answers
        stand_in.faults.path_part = ROOT_KEY
        with pytest.raises(UnsettledCommitError):
            await repository.replace_root(following.root, stored.revision)
        stand_in.faults.mode = FaultMode.ok
        found = await repository.store.get(ROOT_KEY)
        assert 'mark' in found.value

    with_store(check)


def test_restored_store_does_not_revert_changes():
    """A commit to a store restored from an old copy keeps newer changes."""

    async def check(stand_in, store):
        repository = ConfigurationRepository(store, 'vm-1')
        await repository.commit([target_change()], EMPTY)
        in_force = await repository.commit([target_change('b')], EMPTY)
        stand_in.state.items.clear()
        newest = await repository.commit([target_change('c')], in_force)
        assert newest.version == 3
        found = await ConfigurationRepository(store, 'vm-2').read()
        assert set(found.configuration.snapshot().targets) == {
            'helper',
            'b',
            'c',
        }

    with_store(check)


def test_many_callers_stay_below_the_largest_value():
    """Many callers are sharded; a change of one rewrites one part."""

    async def check(stand_in, store):
        repository = ConfigurationRepository(store, 'vm-1')
        first = await repository.commit(caller_changes(3000), EMPTY)
        sizes = [part.size_bytes for part in first.parts.values()]
        assert max(sizes) < 100_000
        second = await repository.commit(
            [caller_change('caller-7', tokens=1)],
            first,
        )
        assert len(list(second.changed_parts(first))) == 1
        assert len(second.snapshot().callers) == 3000

    with_store(check)
