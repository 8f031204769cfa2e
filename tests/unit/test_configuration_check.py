"""Check what is found in a configuration before it is sent."""

import json
from copy import deepcopy
from types import MappingProxyType

import pytest

from jasminewheel.cli.ctl import app
from jasminewheel.commands.ctl.exit_codes import ExitCode

ROUTE = MappingProxyType(
    {
        'Name': 'look',
        'Host': 'desk.example',
        'Prefix': '/look/',
        'Kind': 'safe',
        'Service': 'desk',
        'TimeoutMs': 2000,
        'TargetLatencyMs': 300,
        'MaxAttempts': 2,
    }
)
GOOD = MappingProxyType(
    {
        'Version': 7,
        'Routes': [dict(ROUTE)],
        'Services': [{'Name': 'desk'}],
        'Tenants': [
            {'Name': 'cafe', 'ApiKeys': ['k1'], 'RatePerS': 5, 'Burst': 5}
        ],
    }
)


def _check(folder, configuration, *words: str) -> int:
    path = folder / 'configuration.json'
    path.write_text(json.dumps(configuration))
    return app(
        ('check-config', str(path), *words),
        exit_on_error=False,
        result_action='return_value',
    )


def _changed(section: str, **changes) -> dict:
    changed = deepcopy(dict(GOOD))
    changed[section][0].update(changes)
    return changed


def test_good_configuration_has_no_findings(tmp_path, capsys):
    """Nothing is printed, and the exit code says so."""
    assert _check(tmp_path, dict(GOOD)) == ExitCode.done
    assert not capsys.readouterr().out


@pytest.mark.parametrize(
    ('section', 'changes', 'finding'),
    [
        ('Routes', {'Service': 'none'}, 'error: route look: no target none'),
        ('Routes', {'TimeoutMs': 200}, 'warning: route look: ends after 0.2 s'),
        ('Routes', {'Kind': 'unsafe'}, 'warning: route look: 2 attempts'),
        ('Routes', {'Prefix': '/look'}, 'warning: route look: /look has no'),
        ('Tenants', {'RatePerS': 0}, 'warning: organisation cafe: a burst'),
        ('Tenants', {'ApiKeys': []}, 'warning: organisation cafe: no key'),
        (
            'Tenants',
            {'ApiKeys': ['k1', 'k1']},
            'error: organisation cafe: one of its keys',
        ),
    ],
)
def test_findings_name_the_entry(tmp_path, capsys, section, changes, finding):
    """Each finding names its entry; errors have an exit code."""
    wrong = _changed(section, **changes)
    code = ExitCode.refused if finding.startswith('error') else ExitCode.done
    assert _check(tmp_path, wrong) == code
    assert finding in capsys.readouterr().out


def test_changes_against_the_version_in_force(tmp_path, capsys):
    """What callers will notice is told, and a version that goes back."""
    in_force = tmp_path / 'in-force.json'
    in_force.write_text(json.dumps(dict(GOOD)))
    changed = _changed('Tenants', ApiKeys=['k2'], RatePerS=3)
    changed['Routes'].append({**ROUTE, 'Name': 'new', 'Prefix': '/new/'})
    words = ('--in-force', str(in_force))
    assert _check(tmp_path, changed, *words) == ExitCode.refused
    shown = capsys.readouterr().out
    assert 'error: version 7 is not above 7' in shown
    assert 'change: 1 keys withdrawn' in shown
    assert 'change: route new added for desk.example/new/' in shown
    assert 'change: organisation cafe: rate from 5.0 to 3.0' in shown


def test_findings_as_json(tmp_path, capsys):
    """The same findings are printed as JSON."""
    _check(tmp_path, _changed('Routes', Service='none'), '--json')
    shown = json.loads(capsys.readouterr().out)
    assert shown['errors'] == ['route look: no target none']


def test_unreadable_configuration_is_refused(tmp_path, capsys):
    """One line names the file."""
    assert _check(tmp_path, {'Version': 7}) == ExitCode.usage
    shown = capsys.readouterr().err
    assert 'configuration.json' in shown
    assert len(shown.splitlines()) == 1
