"""Check that engines keep pins of running, owned programs only."""

from functools import partial

import pytest
import trio
from attrs import define
from stand_ins import serving

from jasminewheel._internal.fakes.engine import FakeEngine, FakeEngineSettings
from jasminewheel._internal.scheduling.explanations import ExplanationLog
from jasminewheel._internal.scheduling.retention import (
    PIN_TTL_SECONDS,
    PausedProgram,
    Pin,
    PinOrder,
    RetentionController,
)
from jasminewheel._internal.targets.clients import ClientPool
from jasminewheel._internal.targets.engine import EngineRequest
from jasminewheel._internal.targets.prefix import chain

MESSAGES = ({'role': 'user', 'content': 'jute sacks, lot 7'},)
BLOCK = chain(MESSAGES)[-1].block


@define
class Bench:
    """Combine an engine, its retention controller and program ownership."""

    engine: FakeEngine
    controller: RetentionController
    now: float = 1000
    is_owned: bool = True

    async def pause(self, url, seconds):
        """Start the pause of a program, with its prefix pinned."""
        pin = Pin(url, BLOCK, 8, self.now + seconds)
        self.controller.programs['p'] = PausedProgram(self.now, 'tool', pin)
        self.controller.pinned_tokens[url] = 8
        self.controller.order_sender.send_nowait(PinOrder(pin, seconds))
        await self.wait_for_pins(1)

    async def wait_for_pins(self, count):
        """Wait until the engine has the given number of pins."""
        with trio.fail_after(5):
            while len(self.engine.cache.pins) != count:
                await trio.sleep(0.01)

    def pin_expiry(self):
        """Return the time at which the pin expires in the engine."""
        cache = self.engine.cache
        return cache.pins[BLOCK].expires_at

    def renew(self):
        """Renew the pins at the current time of the bench."""
        self.controller.renew(lambda _: self.is_owned, self.now)


async def with_bench(check):
    """Run check with an engine that has computed the prefix."""
    engine = FakeEngine(FakeEngineSettings())
    controller = RetentionController(ExplanationLog())
    async with serving(engine) as url, ClientPool() as clients:
        request = EngineRequest('one', 'm', MESSAGES, 2)
        async with clients.engine(url).generate(request) as answer:
            parts = [part async for part in answer]
        assert parts
        async with trio.open_nursery() as nursery:
            bench = Bench(engine, controller)
            nursery.start_soon(
                controller.run,
                clients,
                lambda _: bench.is_owned,
                lambda: bench.now,
            )
            await check(bench, url)
            nursery.cancel_scope.cancel()


def run(check):
    """Run a check."""
    trio.run(partial(with_bench, check))


async def check_owner_failure(bench, url):
    """Pin for a long pause, without renewal."""
    await bench.pause(url, 300)
    left = bench.pin_expiry() - trio.current_time()
    assert left <= PIN_TTL_SECONDS


def test_owner_fails():
    """The pin of a failed owner expires soon, however long the pause."""
    run(check_owner_failure)


async def check_renewal(bench, url):
    """Renew within the pause, not after it."""
    await bench.pause(url, 300)
    first = bench.pin_expiry()
    bench.now += 10
    bench.renew()
    with trio.fail_after(5):
        while bench.pin_expiry() <= first:
            await trio.sleep(0.01)
    bench.now += 300
    bench.renew()
    assert bench.controller.programs['p'].pin is None
    assert not bench.controller.pinned_tokens[url]


def test_renewal():
    """A pin is renewed while its pause may last."""
    run(check_renewal)


async def check_lost_slot(bench, url):
    """Transfer the program to another owner."""
    await bench.pause(url, 300)
    bench.is_owned = False
    bench.renew()
    assert bench.controller.programs['p'].pin is None
    assert not bench.controller.pinned_tokens[url]
    # The new owner may have pinned the same prefix.
    assert len(bench.engine.cache.pins) == 1


def test_lost_slot():
    """The pin of a program that is owned elsewhere is not renewed."""
    run(check_lost_slot)


@pytest.mark.parametrize('mode', ['ok', 'error'])
def test_end(mode):
    """The end of a program releases its pin, or lets it expire."""

    async def check(bench, url):
        await bench.pause(url, 300)
        bench.engine.faults.install({'mode': mode, 'path_part': 'pins'})
        bench.controller.handle_end('p')
        if mode == 'ok':
            await bench.wait_for_pins(0)
        assert not bench.controller.pinned_tokens[url]
        assert 'p' not in bench.controller.programs

    run(check)
