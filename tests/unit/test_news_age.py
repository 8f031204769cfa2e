"""Check within which time news of the store reaches who follows a reader."""

from functools import partial
from itertools import product

import pytest
import trio
from trio.testing import MockClock

from tests.store_readers import ReaderWorld

# Limits that the users set: from the acknowledgement of a change to the last
# request that is handled without it.
DRAIN_SECONDS = 2.5
CONFIGURATION_SECONDS = 2.5
START_SECONDS = 6.0
# After the start, and from the loss to the change.
PHASES = (0.1, 0.4, 0.7, 1.0, 1.3, 1.6, 1.9, 2.2)
CHANGE_SECONDS = (0, 0.4, 1.1, 2.0)
LEFT = 'servers/left'
FOLLOWERS = 3


def _run_scenario(scenario) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            world = ReaderWorld(nursery, FOLLOWERS)
            world.start()
            with trio.fail_after(120):
                await scenario(world)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


def _late_moments(lose) -> list[tuple[float, float]]:
    """Lose something at several phases; return when news came late."""
    late = []
    for moment in product(PHASES, CHANGE_SECONDS):
        try:
            _run_scenario(partial(_lose_then_change, lose, *moment))
        except* AssertionError:
            late.append(moment)
    return late


async def _lose_then_change(lose, phase, after_seconds, world) -> None:
    await trio.sleep_until(START_SECONDS + phase)
    lose(world)
    await _change_and_check(world, after_seconds)


async def _change_and_check(world, after_seconds: float) -> None:
    """Change a configuration and remove a runner; check when it is known."""
    await trio.sleep(after_seconds)
    world.store.write('op/config', b'1')
    revision = world.store.revision
    await trio.sleep(0.1)
    world.store.remove(LEFT)
    await trio.sleep(CONFIGURATION_SECONDS - 0.1)
    for follower in world.all_followers():
        assert follower.mirror.known_revision >= revision
    await trio.sleep(0.1)
    assert not any(one.uses('left') for one in world.all_followers())


@pytest.mark.parametrize('ways', ['calls', 'questions', 'both'])
def test_silent_connections_do_not_delay_news(ways):
    """Open connections of all processes fall silent; new ones work."""

    def lose(world) -> None:
        if ways != 'questions':
            world.lose_open_calls()
        if ways != 'calls':
            world.pool.lose_open_questions()

    assert not _late_moments(lose)


@pytest.mark.parametrize('lost', [1, 2])
@pytest.mark.parametrize('how', ['frozen', 'cut', 'stopped'])
def test_lost_readers_do_not_delay_news(how, lost):
    """Readers freeze, are cut off from the store alone, or stop."""

    def lose(world) -> None:
        order = [world.followed().address, *world.readers]
        for address in list(dict.fromkeys(order))[:lost]:
            _lose_reader(world, address, how)

    assert not _late_moments(lose)


def _lose_reader(world, address: str, how: str) -> None:
    reader = world.reader(address)
    if how == 'stopped':
        world.stop_process(address)
        return
    reader.silent = how == 'frozen'
    reader.connection.silent = True
    reader.connection.lose_open_calls()
