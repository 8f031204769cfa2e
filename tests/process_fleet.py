"""Run a complete fleet of real processes for a test."""

import secrets
from contextlib import ExitStack, contextmanager

from attrs import define, field
from fleet_configuration import commit, resources
from server_group import ServerGroup

from jasminewheel.commands.ctl.histories import audit_folders

KEYS = ('cafe', 'yard')
ZONES = (('north', 'n-1'), ('north', 'n-2'), ('south', 's-1'))


@define
class ProcessFleet(ServerGroup):
    """Run the stand-ins, histories and entries of a fleet."""

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

    def start_all(self):
        """Start all processes and wait until the entries are ready."""
        key_file = self.folder / 'key'
        key_file.write_text(secrets.token_hex(32))
        key_file.chmod(0o600)
        self.start_stand_ins()
        commit(self['store'].url, resources(self))
        # Started alone, so that its address is in the settings of all others.
        self.start_history(0)
        self.start_members(
            f'history-{number}' for number in range(1, self.histories)
        )
        self.start_members(f'entry-{number}' for number in range(self.entries))
        self.wait_ready()

    def start_stand_ins(self):
        """Start the store, the engines and the tools concurrently."""
        self.launch_stand_in('store', 'fake_store', {})
        for number in range(self.engines):
            self.launch_stand_in(
                f'engine-{number}', 'fake_engine', self.engine_settings
            )
        for number in range(self.tools):
            self.launch_stand_in(
                f'tool-{number}', 'fake_tool', self.tool_settings
            )
        self.wait_ports()

    def start_members(self, names):
        """Start or restart histories and entries concurrently."""
        for name in names:
            kind, _, number = name.partition('-')
            launchers = {
                'entry': self.launch_entry,
                'history': self.launch_history,
            }
            launchers[kind](int(number))
        self.wait_ports()

    def launch_stand_in(self, name, module, settings):
        """Launch a stand-in without waiting for its port."""
        path = self.write(f'{name}.json', settings)
        self.launch(name, module, ('--settings', str(path)))

    def start_history(self, number):
        """Start a history and wait until it serves."""
        self.start_members([f'history-{number}'])

    def launch_history(self, number):
        """Launch a history; after a restart it uses its former data folder."""
        name = f'history-{number}'
        settings = {
            **self.member(name, number),
            'data_folder': str(self.folder / name),
            'port_file': str(self.folder / f'{name}.port'),
        }
        path = self.write(f'{name}.json', settings)
        self.launch(name, 'history', ('--settings', str(path)))

    def start_entry(self, number):
        """Start an entry and wait until it serves."""
        self.start_members([f'entry-{number}'])

    def launch_entry(self, number):
        """Launch an entry without waiting for its port."""
        name = f'entry-{number}'
        settings = {
            **self.member(name, number),
            'http_host': '127.0.0.1',
            'http_port': 0,
            'http_port_file': str(self.folder / f'{name}.port'),
            'peer_port_file': str(self.folder / f'{name}.peer'),
            'trace_file': str(self.folder / f'{name}.spans'),
            **self.entry_fields,
        }
        path = self.write(f'{name}.json', settings)
        self.launch(name, 'entry', ('--settings', str(path)))

    def member(self, name, number):
        """Return the settings common to all members."""
        region, zone = ZONES[number % len(ZONES)]
        return {
            'member': name,
            'zone': zone,
            'region': region,
            'peer_host': '127.0.0.1',
            'peer_port': 0,
            'key_file': str(self.folder / 'key'),
            'store_url': self.servers['store'].url,
            'peers': self.peer_addresses(name),
            'advertised_peer': self.relays.address_of(name),
        }

    def peer_addresses(self, name):
        """Return the peer addresses of the members started earlier."""
        return [
            self.relays.address_of(other) or f'127.0.0.1:{server.peer_port}'
            for other, server in self.servers.items()
            if server.peer_port and other != name
        ]

    def tool_runs(self):
        """Return the number of runs at all tools by request."""
        runs = {}
        for tool in self.named('tool-'):
            counted = tool.get('/control/counts')['runs']
            for request_id, count in counted.items():
                runs[request_id] = runs.get(request_id, 0) + count
        return runs


def audit_histories(fleet):
    """Audit the records of the histories against the specification."""
    names = [f'history-{number}' for number in range(fleet.histories)]
    report = audit_folders([fleet.folder / name for name in names])
    assert report.entries
    assert not report.problems, report.problems


@contextmanager
def running_fleet(folder, **fields):
    """Run a fleet during the context, then audit its histories."""
    fleet = ProcessFleet(folder, **fields)
    with ExitStack() as stack:
        stack.callback(fleet.end_all)
        fleet.start_all()
        yield fleet
        fleet.end_all()
        audit_histories(fleet)
