"""Check that a planned stop of one entry cuts no call without an answer."""

from contextlib import closing
from functools import partial

import pytest
import trio

from jasminewheel._internal.web.client import OutgoingRequest, open_connection
from tests.platform_fleet import (
    CALLS_HOST,
    GRACE_SECONDS,
    exchange,
    platform_fleet,
)

# Statuses of complete answers, by whether they promise that a call has not run.
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
# A caller notices a refusal at once.
REFUSED_SECONDS = 0.2
LATE_SECONDS = 0.4 * GRACE_SECONDS
# Longer than what is left of the grace period.
LONG_MILLISECONDS = '8000'


@pytest.fixture
def run_scenario(tmp_path):
    """Run a scenario with an entry, three histories and a runner a target."""

    async def run(scenario) -> None:
        async with platform_fleet(tmp_path) as fleet:
            fleet.configure(TimeoutMs=9000)
            await fleet.add_runner('desk-1', 'desk')
            await fleet.add_runner('model-1', 'model')
            await fleet.start_histories()
            entry = await fleet.start_entry()
            await scenario(fleet, entry)

    return lambda scenario: trio.run(partial(run, scenario))


def _request(path: str, call_id: str, deadline_ms: str) -> OutgoingRequest:
    headers = [
        (b'Host', CALLS_HOST.encode()),
        (b'Request-Id', call_id.encode()),
        (b'Deadline-Ms', deadline_ms.encode()),
        (b'Program-Id', b'p1'),
        (b'Token-Usage', b'10,8'),
    ]
    return OutgoingRequest(b'POST', path.encode(), headers, b'x')


def _ran(fleet) -> int:
    return sum(len(one.ran) for one in fleet.runners.values())


def test_call_at_the_end_of_the_grace_is_answered(run_scenario):
    """A call whose runner hangs is told that it may have run."""

    async def scenario(fleet, entry) -> None:
        fleet.runners['desk-1'].faults.append('hang')
        answers = []

        async def ask() -> None:
            answers.append(
                await fleet.ask(
                    entry, '/book/a', b'x', Deadline_Ms=LONG_MILLISECONDS
                )
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.2)
            fleet.stops['entry-1'].set()
            with trio.move_on_after(GRACE_SECONDS) as grace:
                while not answers:
                    await trio.sleep(0.02)
            assert not grace.cancelled_caught
        assert answers[0].status == UNKNOWN_STATUS
        assert answers[0].whole

    run_scenario(scenario)


@pytest.mark.parametrize('path', ['/book/a', '/turns/a'])
def test_late_call_that_may_outlast_the_grace_is_refused(run_scenario, path):
    """It is told at once that it has not run; no runner gets it."""

    async def scenario(fleet, entry) -> None:
        fleet.runners['desk-1'].faults.append('hang')
        fleet.runners['model-1'].slow_seconds = 2
        fleet.stops['entry-1'].set()
        await trio.sleep(LATE_SECONDS)
        began = trio.current_time()
        answered = await fleet.ask(
            entry,
            path,
            b'x',
            Deadline_Ms=LONG_MILLISECONDS,
            Token_Usage='10,8',
        )
        assert trio.current_time() - began < REFUSED_SECONDS
        assert answered.status == NOT_RUN_STATUS
        assert 'retry-after' in answered.headers
        assert not _ran(fleet)

    run_scenario(scenario)


@pytest.mark.parametrize('path', ['/book/a', '/turns/a'])
def test_late_call_that_ends_within_the_grace_is_served(run_scenario, path):
    """A call is served if its time is up before the entry has to end."""

    async def scenario(fleet, entry) -> None:
        fleet.stops['entry-1'].set()
        await trio.sleep(LATE_SECONDS)
        answered = await fleet.ask(
            entry, path, b'x', Deadline_Ms='2000', Token_Usage='10,8'
        )
        assert (answered.status, answered.whole) == (200, True)

    run_scenario(scenario)


def test_kept_connection_loses_no_call_in_a_stop(run_scenario):
    """Calls on a connection that stays open are answered until it closes."""

    async def scenario(fleet, entry) -> None:
        connection = await open_connection(entry.callers_address, 1)
        with closing(connection):
            first = _request('/book/a', 'k1', '4000')
            opened = await exchange(connection, first)
            assert opened.status == 200
            connection.parser.responses.clear()
            fleet.stops['entry-1'].set()
            await trio.sleep(LATE_SECONDS)
            second = _request('/book/b', 'k2', '1500')
            late = await exchange(connection, second)
        assert (late.status, late.whole) == (200, True)
        assert late.headers['connection'] == 'close'

    run_scenario(scenario)
