"""Check that a draining runner gets no new work and finishes its calls."""

import time
from concurrent.futures import ThreadPoolExecutor

import httpx
import pytest
from attrs import evolve
from callers import CallerClient, ask
from fleet_configuration import commit, resources
from process_fleet import running_fleet
from processes import running

# Upper limit of the time until a draining runner receives no new work.
DRAIN_SECONDS = 4
LAG_SECONDS = 0.5


@pytest.fixture
def vms(tmp_path):
    """Run the stand-in for the platform's list of VMs."""
    path = tmp_path / 'vms.json'
    path.write_text(f'{{"lag_seconds": {LAG_SECONDS}}}')
    with running('fake_vms', tmp_path, '--settings', str(path)) as process:
        yield process


@pytest.fixture
def fleet(tmp_path, vms):
    """Run a fleet of three entries and two engines."""
    with running_fleet(
        tmp_path, entries=3, entry_fields={'vms_url': vms.url}
    ) as started:
        yield started


def drain_by_configuration(fleet, _vms):
    """Drain a runner by a change of the configuration."""
    changed = [
        evolve(each, spec=drained(each.spec))
        for each in resources(fleet)
        if each.key.name == 'helper-models'
    ]
    commit(fleet['store'].url, changed)


def drained(target):
    """Return the target with its first runner draining."""
    first, *others = target.runners
    return evolve(target, runners=(evolve(first, draining=True), *others))


def drain_by_list(fleet, vms):
    """Drain a runner by listing its VM as leaving."""
    address = fleet['engine-0'].url.removeprefix('http://')
    leaving = {
        'member': 'vm-of-engine-0',
        'zone': 'n-1',
        'address': address,
        'state': 'leaving',
    }
    answer = httpx.post(f'{vms.url}/control/vms', json={'vms': [leaving]})
    answer.raise_for_status()


def stream_count(fleet):
    """Return the number of streams requested from the draining engine."""
    return len(fleet['engine-0'].get('/control/counts')['runs'])


def make_calls(fleet, name, until):
    """Make plain calls through all entries in turn until a time."""
    entries = fleet.named('entry-')
    statuses = []
    while time.monotonic() < until:
        number = len(statuses)
        client = CallerClient(entries[number % len(entries)].url)
        body = ask(f'{name} {number}', 40)
        answer = client.request('POST', '/v1/calls', f'{name}-{number}', body)
        statuses.append(answer.status_code)
    return statuses


def last_start(fleet, until):
    """Return when the draining engine last started a stream; 0 if never."""
    known = stream_count(fleet)
    last = 0
    while time.monotonic() < until:
        found = stream_count(fleet)
        if found != known:
            known = found
            last = time.monotonic()
        time.sleep(0.01)
    return last


@pytest.mark.parametrize('drain', [drain_by_configuration, drain_by_list])
def test_leaving_runner_gets_no_new_work(fleet, vms, drain, record_property):
    """New work stops within DRAIN_SECONDS and no answer is truncated."""
    end = time.monotonic() + 12
    with ThreadPoolExecutor() as pool:
        calls = [
            pool.submit(make_calls, fleet, f'caller-{number}', end)
            for number in range(6)
        ]
        while stream_count(fleet) < 3:
            time.sleep(0.01)
        drained_at = time.monotonic()
        drain(fleet, vms)
        seconds = max(0, last_start(fleet, end) - drained_at)
        statuses = [each for call in calls for each in call.result()]
    record_property('drain_seconds', seconds)
    assert seconds < DRAIN_SECONDS
    assert set(statuses) == {200}
    assert len(statuses) > 20
    counts = fleet['engine-0'].get('/control/counts')
    assert counts['running'] == 0
