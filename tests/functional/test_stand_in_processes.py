"""Check the stand-ins as separate processes."""

import signal
from functools import partial

import httpx
import pytest
from processes import running, start

STAND_INS = (
    'fake_store',
    'fake_engine',
    'fake_tool',
    'fake_weights',
    'fake_vms',
)


@pytest.mark.parametrize('module', STAND_INS)
def test_serves_and_stops(module, tmp_path):
    """A stand-in listens on loopback, responds, and exits with 0 on SIGTERM."""
    with running(module, tmp_path) as process:
        counts = httpx.get(f'{process.url}/control/counts')
        assert counts.status_code == 200
        assert process.stop() == 0


def test_settings_file(tmp_path):
    """A settings file sets limits; an unknown field makes the start fail."""
    path = tmp_path / 'store.json'
    path.write_text('{\n  // no writes\n  "writes_per_second": 1\n}')
    with running('fake_store', tmp_path, '--settings', str(path)) as process:
        put = partial(httpx.put, json={'value': 'one'})
        statuses = [
            put(f'{process.url}/v1/kv/key').status_code for _ in range(3)
        ]
        assert statuses[0] == 200
        assert 429 in statuses
    path.write_text('{\n  "writes_a_second": 1\n}')
    wrong = start('fake_store', '--settings', str(path))
    assert wrong.wait(30) == 2


def test_down_breaks_connections(tmp_path):
    """A store that is down drops requests; lose_answers applies them."""
    with running('fake_store', tmp_path) as process:
        key = f'{process.url}/v1/kv/key'
        control = f'{process.url}/control/faults'
        httpx.post(control, json={'mode': 'down'})
        with pytest.raises(httpx.RemoteProtocolError):
            httpx.put(key, json={'value': 'one'})
        httpx.post(control, json={'mode': 'lose_answers'})
        with pytest.raises(httpx.RemoteProtocolError):
            httpx.put(key, json={'value': 'two'})
        httpx.post(control, json={'mode': 'ok'})
        assert httpx.get(key).json()['value'] == 'two'
        assert httpx.get(key).json()['revision'] == 1


def test_wrong_fault_is_refused(tmp_path):
    """An unknown fault mode is refused with 400."""
    with running('fake_vms', tmp_path) as process:
        control = f'{process.url}/control/faults'
        answer = httpx.post(control, json={'mode': 'odd'})
        assert answer.status_code == 400
        process.popen.send_signal(signal.SIGINT)
        assert process.popen.wait(30) == 0
