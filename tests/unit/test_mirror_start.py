"""Check how many calls of the store a process makes at its start and later."""

import trio
from attrs import define, field
from trio.testing import MockClock

from jasminewheel._internal.store.known_items import (
    FIRST_FETCH_INTERVAL_SECONDS,
    KnownItemsFetcher,
)
from jasminewheel._internal.store.mirror import (
    BATCH_SECONDS,
    FLEET_WATCHES_PER_SECOND,
    MAX_BATCH_SECONDS,
    StoreMirror,
    batch_seconds,
)
from jasminewheel._internal.store.port import (
    STORE_PREFIX,
    StoreChanges,
    StoreHistoryLostError,
    StoreItem,
    StoreSnapshot,
)

START_SECONDS = 0.2
REPLY_SECONDS = 0.01
# Bound within which an accepted configuration is in force everywhere.
CONFIGURATION_SECONDS = 2.5


@define(eq=False)
class CountingStore:
    """Answer calls from its items, and record them."""

    items: dict[str, StoreItem] = field(factory=dict)
    revision: int = 0
    oldest: int = 0
    calls: list[str] = field(factory=list)
    reply_seconds: float = REPLY_SECONDS

    def write(self, key: str) -> None:
        """Write a key."""
        self.revision += 1
        self.items[key] = StoreItem(key, b'', self.revision)

    async def snapshot(self) -> StoreSnapshot:
        """Return all items as of the time of the call."""
        self.calls.append('snapshot')
        found = StoreSnapshot(tuple(self.items.values()), self.revision)
        await trio.sleep(self.reply_seconds)
        return found

    async def changes(
        self, after_revision: int, wait_seconds: float
    ) -> StoreChanges:
        """Return the changes after a revision as soon as there are any."""
        self.calls.append('watch')
        if after_revision < self.oldest:
            raise StoreHistoryLostError('forgotten')
        with trio.move_on_after(wait_seconds):
            while self.revision <= after_revision:
                await trio.sleep(REPLY_SECONDS)
        found = [
            one for one in self.items.values() if one.revision > after_revision
        ]
        replied = StoreChanges(tuple(found), (), self.revision)
        await trio.sleep(self.reply_seconds)
        return replied


def _run(mirror: StoreMirror, scenario) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(mirror.run)
            await scenario()
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


def test_start_goes_on_from_the_items_of_another_process():
    """The whole contents, which may take many pages, are not read then."""
    store = CountingStore()
    store.write('a')
    known = [store.items['a']]
    store.write('b')
    mirror = StoreMirror(store)

    async def scenario() -> None:
        mirror.apply_known_items(known, 1, trio.current_time())
        await trio.sleep(START_SECONDS)
        assert set(mirror.items) == {'a', 'b'}
        assert mirror.loaded.is_set()
        assert 'snapshot' not in store.calls

    _run(mirror, scenario)


def test_start_from_current_items_is_confirmed_soon():
    """The first watch is short, so that the store's answer is not awaited."""
    store = CountingStore()
    store.write('a')
    mirror = StoreMirror(store)

    async def scenario() -> None:
        mirror.apply_known_items([store.items['a']], 1, 0)
        await trio.sleep(START_SECONDS)
        assert mirror.loaded.is_set()
        assert mirror.contact.is_settled(trio.current_time())

    _run(mirror, scenario)


def test_start_without_peers_reads_the_store():
    """Without items of another process the whole contents are read."""
    store = CountingStore()
    store.write('a')
    mirror = StoreMirror(store)

    async def scenario() -> None:
        await trio.sleep(2 * REPLY_SECONDS)
        assert set(mirror.items) == {'a'}
        assert store.calls[0] == 'snapshot'

    _run(mirror, scenario)


def test_start_from_forgotten_items_reads_the_store():
    """If the changes since are gone, the whole contents are read."""
    store = CountingStore()
    store.write('a')
    known = [store.items['a'], StoreItem('removed', b'', 1)]
    store.write('b')
    store.oldest = store.revision
    mirror = StoreMirror(store)

    async def scenario() -> None:
        mirror.apply_known_items(known, 1, 0)
        await trio.sleep(START_SECONDS)
        assert set(mirror.items) == {'a', 'b'}

    _run(mirror, scenario)


def test_late_reply_of_the_store_does_not_go_back():
    """A process that learnt newer items keeps them when the store replies."""
    store = CountingStore(reply_seconds=1)
    store.write('a')
    mirror = StoreMirror(store)

    async def scenario() -> None:
        await trio.sleep(0.5)
        store.write('b')
        newer = list(store.items.values())
        assert mirror.apply_known_items(newer, 2, trio.current_time())
        await trio.sleep(1)
        assert set(mirror.items) == {'a', 'b'}
        assert mirror.revision == 2

    _run(mirror, scenario)


def test_watches_of_a_large_fleet_are_bounded():
    """Changes that keep coming cost the fleet a bounded rate of calls."""
    processes = 195
    seconds = 20
    store = CountingStore()
    for number in range(processes):
        store.write(f'{STORE_PREFIX}entries/{number}')
    mirror = StoreMirror(store)

    async def scenario() -> None:
        started_at = trio.current_time()
        while trio.current_time() < started_at + seconds:
            store.write('servers/a')
            await trio.sleep(0.1)
        allowed = FLEET_WATCHES_PER_SECOND / processes * seconds
        assert len(store.calls) <= allowed + 2

    _run(mirror, scenario)


def test_pause_after_a_change_is_short_at_any_size():
    """Small fleets learn changes as fast as before, large ones in time."""
    assert batch_seconds(10) == BATCH_SECONDS
    assert batch_seconds(100000) == MAX_BATCH_SECONDS
    assert 4 * MAX_BATCH_SECONDS < CONFIGURATION_SECONDS


def test_start_queries_one_peer_more_at_a_time():
    """Each reply to a start holds all items, so one peer is asked first."""
    addresses = ('one', 'two', 'three')
    fetcher = KnownItemsFetcher(StoreMirror(CountingStore()), None, addresses)
    asked = []
    while len(asked) < len(addresses):
        due = fetcher.next_addresses(0)
        assert len(due) == 1
        asked.extend(due)
        fetcher.pending.update(due)
    assert set(asked) == set(addresses)
    assert not fetcher.next_addresses(0)
    assert fetcher.interval_seconds() == FIRST_FETCH_INTERVAL_SECONDS
