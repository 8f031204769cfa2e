"""Check that the deploy files agree with the source tree."""

import tomllib
from importlib.util import find_spec
from pathlib import Path

import pytest

from jasminewheel.platform.settings import METRICS_PORT

ROOT = Path(__file__).parents[2]
DEPLOY = ROOT / 'deploy'
SCENARIOS = sorted((DEPLOY / 'days').glob('*.toml'))


def test_deployed_libraries_are_those_of_the_lock():
    """The roles run with the library versions that the tests use."""
    lock = (ROOT / 'requirements.lock').read_text().splitlines()
    wanted = (DEPLOY / 'requirements.txt').read_text().splitlines()
    pinned = [line for line in wanted if not line.startswith('#')]
    assert [line for line in pinned if line not in lock] == []


def test_roles_name_modules_and_metrics_that_exist():
    """Each role's module exists, and its metrics port is METRICS_PORT."""
    deploy = tomllib.loads((DEPLOY / 'system.toml').read_text())
    for role in deploy['roles'].values():
        module, _, name = role['run'].partition(' -m ')[2].partition(' ')
        assert find_spec(f'{module}.{name}')
        assert role['metrics'] == f'{METRICS_PORT}/metrics'


@pytest.mark.parametrize('path', SCENARIOS, ids=lambda path: path.stem)
def test_scenario_files_have_a_name_and_a_comment(path):
    """Each scenario file is TOML, starts with a comment and has its name."""
    text = path.read_text()
    assert text.startswith('# ')
    assert tomllib.loads(text)['name'] == path.stem
