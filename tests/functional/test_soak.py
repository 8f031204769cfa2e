"""Run a short soak, and check that it leaves no processes behind."""

import os
import signal
import subprocess
import sys
import time
from functools import partial
from pathlib import Path

import pytest
import trio

from tests.soak.soak import soak_seed

# Seeds that failed once are kept here, each with a line on its cause.
SEEDS = (1, 2)
SECONDS = 16.2
PROCESSES = 7
# Seed and number of processes of soaks that failed, each with known facts.
FAILED = (
    # In one of two runs, entry-10 logged nothing for 4.7 s and logged its stop
    # only 0.4 s before the soak ended; the cause is unknown.
    (601, 20),
)
START_SECONDS = 30.0
ENDED_SECONDS = 10.0


@pytest.mark.parametrize('soak_number', SEEDS)
def test_promises_hold_under_the_faults_of_a_seed(tmp_path, soak_number):
    """Every guarantee to callers and runners holds under random faults."""
    report = trio.run(
        partial(soak_seed, soak_number, SECONDS, PROCESSES, tmp_path)
    )
    assert report.passed, report.text


@pytest.mark.long
@pytest.mark.parametrize(('soak_number', 'processes'), FAILED)
def test_promises_hold_in_soaks_that_failed(tmp_path, soak_number, processes):
    """A seed that failed once is repeated."""
    report = trio.run(
        partial(soak_seed, soak_number, SECONDS, processes, tmp_path)
    )
    assert report.passed, report.text


def _processes_of(folder: Path) -> list[str]:
    """Return the processes whose settings file is in the folder."""
    found = []
    for environment in Path('/proc').glob('[0-9]*/environ'):
        try:
            text = environment.read_bytes()
        except OSError:
            # The process has exited, or belongs to another user.
            continue
        if f'JASMINEWHEEL_NODE_FILE={folder}'.encode() in text:
            found.append(environment.parent.name)
    return found


def _wait(condition, seconds: float) -> None:
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
def test_interrupted_soak_ends_what_it_started(tmp_path, number):
    """No process is left after a signal has interrupted the soak."""
    command = ('-m', 'tests.soak', '--seed', '1', '--folder', str(tmp_path))
    with subprocess.Popen(
        (sys.executable, *command),
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        env={**os.environ, 'PYTHONPATH': 'src'},
    ) as soak:
        _wait(lambda: len(_processes_of(tmp_path)) > 3, START_SECONDS)
        soak.send_signal(number)
        assert soak.wait(ENDED_SECONDS) != 0
    assert not _processes_of(tmp_path)
