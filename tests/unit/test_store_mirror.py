"""Check the store mirror through silent connections and lost history."""

import math

import trio
from attrs import define, field
from trio.testing import MockClock

from jasminewheel._internal.store.known_items import KnownItemsFetcher
from jasminewheel._internal.store.mirror import StoreMirror
from jasminewheel._internal.store.port import (
    StoreChanges,
    StoreHistoryLostError,
    StoreItem,
    StoreSnapshot,
)
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import StoreUnavailableError

SILENT_ANSWER_SECONDS = 1.5


@define(eq=False)
class SilentStore:
    """Answer calls, except during a configured silence.

    A call made during the silence is never answered, as on a half-open
    connection; only its timeout ends it.
    """

    silent_from: float = math.inf
    silent_until: float = 0
    items: dict[str, StoreItem] = field(factory=dict)
    oldest: int = 0
    revision: int = 1

    def write(self, key: str) -> None:
        """Write a key."""
        self.revision += 1
        self.items[key] = StoreItem(key, b'', self.revision)

    def is_silent(self) -> bool:
        """Return whether the store is silent now."""
        return self.silent_from <= trio.current_time() < self.silent_until

    async def snapshot(self) -> StoreSnapshot:
        """Return all values."""
        await trio.sleep(0.01)
        return StoreSnapshot(tuple(self.items.values()), self.revision)

    async def changes(
        self, after_revision: int, wait_seconds: float
    ) -> StoreChanges:
        """Return changes; in a silence fail after the wait and some slack."""
        until = trio.current_time() + wait_seconds
        while self.revision <= after_revision or self.is_silent():
            if self.is_silent():
                left = until - trio.current_time()
                await trio.sleep(left + SILENT_ANSWER_SECONDS)
                raise StoreUnavailableError('silent')
            if trio.current_time() >= until:
                return StoreChanges((), (), after_revision)
            await trio.sleep(0.05)
        if after_revision < self.oldest:
            raise StoreHistoryLostError('forgotten')
        found = [
            one for one in self.items.values() if one.revision > after_revision
        ]
        return StoreChanges(tuple(found), (), self.revision)


def _run_scenario(scenario, **silence: float) -> None:
    store = SilentStore(**silence)
    mirror = StoreMirror(store)

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(mirror.run)
            await scenario(store, mirror)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


def test_change_after_a_silence_is_known_soon():
    """A call lost in a silence does not delay the next ones."""

    async def scenario(store, mirror) -> None:
        await trio.sleep_until(12)
        store.write('config')
        await trio.sleep_until(12 + 2.4)
        assert 'config' in mirror.items

    _run_scenario(scenario, silent_from=4.0, silent_until=12.0)


def test_changes_are_known_at_once():
    """Without faults a change is known well within a second."""

    async def scenario(store, mirror) -> None:
        await trio.sleep(3)
        store.write('config')
        await trio.sleep(0.5)
        assert 'config' in mirror.items

    _run_scenario(scenario)


def test_lost_history_reloads_all_keys():
    """After the store compacted changes, removed keys are dropped as well."""

    async def scenario(store, mirror) -> None:
        store.write('old')
        await trio.sleep(1)
        assert 'old' in mirror.items
        store.items.clear()
        store.write('new')
        store.oldest = store.revision
        await trio.sleep(6)
        assert set(mirror.items) == {'new'}

    _run_scenario(scenario)


@define(eq=False)
class UnavailableStore:
    """Refuse every call."""

    asked_after: list[int] = field(factory=list)

    async def snapshot(self) -> StoreSnapshot:
        """Raise StoreUnavailableError."""
        await trio.sleep(0)
        raise StoreUnavailableError('away')

    async def changes(
        self, after_revision: int, wait_seconds: float
    ) -> StoreChanges:
        """Raise StoreUnavailableError; record the requested revision."""
        await trio.sleep(0)
        self.asked_after.append(after_revision)
        raise StoreUnavailableError('away')


@define(eq=False)
class FakePeers:
    """Reply with the items that are set for each address."""

    replies: dict[str, wire.KnownItems]

    async def ask(self, address, message, reply_kind, *, timeout_seconds):
        """Return the reply of the peer at the address."""
        await trio.sleep(0)
        return self.replies[address]


def _known_items(**revisions: int) -> wire.KnownItems:
    return wire.KnownItems(
        items=[
            wire.KnownItem(key=key, value=b'', revision=revision)
            for key, revision in revisions.items()
        ],
        revision=max(revisions.values()),
    )


def _run_fetcher(
    mirror: StoreMirror, replies: dict[str, wire.KnownItems]
) -> None:
    fetcher = KnownItemsFetcher(mirror, FakePeers(replies), tuple(replies))

    async def scenario() -> None:
        with trio.move_on_after(6):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(mirror.run)
                nursery.start_soon(fetcher.run)

    trio.run(scenario, clock=MockClock(autojump_threshold=0))


def test_newest_reply_is_used():
    """A starting process uses the newest reply, not one that lags behind."""
    mirror = StoreMirror(UnavailableStore())
    replies = {
        'lags': _known_items(a=3),
        'knows': _known_items(a=3, b=5),
        'old': _known_items(a=2),
    }
    _run_fetcher(mirror, replies)
    assert set(mirror.items) == {'a', 'b'}
    assert mirror.known_revision == 5


def test_process_without_the_store_learns_from_others():
    """A process that the store refuses gets its changes from peers."""
    store = UnavailableStore()
    mirror = StoreMirror(store)
    mirror.apply_snapshot([StoreItem('a', b'', 3)], 4)
    mirror.loaded.set()
    _run_fetcher(mirror, {'reads': _known_items(a=3, b=9)})
    assert set(mirror.items) == {'a', 'b'}
    assert store.asked_after[0] == 4
    assert store.asked_after[-1] == 9


def test_process_with_the_store_ignores_peers():
    """A process that reads the store does not apply items of peers."""
    mirror = StoreMirror(UnavailableStore())
    mirror.apply_snapshot([StoreItem('a', b'', 3)], 4)
    mirror.loaded.set()
    assert not mirror.apply_known_items([StoreItem('b', b'', 9)], 9, now=1)
    assert set(mirror.items) == {'a'}
