"""Run the binaries as processes of a test."""

import signal
import subprocess
import sys
import time
from contextlib import contextmanager

from attrs import define

START_SECONDS = 30
STOP_SECONDS = 30


@define
class Process:
    """Represent a running binary and its port."""

    popen: subprocess.Popen
    port: int

    @property
    def url(self):
        """Return the base URL of the HTTP server."""
        return f'http://127.0.0.1:{self.port}'

    def stop(self):
        """Request a graceful shutdown and return the exit code."""
        self.popen.send_signal(signal.SIGTERM)
        return self.popen.wait(STOP_SECONDS)

    def kill(self):
        """Kill the process and wait for its exit."""
        self.popen.kill()
        self.popen.wait(STOP_SECONDS)


def start(module, *arguments):
    """Start a binary, given its module in jasminewheel.cli."""
    code = f'from jasminewheel.cli.{module} import main; main()'
    return subprocess.Popen([sys.executable, '-c', code, *arguments])


@contextmanager
def running(module, folder, *arguments):
    """Run a binary with a --port-file flag during the context."""
    port_file = folder / f'{module}-{time.monotonic_ns()}.port'
    popen = start(module, '--port-file', str(port_file), *arguments)
    try:
        yield Process(popen, wait_for_port(popen, port_file))
    finally:
        if popen.poll() is None:
            popen.kill()
            popen.wait(STOP_SECONDS)


def wait_for_port(popen, port_file):
    """Return the port once the process has written it."""
    deadline = time.monotonic() + START_SECONDS
    while not port_file.exists():
        assert popen.poll() is None, (
            'the process exited before it wrote its port'
        )
        assert time.monotonic() < deadline, (
            'the process did not write its port in time'
        )
        time.sleep(0.01)
    return int(port_file.read_text())
