"""Check second tries of slow calls from the caller to the runners."""

from functools import partial

import pytest
import trio

from tests.platform_fleet import platform_fleet

# Half of the route's latency objective, and the time of an answer.
ANSWERED_SECONDS = 0.3
# By when a runner notices that its caller left.
GONE_SECONDS = 0.5
DEADLINE_MS = '1000'
TIMED_OUT_STATUS = 504


@pytest.fixture
def run_scenario(tmp_path):
    """Run a scenario with an entry and two runners of one target."""

    async def run(scenario) -> None:
        async with platform_fleet(tmp_path) as fleet:
            fleet.configure()
            first = await fleet.add_runner('desk-1', 'desk')
            second = await fleet.add_runner('desk-2', 'desk')
            await fleet.start_histories()
            entry = await fleet.start_entry()
            await scenario(fleet, entry, (first, second))

    return lambda scenario: trio.run(partial(run, scenario))


def _runs(runners) -> list[int]:
    return sorted(len(one.ran) for one in runners)


def test_hanging_safe_call_is_answered_by_another_runner(run_scenario):
    """The caller gets one whole answer; the runner that hangs is let go."""

    async def scenario(fleet, entry, runners) -> None:
        runners[0].faults.append('hang')
        started_at = trio.current_time()
        while not runners[0].ran:
            answered = await fleet.ask(entry, '/look/a')
            assert (answered.status, answered.whole) == (200, True)
            assert answered.body == b'did /look/a'
        assert trio.current_time() - started_at < 2 * ANSWERED_SECONDS
        await trio.sleep(GONE_SECONDS)
        assert runners[0].abandoned == 1

    run_scenario(scenario)


def test_both_runners_hang(run_scenario):
    """The call ends at its deadline, and neither runner works on."""

    async def scenario(fleet, entry, runners) -> None:
        for runner in runners:
            runner.faults.append('hang')
        answered = await fleet.ask(entry, '/look/a', Deadline_Ms=DEADLINE_MS)
        assert answered.status == TIMED_OUT_STATUS
        assert _runs(runners) == [1, 1]
        await trio.sleep(GONE_SECONDS)
        assert [one.abandoned for one in runners] == [1, 1]

    run_scenario(scenario)


def test_hanging_unsafe_call_has_one_runner(run_scenario):
    """It may have run, and is never sent again."""

    async def scenario(fleet, entry, runners) -> None:
        for runner in runners:
            runner.faults.append('hang')
        answered = await fleet.ask(
            entry, '/book/a', b'x', Deadline_Ms=DEADLINE_MS
        )
        assert answered.status == TIMED_OUT_STATUS
        assert _runs(runners) == [0, 1]

    run_scenario(scenario)
