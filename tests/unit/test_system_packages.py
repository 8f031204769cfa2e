"""Check the installation of the system packages that tests need."""

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
# Shell bodies of the programs that the scripts call.
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
    """Represent a machine by a folder of its programs."""

    folder: Path

    def add_program(self, name: str, body: str = SUCCEEDS) -> None:
        """Add a program with a shell body."""
        program = self.folder / name
        text = body.replace('{folder}', str(self.folder))
        program.write_text(f'#!/bin/sh\n{text}\n', encoding='utf-8')
        program.chmod(0o755)

    def run(self, script: Path) -> subprocess.CompletedProcess[str]:
        """Run a script with only this machine's programs in its PATH."""
        return subprocess.run(
            [script],
            env={'PATH': str(self.folder)},
            capture_output=True,
            text=True,
            timeout=SECONDS,
            check=False,
        )

    def apt_get_calls(self) -> list[str]:
        """Return the arguments of each call of apt-get."""
        path = self.folder / 'asked'
        return path.read_text(encoding='utf-8').splitlines()


@pytest.fixture
def machine(tmp_path):
    """Return a machine with root privileges but without spin and gcc."""
    for name in ('bash', 'sh', 'dirname', 'chmod'):
        (tmp_path / name).symlink_to(shutil.which(name))
    made = Machine(tmp_path)
    made.add_program('id', 'echo 0')
    return made


def test_complete_machine_installs_nothing(machine):
    """apt-get is not called if all packages are installed."""
    machine.add_program('spin')
    machine.add_program('gcc')
    machine.add_program('apt-get', FAILS)
    done = machine.run(SYSTEM_PACKAGES)
    assert (done.returncode, done.stdout, done.stderr) == (0, '', '')


def test_missing_packages_are_installed(machine):
    """Package lists are updated before packages are installed."""
    machine.add_program('apt-get', INSTALLS)
    assert machine.run(SYSTEM_PACKAGES).returncode == 0
    assert machine.apt_get_calls() == [
        'update -qq',
        f'install -y -qq {PACKAGES}',
    ]


def test_gcc_without_headers_is_not_enough(machine):
    """Packages are installed if gcc fails, as it does without C headers."""
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
    """The script fails with a reason if it cannot install the packages."""
    for name, body in programs.items():
        machine.add_program(name, body)
    done = machine.run(SYSTEM_PACKAGES)
    assert done.returncode != 0
    assert reason in done.stderr
    assert PACKAGES in done.stderr


def test_run_without_spin_ends_before_any_test(machine):
    """The test script names the missing packages and runs no test."""
    done = machine.run(TEST_SCRIPT)
    assert done.returncode != 0
    assert PACKAGES in done.stderr
    assert done.stdout == ''
