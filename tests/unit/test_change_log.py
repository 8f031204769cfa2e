"""Check that a reader tells each follower all that it has missed."""

import random

import pytest
import trio
from attrs import define, field
from trio.testing import MockClock

from jasminewheel._internal.store.change_log import MAX_REMOVALS, ChangeLog
from jasminewheel._internal.store.mirror import StoreMirror
from jasminewheel._internal.store.port import StoreChanges, StoreItem
from jasminewheel._internal.store.reader_service import ReaderService
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import StoreUnavailableError
from tests.watched_store import SharedStore, StoreConnection

KEYS = ('a', 'b', 'c', 'd')
PLAYED_CHANGES = 40
# How long the store is read before it is lost, and by when followers know.
READ_SECONDS = 0.5
TOLD_SECONDS = 0.6


def _reader() -> tuple[StoreMirror, ChangeLog]:
    mirror = StoreMirror(None)
    log = ChangeLog(mirror)
    mirror.listeners.append(log)
    return mirror, log


def _read(store: SharedStore, mirror: StoreMirror) -> None:
    """Let a reader catch up, by a snapshot the first time."""
    if mirror.revision:
        changes = StoreConnection(store).found(mirror.revision)
        mirror.record_read(changes.revision)
        mirror.apply_changes(changes)
    else:
        mirror.record_read(store.revision)
        mirror.apply_snapshot(store.items.values(), store.revision)


@define(eq=False)
class RandomPlay:
    """Change a store, and let readers and a follower catch up at random."""

    chance: random.Random
    store: SharedStore = field(factory=SharedStore)
    readers: list[tuple[StoreMirror, ChangeLog]] = field(factory=list)
    follower: StoreMirror = field(factory=lambda: StoreMirror(None))

    def __attrs_post_init__(self) -> None:
        """Start two readers."""
        self.readers.extend((_reader(), _reader()))

    def step(self) -> None:
        """Do one thing; readers rarely start again."""
        often = (self.write, self.remove, self.read, self.read, self.follow)
        self.chance.choice((*often, *often, self.restart))()

    def write(self) -> None:
        """Write a key."""
        self.store.write(self.chance.choice(KEYS), b'')

    def remove(self) -> None:
        """Remove a key."""
        key = self.chance.choice(KEYS)
        if key in self.store.items:
            self.store.remove(key)

    def read(self) -> None:
        """Let a reader catch up."""
        _read(self.store, self.chance.choice(self.readers)[0])

    def restart(self) -> None:
        """Start a reader again, without what it knew."""
        self.readers[self.chance.randrange(len(self.readers))] = _reader()

    def follow(self) -> None:
        """Let the follower ask a reader that has read the store."""
        mirror, log = self.chance.choice(self.readers)
        changes = log.changes(self.follower.revision, 0)
        if mirror.revision and changes.revision >= self.follower.revision:
            self.follower.apply_changes(changes)


@pytest.mark.parametrize('seed', range(200))
def test_follower_ends_with_the_stored_items(seed):
    """Readers catch up, start again and are followed in any order."""
    play = RandomPlay(random.Random(seed))

    async def run() -> None:
        while play.store.revision < PLAYED_CHANGES:
            play.step()
        for mirror, _ in play.readers:
            _read(play.store, mirror)
        play.follow()
        assert play.follower.items == play.store.items

    trio.run(run)


def test_oldest_removals_are_forgotten():
    """Who knows less than the oldest removal kept is told all items."""
    mirror, log = _reader()

    async def play() -> None:
        mirror.apply_snapshot([StoreItem('kept', b'', 1)], 1)
        for revision in range(2, MAX_REMOVALS + 10):
            gone = StoreItem('gone', b'', revision)
            mirror.apply_changes(StoreChanges((gone,), (), revision))
            mirror.apply_changes(StoreChanges((), ('gone',), revision))
        assert len(log.removals) == MAX_REMOVALS
        assert log.changes(2, 0).complete
        assert [one.key for one in log.changes(2, 0).written] == ['kept']
        recent = log.changes(mirror.revision - 1, 0)
        assert (recent.complete, recent.removed) == (False, ('gone',))

    trio.run(play, clock=MockClock(autojump_threshold=0))


def test_loss_of_the_store_ends_the_wait_of_followers():
    """They ask another process at once."""
    mirror, log = _reader()
    service = ReaderService(log)

    async def play() -> None:
        mirror.record_read(3)
        mirror.apply_snapshot([], 3)
        mirror.loaded.set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_lose_later, mirror)
            asked = wire.AwaitChanges(after_revision=3, wait_seconds=2)
            reply = await service.await_changes(None, asked)
        assert not reply.reads
        assert trio.current_time() - started_at < TOLD_SECONDS

    async def _lose_later(mirror: StoreMirror) -> None:
        await trio.sleep(READ_SECONDS)
        mirror.record_loss(StoreUnavailableError('away'))

    clock = MockClock(autojump_threshold=0)
    started_at = clock.current_time()
    trio.run(play, clock=clock)
