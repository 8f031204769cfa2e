"""Check the deploy files against the tree."""

import tomllib
from importlib.util import find_spec
from pathlib import Path

import pytest

from jasminewheel.platform.settings import METRICS_PORT

ROOT = Path(__file__).parents[2]
DEPLOY = ROOT / 'deploy'
SCENARIOS = sorted((DEPLOY / 'days').glob('*.toml'))


def test_deployed_libraries_are_those_of_the_lock():
    """What the roles run with is what the tests run with."""
    lock = (ROOT / 'requirements.lock').read_text().splitlines()
    wanted = (DEPLOY / 'requirements.txt').read_text().splitlines()
    pinned = [line for line in wanted if not line.startswith('#')]
    assert [line for line in pinned if line not in lock] == []


def test_roles_name_modules_and_metrics_that_exist():
    """Each role can be imported and exposes metrics where it is said."""
    deploy = tomllib.loads((DEPLOY / 'system.toml').read_text())
    for role in deploy['roles'].values():
        module, _, name = role['run'].partition(' -m ')[2].partition(' ')
        assert find_spec(f'{module}.{name}')
        assert role['metrics'] == f'{METRICS_PORT}/metrics'


@pytest.mark.parametrize('path', SCENARIOS, ids=lambda path: path.stem)
def test_scenario_files_have_a_name_and_a_comment(path):
    """Each kept day reads as TOML, has its name and a comment."""
    text = path.read_text()
    assert text.startswith('# ')
    assert tomllib.loads(text)['name'] == path.stem
