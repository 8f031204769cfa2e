"""Check how the tests' system packages are set up."""

import shutil
import subprocess
from pathlib import Path

import pytest
from attrs import frozen

SCRIPTS = Path(__file__).parents[2] / 'scripts'
SYSTEM_PACKAGES = SCRIPTS / 'system-packages'
TEST_SCRIPT = SCRIPTS / 'test'
PACKAGES = 'spin gcc libc6-dev'
SECONDS = 20
# Each does what the script asks of the program of its name.
SUCCEEDS = 'exit 0'
FAILS = 'exit 1'
INSTALLS = r"""
echo "$@" >>"{folder}/asked"
if [ "$1" = install ]; then
    for one in spin gcc; do
        printf '#!/bin/sh\nexit 0\n' >"{folder}/$one"
        chmod +x "{folder}/$one"
    done
fi
"""


@frozen
class Machine:
    """Hold a folder of programs that stands for a machine."""

    folder: Path

    def add_program(self, name: str, body: str = SUCCEEDS) -> None:
        """Add a program."""
        program = self.folder / name
        text = body.replace('{folder}', str(self.folder))
        program.write_text(f'#!/bin/sh\n{text}\n', encoding='utf-8')
        program.chmod(0o755)

    def run(self, script: Path) -> subprocess.CompletedProcess[str]:
        """Run a script with the programs of this machine only."""
        return subprocess.run(
            [script],
            env={'PATH': str(self.folder)},
            capture_output=True,
            text=True,
            timeout=SECONDS,
            check=False,
        )

    def apt_get_calls(self) -> list[str]:
        """Return what apt-get was asked for."""
        path = self.folder / 'asked'
        return path.read_text(encoding='utf-8').splitlines()


@pytest.fixture
def machine(tmp_path):
    """Return a machine with root's rights, without spin and gcc."""
    for name in ('bash', 'sh', 'dirname', 'chmod'):
        (tmp_path / name).symlink_to(shutil.which(name))
    made = Machine(tmp_path)
    made.add_program('id', 'echo 0')
    return made


def test_complete_machine_installs_nothing(machine):
    """Nothing is asked of apt-get where all is there."""
    machine.add_program('spin')
    machine.add_program('gcc')
    machine.add_program('apt-get', FAILS)
    done = machine.run(SYSTEM_PACKAGES)
    assert (done.returncode, done.stdout, done.stderr) == (0, '', '')


def test_missing_packages_are_installed(machine):
    """The lists are refreshed before packages are installed."""
    machine.add_program('apt-get', INSTALLS)
    assert machine.run(SYSTEM_PACKAGES).returncode == 0
    assert machine.apt_get_calls() == [
        'update -qq',
        f'install -y -qq {PACKAGES}',
    ]


def test_gcc_without_headers_is_not_enough(machine):
    """The headers of the C library are installed with it."""
    machine.add_program('spin')
    machine.add_program('gcc', FAILS)
    machine.add_program('apt-get', INSTALLS)
    assert machine.run(SYSTEM_PACKAGES).returncode == 0
    assert len(machine.apt_get_calls()) == 2


@pytest.mark.parametrize(
    ('programs', 'reason'),
    [
        ({}, 'there is no apt-get'),
        ({'apt-get': INSTALLS, 'id': 'echo 1000'}, 'only root'),
        ({'apt-get': FAILS}, 'apt-get could not install'),
        ({'apt-get': SUCCEEDS}, 'spin and gcc do not work'),
    ],
)
def test_refusal_names_the_reason_and_the_packages(machine, programs, reason):
    """The script ends with an error where it can't install."""
    for name, body in programs.items():
        machine.add_program(name, body)
    done = machine.run(SYSTEM_PACKAGES)
    assert done.returncode != 0
    assert reason in done.stderr
    assert PACKAGES in done.stderr


def test_run_without_spin_ends_before_any_test(machine):
    """The run of all tests says what is missing instead of failing tests."""
    done = machine.run(TEST_SCRIPT)
    assert done.returncode != 0
    assert PACKAGES in done.stderr
    assert done.stdout == ''
