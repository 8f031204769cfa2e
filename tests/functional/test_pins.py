"""Check that engines hold prefixes for living programs only."""

import trio
from stand_ins import serving

from jasminewheel._internal.fakes.engine import FakeEngine, FakeEngineSettings
from jasminewheel._internal.targets.certainty import LeaseCertainty
from jasminewheel._internal.targets.clients import ClientPool
from jasminewheel._internal.targets.engine import EngineRequest
from jasminewheel._internal.targets.pins import (
    PIN_TTL_SECONDS,
    PinKeeper,
    PinnedPrefix,
)
from jasminewheel._internal.targets.prefix import chain

MESSAGES = ({'role': 'user', 'content': 'jute sacks, lot 7'},)
BLOCK = chain(MESSAGES)[-1].block


async def make_prefix(clients, url):
    """Let the engine compute the prefix."""
    request = EngineRequest('one', 'm', MESSAGES, 2)
    async with clients.engine(url).generate(request) as answer:
        parts = [part async for part in answer]
    assert parts


async def with_keepers(check, *, is_fenced=True):
    """Run check with an engine and the keepers of two owners."""
    engine = FakeEngine(FakeEngineSettings(is_fenced=is_fenced))
    async with serving(engine) as url, ClientPool() as clients:
        await make_prefix(clients, url)
        keepers = [PinKeeper(clients, LeaseCertainty()) for _ in range(2)]
        await check(engine, url, keepers)


def prefix(url, fence, *, is_fenced=True):
    """Name the prefix under a fence."""
    return PinnedPrefix(url, BLOCK, fence, is_fenced)


async def check_release(engine, url, keepers):
    """Two programs hold one prefix; both end."""
    keeper = keepers[0]
    assert await keeper.hold('p', prefix(url, 1), 60)
    assert await keeper.hold('q', prefix(url, 1), 60)
    await keeper.release('p')
    assert set(engine.cache.pins) == {BLOCK}
    await keeper.release('q')
    assert not engine.cache.pins


def test_release():
    """The end of the last program that holds a prefix frees it."""
    trio.run(with_keepers, check_release)


async def check_hold_ends(engine, url, keepers):
    """Hold a prefix for no longer than was asked."""
    assert await keepers[0].hold('p', prefix(url, 1), 0)
    await keepers[0].renew_all()
    assert not engine.cache.pins
    assert not keepers[0].holds


def test_hold_ends():
    """A pause that takes too long loses its pin."""
    trio.run(with_keepers, check_hold_ends)


async def check_new_owner(engine, url, keepers):
    """Let a new owner hold the prefix that the old one still renews."""
    old, new = keepers
    await old.hold('p', prefix(url, 1), 60)
    await new.hold('p', prefix(url, 2), 60)
    await old.renew_all()
    assert not old.holds
    assert engine.cache.pins[BLOCK].fence == 2


def test_new_owner():
    """The old owner's renewal is refused, and it stops."""
    trio.run(with_keepers, check_new_owner)


async def check_death(engine, url, keepers):
    """Let the owner die: nobody renews."""
    await keepers[0].hold('p', prefix(url, 1), 60)
    pin = engine.cache.pins[BLOCK]
    left = pin.expires_at - trio.current_time()
    assert left <= PIN_TTL_SECONDS
    engine.cache.expire(pin.expires_at)
    assert not engine.cache.pins


def test_death():
    """What a dead owner held lapses by itself."""
    trio.run(with_keepers, check_death)


async def check_gone(engine, url, keepers):
    """Release while the engine does not answer."""
    await keepers[0].hold('p', prefix(url, 1), 60)
    engine.faults.install({'mode': 'error', 'path_part': 'pins'})
    await keepers[0].release('p')
    assert not keepers[0].holds


def test_engine_does_not_answer():
    """A release that fails is left to the expiry."""
    trio.run(with_keepers, check_gone)


async def check_unfenced(engine, url, keepers):
    """Order an engine that ignores fences, with and without a lease."""
    keeper = keepers[0]
    assert not await keeper.hold('p', prefix(url, 1, is_fenced=False), 60)
    assert not engine.cache.pins
    keeper.certainty.renewed(trio.current_time(), 30)
    assert await keeper.hold('p', prefix(url, 1, is_fenced=False), 60)
    keeper.certainty.given_up()
    await keeper.release('p')
    assert set(engine.cache.pins) == {BLOCK}


def test_unfenced():
    """An engine that ignores fences is ordered under a certain lease only."""
    trio.run(lambda: with_keepers(check_unfenced, is_fenced=False))


def test_certainty():
    """The lease counts from before the renewal was sent."""
    certainty = LeaseCertainty()
    assert not certainty.covers(0, 0)
    certainty.renewed(100, 30)
    assert certainty.covers(120, 9)
    assert not certainty.covers(120, 10)
    certainty.renewed(90, 30)
    assert certainty.covers(129, 0.5)
