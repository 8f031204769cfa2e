"""Measure the time from the kill of an owner to the next call served."""

import time

import faults
import pytest
from callers import CallerClient, service
from fault_steps import owner_of
from process_fleet import running_fleet

KILLS = 3
LONG_KILLS = 40
# Well below the time to declare a member dead.
BOUND_SECONDS = 2.0


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    """Run a fleet of three entries whose owners are killed."""
    with running_fleet(tmp_path_factory.mktemp('kills'), entries=3) as running:
        yield running


def time_to_serve(fleet, name, *, store_down=False):
    """Kill the owner of a program; return the seconds to its next answer."""
    program = CallerClient(fleet['entry-0'].url).open(name)
    owner = owner_of(fleet, program)
    entry = 'entry-1' if owner == 'entry-0' else 'entry-0'
    client = CallerClient(fleet[entry].url)
    body = service('lookup')
    assert client.call(program, 'before', body).status_code == 200
    if store_down:
        fleet['store'].set_fault(mode='down')
    fleet[owner].popen.kill()
    killed_at = time.monotonic()
    answer = client.call(program, 'after', body)
    seconds = time.monotonic() - killed_at
    assert answer.status_code == 200, answer.text
    fleet[owner].popen.wait()
    faults.heal(fleet)
    return seconds


def report(name, seconds, record):
    """Record the percentiles with the test's result (see --junit-xml)."""
    ordered = [round(1000 * each, 1) for each in sorted(seconds)]
    record(f'{name}: kills', len(ordered))
    record(f'{name}: p50 ms', ordered[len(ordered) // 2])
    record(f'{name}: p99 ms', ordered[len(ordered) * 99 // 100])


@pytest.mark.timeout(600)
@pytest.mark.parametrize('store_down', [False, True])
@pytest.mark.parametrize(
    'kills', [KILLS, pytest.param(LONG_KILLS, marks=pytest.mark.long)]
)
def test_next_call_is_served_soon(
    fleet, kills, store_down, record_testsuite_property
):
    """A killed owner is replaced within the bound, store up or down."""
    seconds = [
        time_to_serve(
            fleet, f'kill-{kills}-{store_down}-{number}', store_down=store_down
        )
        for number in range(kills)
    ]
    report(f'store down {store_down}', seconds, record_testsuite_property)
    assert max(seconds) < BOUND_SECONDS
