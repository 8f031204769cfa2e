"""A process of a role, with its settings file, data folder and log."""

import os
import shutil
import signal
import subprocess
import sys
from pathlib import Path

import trio
from attrs import define, field, frozen

from jasminewheel.platform.settings import FILE_VARIABLE
from tests.processes import STOP_SECONDS

GRACE_SECONDS = 4.0
POLL_SECONDS = 0.02
FRONT_PORT = 8149
READY_PORT = 8141
CONTROL_PORT = 8144
PEER_PORT = 7380
PROC = Path('/proc')
ZONES = ('east-a', 'east-b', 'west-a')
TEMPLATE = """
NodeName = "{name}"
Ip = "{ip}"
Zone = "{zone}"
PortRange = [7380, 7395]
Seeds = [{seeds}]
Bootstrap = {first}
DataDir = "{folder}"
[Zones]
east-a = "east"
east-b = "east"
west-a = "west"
[Listen]
{listen}
[FaultTolerance]
Machines = 1
[Bounds]
GraceS = {grace}
{bounds}
[Limits]
{limits}
[Platform]
Address = "{store}"
"""


@frozen
class Node:
    """Represent the addresses and settings of a process."""

    name: str
    ip: str
    zone: str
    folder: Path
    store: str = ''
    seeds: tuple[str, ...] = ()
    # Lines of the settings' section on limits.
    limits: str = ''
    # Further lines of the section on bounds.
    bounds: str = ''

    @property
    def role(self) -> str:
        """Return the role, which is the first part of the name."""
        return self.name.partition('-')[0]

    @property
    def call_address(self) -> str:
        """Return the address for clients."""
        return f'{self.ip}:{FRONT_PORT}'

    @property
    def ready_address(self) -> str:
        """Return the address for readiness probes."""
        return f'{self.ip}:{READY_PORT}'

    def settings_text(self, *, first: bool) -> str:
        """Return the content of the settings file."""
        listen = f'Control = "{self.ip}:{CONTROL_PORT}"'
        if self.role == 'entry':
            listen = (
                f'Front = "{self.call_address}"\nReady = "{self.ready_address}"'
            )
        return TEMPLATE.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            seeds=', '.join(f'"{seed}"' for seed in self.seeds),
            first=str(first).lower(),
            folder=self.folder / self.name,
            listen=listen,
            grace=GRACE_SECONDS,
            limits=self.limits,
            bounds=self.bounds,
            store=self.store,
        )


@define(eq=False)
class RoleProcess:
    """Start, signal and end one process."""

    node: Node
    popen: subprocess.Popen | None = None
    starts: int = 0
    paused: bool = False
    # Whether the soak itself ends the process; any other exit is a crash.
    exit_expected: bool = False
    lock: trio.Lock = field(factory=trio.Lock)

    @property
    def name(self) -> str:
        """Return the name of the VM."""
        return self.node.name

    @property
    def log_path(self) -> Path:
        """Return the path of the process's log file."""
        return self.node.folder / f'{self.name}.log'

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.popen is not None and self.popen.poll() is None

    @property
    def proc_folder(self) -> Path:
        """Return the folder of the process under /proc."""
        return PROC / str(self.popen.pid)

    def start(self) -> None:
        """Start the process with the current content of its disk."""
        path = self.node.folder / f'{self.name}.toml'
        text = self.node.settings_text(first=not self.starts)
        path.write_text(text, encoding='utf-8')
        with self.log_path.open('ab') as log:
            self.popen = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'jasminewheel.platform',
                    self.node.role,
                ],
                env={**os.environ, FILE_VARIABLE: str(path)},
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.starts += 1
        self.exit_expected = False
        self.paused = False

    def pause(self) -> None:
        """Suspend the process, which cannot detect it."""
        self.paused = True
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.paused = False
        self.popen.send_signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process, and wait until it has exited."""
        self.exit_expected = True
        self.popen.kill()
        await self.wait()

    async def terminate(self) -> bool:
        """Stop the process; kill it and return False after the grace period."""
        self.exit_expected = True
        self.popen.terminate()
        with trio.move_on_after(GRACE_SECONDS):
            await self.wait()
            return True
        await self.kill()
        return False

    async def wait(self) -> None:
        """Wait until the process has exited."""
        while self.is_running:
            await trio.sleep(POLL_SECONDS)

    def wipe(self) -> None:
        """Delete the data folder."""
        shutil.rmtree(self.node.folder / self.name, ignore_errors=True)

    def end(self) -> None:
        """Kill the process in any state, also while suspended."""
        if self.is_running:
            self.exit_expected = True
            self.popen.kill()
            self.popen.wait(STOP_SECONDS)

    def memory_bytes(self) -> int:
        """Return the resident memory in bytes."""
        text = (self.proc_folder / 'statm').read_text(encoding='ascii')
        return int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE')

    def descriptor_count(self) -> int:
        """Return the number of open descriptors."""
        return len(os.listdir(self.proc_folder / 'fd'))
