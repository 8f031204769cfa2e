"""Run a whole fleet of real processes for a test."""

import json
import secrets
import signal
import time
from contextlib import ExitStack, contextmanager
from pathlib import Path

import httpx
from attrs import define, field
from fleet_configuration import commit, resources
from processes import STOP_SECONDS, Process, start, wait_for_port
from relay import Relays

from jasminewheel.commands.ctl.histories import audit_folders

KEYS = ('cafe', 'yard')
READY_SECONDS = 40
ZONES = (('north', 'n-1'), ('north', 'n-2'), ('south', 's-1'))


def poll(condition, seconds=READY_SECONDS, message='not in time'):
    """Return the first true value of the condition."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        found = condition()
        if found:
            return found
        time.sleep(0.02)
    raise AssertionError(message)


@define
class Server(Process):
    """Hold one process of the fleet with the settings it was started by."""

    module: str = ''
    arguments: tuple = ()
    peer_port: int = 0

    def freeze(self):
        """Stop the process without its notice."""
        self.popen.send_signal(signal.SIGSTOP)

    def thaw(self):
        """Let a frozen process go on."""
        self.popen.send_signal(signal.SIGCONT)

    def get(self, path):
        """Return the JSON of a control request."""
        return httpx.get(f'{self.url}{path}', timeout=10).json()

    def fault(self, **fields):
        """Install a fault in a stand-in."""
        answer = httpx.post(
            f'{self.url}/control/faults', json=fields, timeout=10
        )
        answer.raise_for_status()

    def is_ready(self):
        """Return whether an entry takes requests."""
        try:
            answer = httpx.get(f'{self.url}/readyz', timeout=2)
        except httpx.HTTPError:
            return False
        return answer.status_code == httpx.codes.OK


@define
class ProcessFleet:
    """Start, stop and find the processes of a fleet by name."""

    folder: Path
    entries: int = 2
    histories: int = 3
    engines: int = 2
    tools: int = 2
    engine_settings: dict = field(factory=dict)
    tool_settings: dict = field(factory=dict)
    target_fields: dict = field(factory=dict)
    caller_fields: dict = field(factory=dict)
    policy_fields: dict = field(factory=dict)
    entry_fields: dict = field(factory=dict)
    servers: dict = field(factory=dict)
    relays: Relays = field(factory=Relays)

    def __getitem__(self, name):
        """Return a process."""
        return self.servers[name]

    def start_all(self):
        """Start everything and wait until the entries are ready."""
        key_file = self.folder / 'key'
        key_file.write_text(secrets.token_hex(32))
        key_file.chmod(0o600)
        self.stand_in('store', 'fake_store', {})
        for number in range(self.engines):
            self.stand_in(
                f'engine-{number}', 'fake_engine', self.engine_settings
            )
        for number in range(self.tools):
            self.stand_in(f'tool-{number}', 'fake_tool', self.tool_settings)
        commit(self['store'].url, resources(self))
        for number in range(self.histories):
            self.start_history(number)
        for number in range(self.entries):
            self.start_entry(number)
        self.wait_ready()

    def wait_ready(self):
        """Wait until all running entries are ready."""
        running = [
            server
            for server in self.named('entry-')
            if server.popen.poll() is None
        ]
        for server in running:
            poll(server.is_ready, message=f'{server.arguments} not ready')

    def stand_in(self, name, module, settings):
        """Start a stand-in."""
        path = self.write(f'{name}.json', settings)
        return self.launch(name, module, ('--settings', str(path)))

    def start_history(self, number):
        """Start a history, on its former port and folder if it ran before."""
        name = f'history-{number}'
        settings = {
            **self.member(name, number),
            'data_folder': str(self.folder / name),
            'port_file': str(self.folder / f'{name}.port'),
        }
        path = self.write(f'{name}.json', settings)
        return self.launch(name, 'history', ('--settings', str(path)))

    def start_entry(self, number, **fields):
        """Start an entry, on its former peer port if it ran before."""
        name = f'entry-{number}'
        settings = {
            **self.member(name, number),
            'http_host': '127.0.0.1',
            'http_port': 0,
            'http_port_file': str(self.folder / f'{name}.port'),
            'peer_port_file': str(self.folder / f'{name}.peer'),
            'trace_file': str(self.folder / f'{name}.spans'),
            **self.entry_fields,
            **fields,
        }
        path = self.write(f'{name}.json', settings)
        return self.launch(name, 'entry', ('--settings', str(path)))

    def member(self, name, number):
        """Return the settings that all members have."""
        region, zone = ZONES[number % len(ZONES)]
        return {
            'member': name,
            'zone': zone,
            'region': region,
            'peer_host': '127.0.0.1',
            'peer_port': 0,
            'key_file': str(self.folder / 'key'),
            'store_url': self.servers['store'].url,
            'peers': self.known_peers(name),
            'advertised_peer': self.relays.address_of(name),
        }

    def known_peers(self, name):
        """Return the peer addresses of the members started before."""
        return [
            self.relays.address_of(other) or f'127.0.0.1:{server.peer_port}'
            for other, server in self.servers.items()
            if server.peer_port and other != name
        ]

    def launch(self, name, module, arguments):
        """Start a process and wait for its port."""
        port_file = self.folder / f'{name}.port'
        port_file.unlink(missing_ok=True)
        if module.startswith('fake_'):
            arguments = ('--port-file', str(port_file), *arguments)
        popen = start(module, *arguments)
        server = Server(popen, 0, module, arguments)
        self.servers[name] = server
        server.port = wait_for_port(popen, port_file)
        server.peer_port = self.peer_port_of(name, module, server)
        self.relays.lead(name, server.peer_port)
        return server

    def peer_port_of(self, name, module, server):
        """Return where peers reach a process; 0 for a stand-in."""
        if module == 'history':
            return server.port
        if module == 'entry':
            return int((self.folder / f'{name}.peer').read_text())
        return 0

    def write(self, name, settings):
        """Write a settings file."""
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

    def tool_runs(self):
        """Return how often each request ran at any tool."""
        runs = {}
        for tool in self.named('tool-'):
            counted = tool.get('/control/counts')['runs']
            for request_id, count in counted.items():
                runs[request_id] = runs.get(request_id, 0) + count
        return runs

    def end_all(self):
        """End every process that still runs."""
        for server in self.servers.values():
            if server.popen.poll() is None:
                server.thaw()
                server.popen.kill()
        for server in self.servers.values():
            server.popen.wait(STOP_SECONDS)
        self.relays.close()


def audit_histories(fleet):
    """Check what the histories stored against the specification."""
    names = [f'history-{number}' for number in range(fleet.histories)]
    report = audit_folders([fleet.folder / name for name in names])
    assert report.entries
    assert not report.problems, report.problems


@contextmanager
def running_fleet(folder, **fields):
    """Run a fleet until the test leaves."""
    fleet = ProcessFleet(folder, **fields)
    with ExitStack() as stack:
        stack.callback(fleet.end_all)
        fleet.start_all()
        yield fleet
        fleet.end_all()
        audit_histories(fleet)
