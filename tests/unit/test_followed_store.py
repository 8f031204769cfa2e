"""Check that processes follow the changes of the store through few readers."""

import pytest
import trio
from trio.testing import MockClock

from jasminewheel._internal.store.contact import HEARTBEAT_SECONDS
from tests.store_readers import ReaderWorld

# Limits that the users set for their smallest deployments.
CONFIGURATION_SECONDS = 2.5
DRAIN_SECONDS = 2.5
CONTACT_SECONDS = 4.0
RELIST_SECONDS = 2.0
# A change in calm is known well within the limits.
CALM_SECONDS = 0.5
START_SECONDS = 3.0
CALM_PERIOD_SECONDS = 20
# How long a start may take until the items are known.
START_THROUGH_READER_SECONDS = 0.1
START_ALONE_SECONDS = 0.25
LEFT = 'servers/left'


def _run_scenario(scenario, followers: int = 1) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            world = ReaderWorld(nursery, followers)
            world.start()
            with trio.fail_after(120):
                await scenario(world)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


def _knows(world, process) -> bool:
    return process.mirror.known_revision == world.store.revision


@pytest.mark.parametrize('followers', [1, 10, 100])
def test_calls_of_the_store_do_not_grow_with_followers(followers):
    """In calm and through changes only the readers call the store."""

    async def scenario(world) -> None:
        await trio.sleep_until(START_SECONDS)
        before = world.follower_calls(), world.reader_calls()
        while trio.current_time() < START_SECONDS + CALM_PERIOD_SECONDS:
            world.store.write('op/config', b'')
            await trio.sleep(1)
        assert world.follower_calls() == before[0]
        calls = world.reader_calls() - before[1]
        assert calls <= 1.5 * CALM_PERIOD_SECONDS * len(world.readers)

    _run_scenario(scenario, followers)


def test_followers_are_spread_over_equal_readers():
    """No reader serves most of the followers."""

    async def scenario(world) -> None:
        await trio.sleep_until(START_SECONDS)
        followed = [one.followed for one in world.all_followers()]
        shares = [followed.count(one) for one in world.readers]
        assert sum(shares) == len(followed)
        assert max(shares) < 2 * min(shares)

    _run_scenario(scenario, followers=100)


def test_changes_are_known_at_once():
    """A written and a removed key reach each follower."""

    async def scenario(world) -> None:
        await trio.sleep_until(START_SECONDS)
        world.store.write('op/config', b'1')
        world.store.remove(LEFT)
        await trio.sleep(CALM_SECONDS)
        for follower in world.all_followers():
            assert follower.mirror.items == world.store.items
            assert not follower.uses('left')
            assert follower.uses('stays')

    _run_scenario(scenario, followers=10)


@pytest.mark.parametrize('lost', [1, 2, 3])
@pytest.mark.parametrize('moment', [0, 0.7, 1.9, 3.1])
@pytest.mark.parametrize('how', ['silent', 'stopped', 'refused', 'deaf'])
def test_lost_readers_delay_a_change_within_its_bound(how, lost, moment):
    """Other readers are followed, without any of them the store itself.

    A reader is lost if it freezes, if it stops, or if the store refuses or
    does not answer it. The change is made after the loss; its bound counts
    once all processes that are well had time to notice.
    """

    async def scenario(world) -> None:
        await trio.sleep_until(START_SECONDS)
        order = [world.followed().address, *world.readers]
        for address in list(dict.fromkeys(order))[:lost]:
            _lose(world, address, how)
        lost_at = trio.current_time()
        await trio.sleep(moment)
        world.store.write('op/config', b'1')
        due_at = max(lost_at + CONTACT_SECONDS, trio.current_time())
        await trio.sleep_until(due_at + CONFIGURATION_SECONDS)
        assert _knows(world, world.first())

    _run_scenario(scenario)


def _lose(world, address: str, how: str) -> None:
    reader = world.reader(address)
    if how == 'stopped':
        world.stop_process(address)
    elif how == 'refused':
        reader.connection.refused = True
        reader.connection.cut_watches()
    else:
        reader.silent = how == 'silent'
        reader.connection.silent = True


def test_follower_goes_back_to_a_reader():
    """After all readers were lost, the store is read directly for a while."""

    async def scenario(world) -> None:
        await trio.sleep_until(START_SECONDS)
        for address in world.readers:
            world.reader(address).silent = True
        await trio.sleep(8)
        assert not world.first().followed
        for address in world.readers:
            world.reader(address).silent = False
        await trio.sleep(10)
        calls = world.follower_calls()
        await trio.sleep(10)
        assert world.follower_calls() == calls

    _run_scenario(scenario)


def test_reader_that_lies_behind_is_not_followed_back():
    """What a follower knows never gets older when it changes its reader."""

    async def scenario(world) -> None:
        await trio.sleep_until(START_SECONDS)
        behind = [
            one for one in world.readers if one != world.followed().address
        ]
        for address in behind:
            world.reader(address).connection.watch_stalled = True
        world.store.write('op/config', b'new')
        await trio.sleep(CALM_SECONDS)
        known = world.first().mirror.known_revision
        assert known == world.store.revision
        world.stop_process(world.followed().address)
        ends_at = trio.current_time() + CONTACT_SECONDS
        while trio.current_time() < ends_at:
            await trio.sleep(0.05)
            assert world.first().mirror.items['op/config'].value == b'new'
            assert world.first().mirror.known_revision >= known

    _run_scenario(scenario)


def test_store_is_not_flooded_in_an_outage():
    """Followers leave it to the readers to notice the end of an outage."""
    followers = 50

    async def scenario(world) -> None:
        await trio.sleep_until(START_SECONDS)
        for process in world.pool.processes.values():
            process.connection.refused = True
            process.connection.cut_watches()
        await trio.sleep(1)
        calls = world.follower_calls()
        await trio.sleep(10)
        assert world.follower_calls() - calls <= 1.5 * 10 * followers
        for process in world.pool.processes.values():
            process.connection.refused = False
        world.store.write('op/config', b'1')
        await trio.sleep(CONFIGURATION_SECONDS)
        assert all(_knows(world, one) for one in world.all_followers())

    _run_scenario(scenario, followers)


def test_start_reads_through_a_reader():
    """A process that starts beside running readers calls no store."""

    async def scenario(world) -> None:
        await trio.sleep_until(START_SECONDS)
        world.start_process('follower-0')
        follower = world.first()
        took = await world.wait_for(follower.mirror.loaded.is_set)
        assert took < START_THROUGH_READER_SECONDS
        assert follower.mirror.items == world.store.items
        assert not follower.connection.calls

    _run_scenario(scenario)


@pytest.mark.parametrize('how', ['silent', 'stopped'])
def test_start_without_readers_reads_the_store(how):
    """Readers that do not reply delay the start by little."""

    async def scenario(world) -> None:
        await trio.sleep_until(START_SECONDS)
        for address in world.readers:
            _lose(world, address, how)
        world.start_process('follower-0')
        follower = world.first()
        took = await world.wait_for(lambda: bool(follower.mirror.items))
        assert took < START_ALONE_SECONDS
        assert follower.mirror.items == world.store.items

    _run_scenario(scenario)


@pytest.mark.parametrize('away_seconds', [4.5, 9.0])
def test_lapsed_runner_is_used_until_it_can_register_again(away_seconds):
    """The store was away for all; a missing runner may have lapsed only."""

    async def scenario(world) -> None:
        await trio.sleep_until(START_SECONDS)
        world.set_store_silent(silent=True)
        await trio.sleep(away_seconds)
        world.store.remove(LEFT)
        world.set_store_silent(silent=False)
        lapsed_until = trio.current_time() + RELIST_SECONDS
        while trio.current_time() < lapsed_until:
            assert world.first().uses('left')
            await trio.sleep(0.1)
        await trio.sleep(CONTACT_SECONDS)
        assert not world.first().uses('left')
        assert world.first().uses('stays')

    _run_scenario(scenario)


def test_missed_outage_removes_no_lapsed_runner():
    """Its reader froze, the store was away, and another reader is new.

    The other reader has just started and cannot know of the outage.
    """

    async def scenario(world) -> None:
        await trio.sleep_until(START_SECONDS)
        frozen = world.followed()
        others = [one for one in world.readers if one != frozen.address]
        frozen.silent = True
        world.first().connection.silent = True
        for address in others:
            world.stop_process(address)
        await trio.sleep(HEARTBEAT_SECONDS + 0.1)
        world.store.remove(LEFT)
        world.first().connection.silent = False
        for address in others:
            world.start_process(address)
        await trio.sleep(RELIST_SECONDS - 0.2)
        assert world.first().uses('left')
        world.store.list_runner('left')
        await trio.sleep(CONTACT_SECONDS)
        assert world.first().uses('left')

    _run_scenario(scenario)


def test_runner_that_left_is_dropped_beside_a_new_reader():
    """A reader that has just started tells of removals in calm at once."""

    async def scenario(world) -> None:
        await trio.sleep_until(START_SECONDS)
        address = world.followed().address
        world.stop_process(address)
        world.start_process(address)
        await trio.sleep(0.3)
        world.store.remove(LEFT)
        await trio.sleep(DRAIN_SECONDS)
        assert not world.first().uses('left')
        assert world.first().uses('stays')

    _run_scenario(scenario)


def test_follower_that_missed_much_is_told_all_items():
    """A reader keeps the latest removals only."""

    async def scenario(world) -> None:
        await trio.sleep_until(START_SECONDS)
        follower = world.first()
        follower.connection.silent = True
        for address in world.readers:
            world.reader(address).silent = True
        await trio.sleep(1)
        for number in range(3000):
            world.store.write(f'servers/{number}', b'{}')
        for number in range(2990):
            world.store.remove(f'servers/{number}')
        await trio.sleep(1)
        for address in world.readers:
            world.reader(address).silent = False
        await trio.sleep(10)
        assert follower.mirror.items == world.store.items

    _run_scenario(scenario)


def test_restart_of_readers_leaves_the_store_alone():
    """Followers wait a moment for readers that start again together."""

    async def scenario(world) -> None:
        await trio.sleep_until(START_SECONDS)
        calls = world.follower_calls()
        for address in world.readers:
            world.stop_process(address)
        await trio.sleep(0.3)
        for address in world.readers:
            world.start_process(address)
        world.store.write('op/config', b'1')
        await trio.sleep(CONFIGURATION_SECONDS)
        assert all(_knows(world, one) for one in world.all_followers())
        assert world.follower_calls() == calls

    _run_scenario(scenario, followers=10)


def test_news_of_a_compaction_comes_at_once():
    """Guard against CONFIG: watches are cut as the history is dropped."""

    async def scenario(world) -> None:
        await trio.sleep_until(START_SECONDS)
        for address in world.readers:
            world.reader(address).connection.watch_stalled = True
        world.store.write('op/config', b'1')
        await trio.sleep(0.05)
        world.store.forgotten = world.store.revision
        for address in world.readers:
            world.reader(address).connection.watch_stalled = False
            world.reader(address).connection.cut_watches()
        await trio.sleep(CALM_SECONDS)
        assert all(_knows(world, one) for one in world.all_followers())

    _run_scenario(scenario, followers=10)


def test_cut_watch_of_a_reader_is_no_loss():
    """The store may cut a watch that waits; the reader asks again at once."""

    async def scenario(world) -> None:
        await trio.sleep_until(START_SECONDS)
        for address in world.readers:
            world.reader(address).connection.cut_watches()
        await trio.sleep(0.1)
        for process in world.pool.processes.values():
            assert process.mirror.contact.lost_at is None
            assert process.mirror.available
        assert not world.first().mirror.store.client.failing

    _run_scenario(scenario)
