"""Check that large values reach processes behind a narrow link in time."""

from random import Random

import trio
from attrs import define, field
from trio.testing import MockClock

from tests.slow_link import SlowLink
from tests.store_readers import ReaderWorld

# The users' bound on large deployments, and the link between their regions.
CONFIGURATION_SECONDS = 4.0
LINK_BYTES_PER_SECOND = 3750000
VALUE_BYTES = 700000
LARGE_KEY = 'op/large'
WORD_BYTES = 24
READERS = ('a', 'b', 'c', 'd', 'e')
FAR_READERS = ('c', 'd', 'e')
FOLLOWERS = 25
START_SECONDS = 6.0
SILENT_SECONDS = 1.0
READERS_SILENT_SECONDS = 2.2
CHANGES = 10
CHANGE_SECONDS = 0.33


@define(eq=False)
class LargeValue:
    """Make versions of a large value that differ in one place."""

    random: Random = field(factory=lambda: Random(1))
    words: list[bytes] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the first version."""
        count = VALUE_BYTES // (2 * WORD_BYTES)
        self.words = [self.new_word() for _ in range(count)]

    def new_word(self) -> bytes:
        """Return a word that no other one resembles."""
        return self.random.randbytes(WORD_BYTES).hex().encode()

    def next_version(self) -> bytes:
        """Return a version with one other word."""
        place = self.random.randrange(len(self.words))
        self.words[place] = self.new_word()
        return b''.join(self.words)


def _run_far_followers(scenario) -> None:
    """Run a scenario whose followers all stand far from the store."""

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            world = ReaderWorld(nursery, FOLLOWERS)
            world.readers = READERS
            world.far = frozenset((*FAR_READERS, *world.follower_addresses()))
            world.link = SlowLink(LINK_BYTES_PER_SECOND)
            world.store.write(LARGE_KEY, b'')
            world.start()
            with trio.fail_after(120):
                await scenario(world)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


async def _check_known_in_time(world, revision: int) -> None:
    """Check that all followers know a revision within the bound."""
    with trio.fail_after(CONFIGURATION_SECONDS):
        while world.link:
            known = [one.mirror.known_revision for one in world.all_followers()]
            if min(known) >= revision:
                return
            await trio.sleep(0.05)


async def _change_in_series(world, large: LargeValue) -> None:
    """Change the value in quick succession; check each change."""
    ends_at = trio.current_time() + CHANGES * CHANGE_SECONDS
    async with trio.open_nursery() as nursery:
        while trio.current_time() < ends_at:
            world.store.write(LARGE_KEY, large.next_version())
            nursery.start_soon(
                _check_known_in_time, world, world.store.revision
            )
            await trio.sleep(CHANGE_SECONDS)


async def _forget_history(world) -> None:
    """Let the watches hear nothing for a while, then lose them."""
    connections = [one.connection for one in world.pool.processes.values()]
    for connection in connections:
        connection.watch_stalled = True
    await trio.sleep(SILENT_SECONDS)
    world.store.forget_history()
    for stalled in connections:
        stalled.watch_stalled = False
        stalled.cut_watches()


def test_series_of_large_changes_is_known_in_time():
    """Each version alone would take a quarter of a second on the link."""

    async def scenario(world) -> None:
        large = LargeValue()
        await trio.sleep_until(START_SECONDS)
        world.store.write(LARGE_KEY, large.next_version())
        await _check_known_in_time(world, world.store.revision)
        await _change_in_series(world, large)

    _run_far_followers(scenario)


def test_large_value_is_known_in_time_after_lost_history():
    """All processes have to read all keys, and the value changes meanwhile."""

    async def scenario(world) -> None:
        large = LargeValue()
        await trio.sleep_until(START_SECONDS)
        world.store.write(LARGE_KEY, large.next_version())
        await _check_known_in_time(world, world.store.revision)
        await _forget_history(world)
        await _change_in_series(world, large)

    _run_far_followers(scenario)


def test_followers_leave_the_reading_of_all_keys_to_readers():
    """A lost history of the store does not send all processes to it."""

    async def scenario(world) -> None:
        large = LargeValue()
        await trio.sleep_until(START_SECONDS)
        world.store.write(LARGE_KEY, large.next_version())
        await _check_known_in_time(world, world.store.revision)
        followers = world.all_followers()
        before = sum(one.connection.snapshots for one in followers)
        await _forget_history(world)
        world.store.write(LARGE_KEY, large.next_version())
        await _check_known_in_time(world, world.store.revision)
        assert before == sum(one.connection.snapshots for one in followers)

    _run_far_followers(scenario)


async def _silence_readers(world) -> None:
    """Let the store answer no reader for a while."""
    for address in READERS:
        connection = world.reader(address).connection
        connection.silent = True
        connection.lose_open_calls()
    await trio.sleep(READERS_SILENT_SECONDS)
    for one in READERS:
        world.reader(one).connection.silent = False


def test_lost_watches_send_few_followers_to_the_store():
    """All lose their reader at the same moment, and it is soon back."""

    async def scenario(world) -> None:
        large = LargeValue()
        await trio.sleep_until(START_SECONDS)
        world.store.write(LARGE_KEY, large.next_version())
        await _check_known_in_time(world, world.store.revision)
        before = world.follower_calls()
        await _silence_readers(world)
        world.store.write(LARGE_KEY, large.next_version())
        await _check_known_in_time(world, world.store.revision)
        assert world.follower_calls() - before <= FOLLOWERS / 2

    _run_far_followers(scenario)
