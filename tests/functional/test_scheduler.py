"""Check that calls are placed in order of rank, or refused as not run."""

from contextlib import AsyncExitStack

import pytest
import trio
from trio.testing import MockClock, wait_all_tasks_blocked

from jasminewheel._internal.configuration.snapshot import Snapshot
from jasminewheel._internal.configuration.view import ConfigurationView
from jasminewheel._internal.scheduling.request import PlacementRequest
from jasminewheel._internal.targets.engine import EngineUsage
from jasminewheel._internal.targets.load_report import LoadReport
from jasminewheel._internal.targets.prefix import PrefixBlock
from jasminewheel._internal.scheduling.scheduler import Scheduler
from jasminewheel.errors import DeadlineError, NotFoundError, OverloadedError
from jasminewheel.models.policy import COST_RULE, RULES, Policy
from jasminewheel.models.target import MODEL, Runner, Target
from jasminewheel.models.verdict import Verdict


def make_scheduler(limit: int = 1, **policy) -> Scheduler:
    """Return a scheduler over two runners of one model."""
    runners = tuple(
        Runner(name, f'http://{name}', 'east-mids', 'nottingham-a')
        for name in ('r1', 'r2')
    )
    runners = tuple(
        Runner(one.name, one.url, one.region, one.zone, max_running=limit)
        for one in runners
    )
    target = Target('guide', MODEL, runners)
    snapshot = Snapshot(1, {}, {'guide': target}, {}, Policy(**policy))
    view = ConfigurationView(snapshot)
    return Scheduler(view, 'east-mids', trio.current_time)


def request(program: str, priority: int = 0, blocks=(), **parts):
    """Return a request for the guide model."""
    fields = {
        'caller': 'cafe',
        'target': 'guide',
        'max_tokens': 8,
        'deadline': 10**12,
        'attained_tokens': 0,
        'repeatable': True,
        'request_id': f'{program}-1',
    }
    fields.update(parts)
    return PlacementRequest(
        program_id=program, priority=priority, blocks=blocks, **fields
    )


def run(test):
    """Run an async test on a mock clock that skips idle time."""
    clock = MockClock(autojump_threshold=0.005)
    trio.run(test, clock=clock)


async def occupy(scheduler, call_request, order, seconds=1.0):
    """Occupy a runner for some seconds and record the order of placement."""
    async with scheduler.place(call_request, trio.current_time()) as decision:
        order.append(call_request.program_id)
        await trio.sleep(seconds)
        decision.finished(None, trio.current_time())


async def occupy_both(scheduler, stack):
    """Occupy both runners until the stack closes."""
    await stack.enter_async_context(scheduler.place(request('a'), 0))
    await stack.enter_async_context(scheduler.place(request('b'), 0))


def test_favoured_calls_go_first():
    async def scenario():
        scheduler, order = make_scheduler(), []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(occupy, scheduler, request('a'), order)
            await wait_all_tasks_blocked()
            nursery.start_soon(occupy, scheduler, request('b'), order, 9)
            await wait_all_tasks_blocked()
            nursery.start_soon(occupy, scheduler, request('low'), order)
            favoured = request('favoured', priority=9)
            nursery.start_soon(occupy, scheduler, favoured, order)
        assert order == ['a', 'b', 'favoured', 'low']
        assert scheduler.runners.state('r1').load.own_running == 0

    run(scenario)


def test_program_returns_to_the_runner_with_its_prefix():
    async def scenario():
        scheduler = make_scheduler(limit=4)
        chain = [PrefixBlock('a', 4000)]
        scheduler.runners.prefixes.touch('r2', chain, 0)
        call_request = request('p', blocks=chain)
        async with scheduler.place(call_request, 0) as decision:
            assert decision.runner == 'r2'
            assert decision.expected_cached_tokens > 3000

    run(scenario)


def test_reported_load_of_others_is_avoided():
    async def scenario():
        scheduler = make_scheduler(limit=4)
        scheduler.observe_load('r1', LoadReport(4, 0, 0, 10**6), 0)
        async with scheduler.place(request('p'), 0) as decision:
            assert decision.runner == 'r2'

    run(scenario)


def test_failing_runner_is_avoided_then_probed():
    async def scenario():
        scheduler = make_scheduler(limit=4)
        chain = [PrefixBlock('a', 4000)]
        scheduler.runners.prefixes.touch('r2', chain, 0)
        call_request = request('p', blocks=chain)
        for name in ('x', 'y', 'z'):
            failing = request(name, blocks=chain)
            async with scheduler.place(failing, 0) as decision:
                assert decision.runner == 'r2'
                decision.failed(0)
        async with scheduler.place(call_request, 0) as decision:
            assert decision.runner == 'r1'
        await trio.sleep(1)
        async with scheduler.place(call_request, 1) as decision:
            assert decision.runner == 'r2'

    run(scenario)


def test_a_retry_goes_to_another_runner_at_once():
    async def scenario():
        scheduler = make_scheduler(limit=4)
        chain = [PrefixBlock('a', 4000)]
        scheduler.runners.prefixes.touch('r2', chain, 0)
        call_request = request('p', blocks=chain)
        async with scheduler.place(call_request, 0) as decision:
            assert decision.runner == 'r2'
            decision.failed(0)
        async with scheduler.place(call_request, 0) as decision:
            assert decision.runner == 'r1'
            decision.failed(0)
        # Both runners have failed the call, so either may be retried.
        async with scheduler.place(call_request, 0) as decision:
            assert decision.runner == 'r2'

    run(scenario)


def test_redeclared_runner_starts_without_load():
    async def scenario():
        scheduler = make_scheduler()
        async with AsyncExitStack() as stack:
            placing = scheduler.place(request('p'), 0)
            decision = await stack.enter_async_context(placing)
            scheduler.forget_runner(decision.runner)
            load = scheduler.runners.state(decision.runner).load
        assert load.own_running == 0

    run(scenario)


def test_refusals_have_verdict_not_run_and_retry_time():
    async def scenario():
        scheduler = make_scheduler(max_queue_seconds=2)
        async with AsyncExitStack() as stack:
            await occupy_both(scheduler, stack)
            with pytest.raises(OverloadedError) as caught:
                async with scheduler.place(request('c'), 0):
                    pytest.fail('no runner was free')
            assert trio.current_time() >= 2
        assert caught.value.verdict is Verdict.not_run
        assert caught.value.retry_after_seconds > 0
        assert not len(scheduler.targets.state('guide').queue)

    run(scenario)


def test_full_queue_displaces_a_call_for_a_favoured_one():
    async def scenario():
        scheduler = make_scheduler(max_queue_per_target=1)
        order = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(occupy, scheduler, request('a'), order)
            nursery.start_soon(occupy, scheduler, request('b'), order)
            await wait_all_tasks_blocked()
            nursery.start_soon(occupy, scheduler, request('favoured', 9), order)
            await wait_all_tasks_blocked()
            with pytest.raises(OverloadedError):
                await occupy(scheduler, request('low'), order)
        assert sorted(order) == ['a', 'b', 'favoured']

    run(scenario)


def test_cancelled_waiters_leave_nothing_behind():
    async def scenario():
        scheduler = make_scheduler()
        async with AsyncExitStack() as stack:
            await occupy_both(scheduler, stack)
            with trio.move_on_after(0.1):
                await occupy(scheduler, request('c'), [])
        state = scheduler.targets.state('guide')
        assert not len(state.queue)
        assert not state.waiters
        assert scheduler.runners.state('r1').load.own_running == 0

    run(scenario)


def test_unknown_target_and_passed_deadline_are_refused():
    async def scenario():
        scheduler = make_scheduler()
        with pytest.raises(NotFoundError):
            async with scheduler.place(request('p', target='none'), 0):
                pytest.fail('the target is not declared')
        with pytest.raises(DeadlineError):
            async with scheduler.place(request('p', deadline=1), 2):
                pytest.fail('the deadline passed')

    run(scenario)


def test_decisions_are_explained_and_bounded():
    async def scenario():
        scheduler = make_scheduler(limit=2)
        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(occupy, scheduler, request('p'), [])
        explained = scheduler.explainer.explain_program('p')
        assert 0 < len(explained) <= 8
        assert explained[-1].decision == 'placed'
        weighed = explained[-1].weighed
        assert weighed[0].total_seconds <= weighed[-1].total_seconds
        with pytest.raises(DeadlineError):
            async with scheduler.place(request('p', deadline=1), 2):
                pytest.fail('the deadline passed')
        assert scheduler.explainer.explain_target('guide')[-1].program_id == 'p'

    run(scenario)


@pytest.mark.parametrize('rule', [one for one in RULES if one != COST_RULE])
def test_every_baseline_places_calls(rule):
    async def scenario():
        scheduler, order = make_scheduler(rule=rule), []
        async with trio.open_nursery() as nursery:
            for name in ('a', 'b', 'c'):
                nursery.start_soon(occupy, scheduler, request(name), order)
        assert sorted(order) == ['a', 'b', 'c']

    run(scenario)


class EngineDouble:
    """Record the pins that are ordered."""

    def __init__(self):
        """Start without pins."""
        self.pinned = {}

    def engine(self, url):
        """Return this double for every URL."""
        return self

    async def pin(self, block, expires_seconds, fence):
        """Pin a block."""
        self.pinned[block] = expires_seconds

    async def unpin(self, block):
        """Release a block."""
        self.pinned.pop(block)


def test_a_paused_program_keeps_its_prefix_until_its_end():
    async def scenario():
        scheduler, engine = make_scheduler(limit=4), EngineDouble()
        full = LoadReport(0, 0, 10_000, 10_000)
        scheduler.observe_load('r1', full, 0)
        scheduler.observe_load('r2', full, 0)
        usage = EngineUsage(1000, 0, 8, 'stop')
        for _ in range(50):
            scheduler.dispatcher.retention.learner.learn('cafe', 0.3)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(scheduler.run, engine, lambda _: True)
            call_request = request('p', 9, [PrefixBlock('a', 1000)])
            async with scheduler.place(call_request, 0) as decision:
                decision.finished(usage, 1)
            await wait_all_tasks_blocked()
            assert 0 < engine.pinned['a'] <= 64
            explained = scheduler.explainer.explain_program('p')[-1]
            assert explained.decision == 'keep'
            assert 'probability' in explained.reason
            scheduler.program_ended('p')
            await wait_all_tasks_blocked()
            assert not engine.pinned
            assert not scheduler.dispatcher.retention.programs
            nursery.cancel_scope.cancel()

    run(scenario)


def test_retries_are_limited_by_budget():
    async def scenario():
        scheduler = make_scheduler(limit=4)
        state = scheduler.targets.state('guide')
        state.retries.available_retries = 1
        call_request = request('p')
        for _ in range(2):
            async with scheduler.place(call_request, 0) as decision:
                decision.failed(0)
        with pytest.raises(OverloadedError):
            await occupy(scheduler, call_request, [])
        order = []
        await occupy(scheduler, request('other'), order)
        assert order == ['other']

    run(scenario)
