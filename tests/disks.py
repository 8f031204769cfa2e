"""Run history processes with folders of a test."""

import json
import signal
import subprocess
import sys
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path

from attrs import define, field

from jasminewheel._internal.peer.identity import PeerIdentity
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.replication.audit import (
    audit_records,
    read_folder,
)
from jasminewheel._internal.replication.ownership import Ownership
from jasminewheel._internal.replication.placement import (
    Placement,
    PlacementView,
)
from tests.processes import Process, start, wait_for_port

KEY = 'k' * 32
NAMES = ('h1', 'h2', 'h3')
PLACEMENT = Placement(1, 1, (NAMES,))
OWNER = Path(__file__).parent / 'owner_process.py'


@define
class Disks:
    """Start, stop and address history processes by name."""

    folder: Path
    settings: dict
    processes: dict = field(factory=dict)
    ports: dict = field(factory=dict)

    def start(self, *names):
        """Start processes, on their former ports if they ran before."""
        files = {name: self.launch(name) for name in names}
        for name, (popen, port_file) in files.items():
            self.ports[name] = wait_for_port(popen, port_file)
            self.processes[name] = Process(popen, self.ports[name])

    def launch(self, name):
        """Start one process; return it and the file that receives its port."""
        key_file = self.folder / 'key'
        key_file.write_text(KEY)
        port_file = self.folder / f'{name}.port'
        port_file.unlink(missing_ok=True)
        settings = {
            'member': name,
            'zone': f'zone-{name}',
            'region': 'east-mids',
            'peer_host': '127.0.0.1',
            'peer_port': self.ports.get(name, 0),
            'data_folder': str(self.folder / name),
            'key_file': str(key_file),
            'port_file': str(port_file),
            'compact_seconds': 3600,
            **self.settings,
        }
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        return start('history', '--settings', str(path)), port_file

    def kill(self, *names):
        """Kill processes at once."""
        for name in names:
            self.processes.pop(name).kill()

    def signal(self, name, number):
        """Send a signal to a process."""
        self.processes[name].popen.send_signal(number)

    def address_of(self, name):
        """Return the address of a process."""
        port = self.ports[name]
        return f'127.0.0.1:{port}'

    @asynccontextmanager
    async def owner(self, member):
        """Run an owner inside the test."""
        identity = PeerIdentity(member, f'{member}-1', 'leicester-a')
        async with PeerPool(identity, KEY.encode()) as pool:
            view = PlacementView(PLACEMENT)
            yield Ownership(pool, identity, view, self.address_of)

    @contextmanager
    def owner_process(self):
        """Run an owner that appends without pause in its own process."""
        addresses = [f'{name}={self.address_of(name)}' for name in NAMES]
        popen = subprocess.Popen(
            [sys.executable, OWNER, KEY, PLACEMENT.to_json(), *addresses],
            stdout=subprocess.PIPE,
            text=True,
        )
        try:
            yield popen
        finally:
            popen.kill()
            popen.communicate()

    def audit(self):
        """Stop all processes and audit their stored entries."""
        self.kill(*list(self.processes))
        entries = [
            stored
            for name in NAMES
            for stored in read_folder(self.folder / name)
        ]
        return audit_records(entries, 2, started_call)


def started_call(entry):
    """Return the call that a record starts."""
    return entry.payload.decode() if entry.kind == 'started' else None


@contextmanager
def disks(folder, **settings):
    """Run three history processes until the block ends."""
    running = Disks(folder, settings)
    try:
        running.start(*NAMES)
        yield running
    finally:
        for process in running.processes.values():
            process.popen.send_signal(signal.SIGCONT)
            process.kill()
