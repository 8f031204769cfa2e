"""Start, look up and terminate a group of processes of a test."""

import json
import signal
import time
from pathlib import Path

import httpx
from attrs import define, field
from callers import HTTP
from processes import STOP_SECONDS, Process, start, wait_for_port
from relay import Relays

READY_SECONDS = 40


def poll(condition, seconds=READY_SECONDS, message='condition not met in time'):
    """Return the first true result of the condition; fail after a timeout."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        found = condition()
        if found:
            return found
        time.sleep(0.02)
    raise AssertionError(message)


@define
class Server(Process):
    """Represent one process of a fleet and its command line."""

    module: str = ''
    arguments: tuple = ()
    peer_port: int = 0

    def freeze(self):
        """Suspend the process with SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def thaw(self):
        """Resume a frozen process."""
        self.popen.send_signal(signal.SIGCONT)

    def get(self, path):
        """Send a GET request and return the JSON response."""
        return HTTP.get(f'{self.url}{path}', timeout=10).json()

    def set_fault(self, **fields):
        """Configure the fault that a stand-in simulates."""
        answer = HTTP.post(
            f'{self.url}/control/faults', json=fields, timeout=10
        )
        answer.raise_for_status()

    def is_ready(self):
        """Return whether an entry reports that it is ready."""
        try:
            answer = HTTP.get(f'{self.url}/readyz', timeout=2)
        except httpx.HTTPError:
            return False
        return answer.status_code == httpx.codes.OK


@define
class ServerGroup:
    """Manage processes by name; all files are in one folder."""

    folder: Path
    servers: dict = field(factory=dict)
    relays: Relays = field(factory=Relays)

    def __getitem__(self, name):
        """Return a process by its name."""
        return self.servers[name]

    def launch(self, name, module, arguments):
        """Start a process; wait_ports() waits until it serves."""
        port_file = self.port_file(name)
        port_file.unlink(missing_ok=True)
        if module.startswith('fake_'):
            arguments = ('--port-file', str(port_file), *arguments)
        popen = start(module, *arguments)
        self.servers[name] = Server(popen, 0, module, arguments)

    def port_file(self, name):
        """Return the path of the file that receives a process's port."""
        return self.folder / f'{name}.port'

    def wait_ports(self):
        """Wait until each launched process has written its port."""
        for name, server in self.servers.items():
            if server.port:
                continue
            server.port = wait_for_port(server.popen, self.port_file(name))
            server.peer_port = self.peer_port_of(name, server)
            self.relays.set_target_port(name, server.peer_port)

    def peer_port_of(self, name, server):
        """Return the peer port of a process, or 0 for a stand-in."""
        if server.module == 'history':
            return server.port
        if server.module == 'entry':
            return int((self.folder / f'{name}.peer').read_text())
        return 0

    def wait_ready(self):
        """Wait until all running entries are ready."""
        running = [
            server
            for server in self.named('entry-')
            if server.popen.poll() is None
        ]
        for server in running:
            poll(server.is_ready, message=f'{server.arguments} not ready')

    def write(self, name, settings):
        """Write a settings file and return its path."""
        path = self.folder / name
        path.write_text(json.dumps(settings))
        return path

    def named(self, prefix):
        """Return the processes whose names start with a prefix."""
        return [
            server
            for name, server in self.servers.items()
            if name.startswith(prefix)
        ]

    def end_all(self):
        """Kill all running processes and close the relays."""
        for server in self.servers.values():
            if server.popen.poll() is None:
                server.thaw()
                server.popen.kill()
        for server in self.servers.values():
            server.popen.wait(STOP_SECONDS)
        self.relays.close()
