"""Check that runners that left get no calls, but lapsed ones do for a while."""

import math
from contextlib import asynccontextmanager, suppress
from functools import partial

import pytest
import trio
from attrs import define, field
from trio.testing import MockClock

from jasminewheel._internal.gateway.attempts import CallRecord, RetryingSender
from jasminewheel._internal.gateway.call import Call
from jasminewheel._internal.gateway.choice import CallRequirements, RunnerChoice
from jasminewheel._internal.gateway.routes import CallKind, Route, TargetShare
from jasminewheel._internal.gateway.runners import Runner, RunnerDirectory
from jasminewheel._internal.store.known_items import KnownItemsFetcher
from jasminewheel.errors import CallError
from tests.entry_and_peers import Processes

# Limits that the users set for their first deployments.
DRAIN_SECONDS = 2.5
CONTACT_SECONDS = 4.0
RELIST_SECONDS = 2.0
LEFT = 'servers/left'


def _run_scenario(scenario, *, follows: bool = False) -> None:
    async def run() -> None:
        world = Processes(follows)
        fetcher = KnownItemsFetcher(
            world.entry.mirror, world, tuple(world.others)
        )
        async with trio.open_nursery() as nursery:
            for process in world.all():
                nursery.start_soon(process.mirror.run)
            nursery.start_soon(fetcher.run)
            await scenario(world)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@pytest.fixture(params=[False, True], ids=['watches', 'follows'])
def run_scenario(request):
    """Run a scenario whose entry watches the store or follows its peers."""
    return partial(_run_scenario, follows=request.param)


@pytest.mark.parametrize('alone', [False, True])
def test_reconnected_entry_uses_no_runner_that_left(run_scenario, alone):
    """Guard against DRAIN: the loss of one entry's connection is no outage.

    A runner that leaves after the entry reconnected is removed in time; it is
    not retained as if its entry had lapsed with the store.
    """

    async def scenario(world) -> None:
        for other in world.others.values():
            other.unresponsive = alone
        await trio.sleep_until(1)
        world.entry.connection.silent = True
        healed_at = 5.3
        await trio.sleep_until(healed_at)
        world.entry.connection.silent = False
        await trio.sleep(0.15)
        world.store.remove(LEFT)
        await trio.sleep_until(healed_at + CONTACT_SECONDS)
        assert not world.entry.uses('left')
        assert world.entry.uses('stays')

    run_scenario(scenario)


def test_runner_that_left_while_watches_failed_is_not_used(run_scenario):
    """Guard against DRAIN: watches of all processes fail at one moment.

    The runner leaves while no watch reports changes, and the store no longer
    has the history from which the watches could resume.
    """

    async def scenario(world) -> None:
        await trio.sleep_until(2)
        for process in world.all():
            process.connection.watch_stalled = True
        await trio.sleep(0.9)
        world.store.remove(LEFT)
        removed_at = trio.current_time()
        await trio.sleep(0.3)
        world.store.forgotten = world.store.revision
        for process in world.all():
            process.connection.watch_stalled = False
            process.connection.cut_watches()
        await trio.sleep_until(removed_at + DRAIN_SECONDS)
        assert not world.entry.uses('left')
        assert world.entry.uses('stays')

    run_scenario(scenario)


@pytest.mark.parametrize('moment', range(10))
def test_entry_turned_away_hears_of_runners_that_left(run_scenario, moment):
    """Guard against DRAIN: the store refuses the entry, and most peers fail.

    Of three peers that the entry asks, one is unresponsive, the store refuses
    another, and only the third reads the store.
    """

    async def scenario(world) -> None:
        await trio.sleep_until(1)
        world.entry.connection.refused = True
        world.entry.connection.cut_watches()
        world.others['a'].unresponsive = True
        world.others['b'].connection.refused = True
        world.others['b'].connection.cut_watches()
        await trio.sleep_until(9 + moment * 0.3)
        world.store.remove(LEFT)
        await trio.sleep(DRAIN_SECONDS)
        assert not world.entry.uses('left')
        assert world.entry.uses('stays')

    run_scenario(scenario)


async def _away_for_all(world) -> float:
    await trio.sleep_until(1)
    for process in world.all():
        process.connection.silent = True
    await trio.sleep_until(10)
    world.store.remove(LEFT)
    for process in world.all():
        process.connection.silent = False
    return trio.current_time()


def test_lapsed_runner_is_used_until_it_can_register_again(run_scenario):
    """The store was unavailable to all; the lapsed runner registers again."""

    async def scenario(world) -> None:
        await _away_for_all(world)
        await trio.sleep(RELIST_SECONDS - 0.1)
        assert world.entry.uses('left')
        world.store.list_runner('left')
        await trio.sleep(RELIST_SECONDS + 2)
        assert world.entry.uses('left')

    run_scenario(scenario)


def test_lapsed_runner_that_does_not_register_is_removed(run_scenario):
    """It is removed two seconds after the store is seen available again."""

    async def scenario(world) -> None:
        returned_at = await _away_for_all(world)
        while not world.entry.mirror.available:
            await trio.sleep(0.01)
        noticed_at = trio.current_time()
        assert noticed_at < returned_at + RELIST_SECONDS
        await trio.sleep_until(noticed_at + RELIST_SECONDS + 0.05)
        assert not world.entry.uses('left')

    run_scenario(scenario)


def test_lapse_reported_by_a_peer_removes_no_runner(run_scenario):
    """A peer that lost the store again cannot confirm that a runner left."""

    async def scenario(world) -> None:
        await _away_for_all(world)
        world.entry.connection.refused = True
        await trio.sleep(2)
        assert world.entry.uses('left')
        for other in world.others.values():
            other.connection.refused = True
            other.connection.cut_watches()
        await trio.sleep(6)
        assert world.entry.uses('left')
        world.entry.connection.refused = False
        await trio.sleep(RELIST_SECONDS + 1)
        assert not world.entry.uses('left')

    run_scenario(scenario)


def test_runner_with_an_unreadable_entry_is_not_used(run_scenario):
    """An entry that exists has not lapsed, whatever happened to the store."""

    async def scenario(world) -> None:
        for other in world.others.values():
            other.unresponsive = True
        await trio.sleep_until(1)
        world.entry.connection.refused = True
        world.entry.connection.cut_watches()
        await trio.sleep(4)
        world.entry.connection.refused = False
        world.store.write(LEFT, b'{"State": 7}')
        await trio.sleep(0.8)
        assert not world.entry.uses('left')

    run_scenario(scenario)


def test_runner_that_left_in_a_short_outage_is_not_used():
    """Guard against DRAIN: a peer that has just started confirms nothing.

    It reports the newest revision, but not that the runner left; the entry
    removes the runner once it reads the store itself.
    """

    async def scenario(world) -> None:
        await trio.sleep_until(0.5)
        world.entry.connection.refused = True
        world.entry.connection.cut_watches()
        world.store.remove(LEFT)
        await trio.sleep(0.5)
        assert world.entry.mirror.known_revision == world.store.revision
        assert world.entry.uses('left')
        world.entry.connection.refused = False
        await trio.sleep(0.5)
        assert not world.entry.uses('left')

    _run_scenario(scenario)


@define(eq=False)
class SlowPort:
    """Open connections slowly, and record the runners that get the call."""

    started: list[str] = field(factory=list)
    sent: list[str] = field(factory=list)
    status: int = 200
    refused: bool = False
    headers: list = field(factory=list)
    load: None = None
    leaving: bool = False
    limit_rate: float | None = None

    @asynccontextmanager
    async def attempt(self, attempt):
        """Yield an answer half a second after the runner was chosen."""
        self.started.append(attempt.runner.runner_id)
        await trio.sleep(0.5)
        attempt.observer.on_connected()
        self.sent.append(attempt.runner.runner_id)
        attempt.observer.on_sent()
        yield self

    async def drop_rest(self) -> None:
        """Discard the rest of the answer."""


async def _call(world, port) -> None:
    choice = RunnerChoice(world.entry.directory, {'a': 0}.__getitem__)
    route = Route(
        'r', 'h', '/', CallKind.unsafe, (TargetShare('desk', 1),), 4, 1, 2
    )
    call = Call('q1', 'h', '/', b'GET', b'/', [], b'', 0, math.inf)
    record = CallRecord(call, route, 'desk', 1e9)
    requirements = CallRequirements(
        'desk', CallKind.unsafe, excluded_runners=record.excluded_runners
    )
    read = partial(trio.sleep, 0)
    await RetryingSender(choice, port).run(
        record, b'', requirements, lambda _: read()
    )
    assert record.attempts == 1


def test_call_goes_to_no_runner_that_left_meanwhile(run_scenario):
    """Guard against DRAIN: the chosen runner leaves while its call connects."""

    async def scenario(world) -> None:
        await trio.sleep_until(1)
        port = SlowPort()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_call, world, port)
            await trio.sleep(0.2)
            world.store.remove(f'servers/{port.started[0]}')
        assert port.sent == port.started[1:]
        assert len(port.sent) == 1

    run_scenario(scenario)


async def _call_once(world, port) -> str:
    """Send a call; return the runner that got it."""
    await _call(world, port)
    return port.sent[-1]


def test_runner_that_says_that_it_leaves_gets_no_more_calls(run_scenario):
    """Guard against DRAIN: its answer is believed, whatever the list says."""

    async def scenario(world) -> None:
        await trio.sleep_until(1)
        leaving = await _call_once(world, SlowPort(leaving=True))
        assert not world.entry.uses(leaving)
        world.store.list_runner(leaving)
        await trio.sleep(1)
        assert not world.entry.uses(leaving)
        world.store.remove(f'servers/{leaving}')
        await trio.sleep(1)
        world.store.list_runner(leaving)
        await trio.sleep(1)
        assert not world.entry.uses(leaving)
        assert await _call_once(world, SlowPort()) != leaving

    run_scenario(scenario)


def test_new_incarnation_of_a_runner_that_left_is_used(run_scenario):
    """What a runner said holds until it starts again under its name."""

    async def scenario(world) -> None:
        await trio.sleep_until(1)
        leaving = await _call_once(world, SlowPort(leaving=True))
        world.store.list_runner(leaving, started_ms=2)
        await trio.sleep(1)
        assert world.entry.uses(leaving)

    run_scenario(scenario)


@pytest.mark.parametrize('status', [200, 500, 503])
def test_refusals_and_failures_say_that_a_runner_leaves(status):
    """Guard against DRAIN: each answer counts, also one that is not used."""
    answer = SlowPort(status=status, refused=status == 503, leaving=True)
    directory = RunnerDirectory()
    directory.put(Runner('a', 'desk', '127.0.0.1:1', 'a', False, 6, 1))
    choice = RunnerChoice(directory, {'a': 0}.__getitem__)
    route = Route(
        'r', 'h', '/', CallKind.safe, (TargetShare('desk', 1),), 4, 1, 2
    )
    call = Call('q1', 'h', '/', b'GET', b'/', [], b'', 0, math.inf)
    record = CallRecord(call, route, 'desk', 1e9)
    requirements = CallRequirements('desk', CallKind.safe)

    async def send() -> None:
        with suppress(CallError):
            await RetryingSender(choice, answer).run(
                record, b'', requirements, lambda _: trio.sleep(0)
            )

    trio.run(send, clock=MockClock(autojump_threshold=0))
    assert not list(directory.usable_runners('desk', 0))
