"""Check the specification exhaustively and that each guard is needed."""

import re
import shutil
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from functools import reduce
from importlib import import_module
from pathlib import Path

import pytest
from attrs import frozen

SPECIFICATION = Path(__file__).parents[2] / 'spec' / 'ownership.pml'
CHECK_SECONDS = 60
# Each check may use 2 GB of memory; a common machine has a core for each.
CHECKS_AT_ONCE = 4
STATES = re.compile(r'([\d.e+]+) states, stored')
ERRORS = re.compile(r'errors: (\d+)')
DONE = 'State-vector'
FUNCTION = re.compile(r'jasminewheel\.[\w.]+:[\w.]+')

TAKE_OVER = ('OWNERS=3',)
CHANGE = ('OWNERS=2', 'CHANGE')
FOUR_OWNERS = ('OWNERS=4', 'ONE_RECORD')


@frozen
class Outcome:
    """Represent the result of the checker."""

    states: int
    errors: int


def check(folder, *macros):
    """Check the specification with the macros set."""
    options = [f'-D{macro}' for macro in macros]
    invoke(folder, 'spin', '-a', *options, SPECIFICATION)
    invoke(
        folder,
        'gcc',
        '-O2',
        '-w',
        '-DSAFETY',
        '-DCOLLAPSE',
        '-DMEMLIM=2000',
        '-o',
        'pan',
        'pan.c',
    )
    text = invoke(folder, './pan', '-E', '-m100000')
    assert DONE in text, text
    states = int(float(STATES.search(text).group(1)))
    errors = int(ERRORS.search(text).group(1))
    assert 'max search depth too small' not in text
    return Outcome(states, errors)


def invoke(folder, *command):
    """Run a program of the checker; return its output."""
    done = subprocess.run(
        command,
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=CHECK_SECONDS,
        check=True,
    )
    return done.stdout


@pytest.fixture(scope='module', autouse=True)
def _programs():
    for name in ('spin', 'gcc'):
        assert shutil.which(name), (
            f'{name} is missing; scripts/system-packages installs it'
        )


@pytest.fixture(scope='module')
def checks(request, tmp_path_factory):
    """Start the checks of all selected tests, CHECKS_AT_ONCE at a time."""
    pool = ThreadPoolExecutor(CHECKS_AT_ONCE)
    yield {
        macros: pool.submit(check, tmp_path_factory.mktemp('check'), *macros)
        for macros in selected_macros(request)
    }
    pool.shutdown(cancel_futures=True)


def selected_macros(request):
    """Yield the macros of each selected test that needs a check."""
    for test in request.session.items:
        if test.path == request.path and 'checks' in test.fixturenames:
            named = test.callspec.params
            yield (*named['sizes'], *filter(None, [named.get('guard')]))


@pytest.mark.parametrize('sizes', [TAKE_OVER, FOUR_OWNERS, CHANGE])
def test_holds_for_small_sizes(sizes, checks, capsys):
    """No reachable state violates a rule."""
    outcome = checks[sizes].result()
    sizes_text = ' '.join(sizes)
    with capsys.disabled():
        sys.stdout.write(f'\n{sizes_text}: {outcome.states} states\n')
    assert outcome.errors == 0
    assert outcome.states > 1_000_000


@pytest.mark.parametrize(
    ('guard', 'sizes'),
    [
        ('NO_SEAL', TAKE_OVER),
        ('NO_FENCE_CHECK', TAKE_OVER),
        ('NO_START_RECORD', TAKE_OVER),
        ('NO_VERDICT', TAKE_OVER),
        ('NO_QUORUM_READ', TAKE_OVER),
        ('NO_REWRITE', TAKE_OVER),
        ('NO_REWRITE_OF_HELD', FOUR_OWNERS),
        ('NO_DURABLE_PROMISE', TAKE_OVER),
        ('NO_JOINT', CHANGE),
        ('NO_COPY', CHANGE),
        ('NO_JOIN', CHANGE),
        ('NO_DISK_IDENTITY', CHANGE),
    ],
)
def test_each_guard_is_needed(guard, sizes, checks):
    """Without the guard the checker finds a counterexample."""
    outcome = checks[(*sizes, guard)].result()
    assert outcome.errors > 0


def test_functions_named_exist():
    """Functions named in the specification exist."""
    names = set(FUNCTION.findall(SPECIFICATION.read_text(encoding='utf-8')))
    assert len(names) > 10
    for name in names:
        module, _, path = name.partition(':')
        found = reduce(getattr, path.split('.'), import_module(module))
        assert callable(found), name


def test_every_guard_is_tested():
    """Each macro that removes a guard is tested above."""
    text = SPECIFICATION.read_text(encoding='utf-8')
    macros = set(re.findall(r'\bNO_[A-Z_]+\b', text))
    marks = test_each_guard_is_needed.pytestmark[0].args[1]
    assert macros == {guard for guard, _ in marks}
