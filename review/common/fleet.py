"""Run the roles of the deploy file beside stand-ins, on loopback addresses."""

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from common.http import Answer, ask, serve
from common.runner import Runner
from common.store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = 'desk.example'
STREAM_STRIDE = 2
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Between readiness and the first request; the users' traffic starts later.
WARM_UP_SECONDS = 5.0
PORTS = {'Front': 8149, 'Ready': 8141, 'Peer': 7380, 'Metrics': 9464}
STORE_PORT = 8142
# The small sites' bounds.
BOUNDS = """
SeedLagS = 3
AddrReuseS = 2
ContactMs = 4000
AckMs = 5000
CatchUpS = 4.9
DrainMs = 2500
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2500
RollbackSlackMs = 250
SkewMaxMs = 6000
RecoverS = 12
PassMs = 300
AgainS = 0
DeadlineS = 10
SettleMs = 1000
"""


class CannotRunError(Exception):
    """Report that a case could not be played."""


@dataclass
class Node:
    """Represent one machine: its settings, disk, log and process."""

    name: str
    ip: str
    zone: str
    role: str
    fleet: 'Fleet'
    popen: subprocess.Popen | None = None
    starts: int = 0
    # Whether the machine is there when the whole system starts first.
    first: bool = True

    @property
    def front(self) -> str:
        """Return the address for clients."""
        return f'{self.ip}:{PORTS["Front"]}'

    @property
    def disk(self) -> Path:
        """Return the data folder."""
        return self.fleet.folder / self.name / 'data'

    def settings(self) -> str:
        """Return the settings file, in the format of DEPLOY.md."""
        zones = '\n'.join(
            f'{name} = "{region}"' for name, region in self.fleet.zones.items()
        )
        store = self.role == 'history'
        listen = (
            ''
            if store
            else f'Front = "{self.front}"\nReady = "{self.ip}:{PORTS["Ready"]}"'
        )
        folder = f'DataDir = "{self.disk}"\n' if store else ''
        serves = '"store", "control"' if store else '"front"'
        if store:
            listen = f'Control = "{self.ip}:8144"'
        seeds = ', '.join(
            f'"{one.ip}:8144"' for one in self.fleet.nodes if one.role == 'history'
        )
        return f"""
NodeName = "{self.name}"
Role = "{self.role}"
MachineClass = "{'store' if store else 'front'}"
Serves = [{serves}]
Ip = "{self.ip}"
Zone = "{self.zone}"
Region = "{self.fleet.zones[self.zone]}"
PortRange = [7380, 7395]
Seeds = [{seeds}]
Bootstrap = {str(self.first and not self.starts).lower()}
InFaultBudget = {str(store).lower()}
{folder}Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","recover","agent","stream","engine","platform"]
[Zones]
{zones}
[Listen]
{listen}
[Limits]
CpuShare = 0.5
Cores = 1
MemoryMb = 310
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = {310 if store else 0}
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]{BOUNDS}
[Platform]
Address = "{self.fleet.store_address}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""

    def start(self) -> None:
        """Start the role's process, with the command of the deploy file."""
        folder = self.fleet.folder / self.name
        folder.mkdir(exist_ok=True)
        if self.role == 'history':
            self.disk.mkdir(exist_ok=True)
        path = folder / 'settings.toml'
        path.write_text(self.settings(), encoding='utf-8')
        kept = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env['JASMINEWHEEL_NODE_FILE'] = str(path)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with (folder / 'log').open('ab') as log:
            self.popen = subprocess.Popen(
                ['python3', '-m', 'jasminewheel.platform', self.role],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.starts += 1
        self.fleet.log(f'{self.name}: started, {self.role} in {self.zone}')

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.fleet.log(f'{self.name}: {number.name}')
        self.popen.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self.popen and self.popen.poll() is None:
            self.send(signal.SIGKILL)
            self.popen.wait()

    def wipe(self) -> None:
        """Lose the disk."""
        self.fleet.log(f'{self.name}: its disk is lost')
        shutil.rmtree(self.disk, ignore_errors=True)

    def log_lines(self) -> list[str]:
        """Return what the process has written."""
        path = self.fleet.folder / self.name / 'log'
        return path.read_text(encoding='utf-8', errors='replace').splitlines()


@dataclass
class Fleet:
    """Run nodes, runners and the platform's store; record what happens."""

    case: Path
    zones: dict[str, str]
    folder: Path = field(init=False)
    subnet: str = field(init=False)
    store: Store = field(default_factory=Store)
    nodes: list[Node] = field(default_factory=list)
    runners: list[Runner] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)
    servers: list[asyncio.Server] = field(default_factory=list)
    tasks: list[asyncio.Task] = field(default_factory=list)
    began: float = field(default_factory=time.monotonic)
    sent: int = 0

    def __post_init__(self) -> None:
        """Choose a free part of the loopback network, and a folder."""
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.subnet = _free_subnet()
        self.store.log = self.log

    @property
    def store_address(self) -> str:
        """Return the address of the platform's store."""
        return f'{self.subnet}.250:{STORE_PORT}'

    def log(self, line: str) -> None:
        """Add a line to the record."""
        self.lines.append(f'{time.monotonic() - self.began:8.3f} {line}')

    async def __aenter__(self) -> 'Fleet':
        """Start the platform's store."""
        self.servers.append(
            await serve(self.store.handle, f'{self.subnet}.250', STORE_PORT)
        )
        self.tasks.append(asyncio.create_task(self.store.end_leases()))
        return self

    async def __aexit__(self, *_error: object) -> None:
        """End all processes, write the record, remove the folder."""
        for node in self.nodes:
            with suppress(ProcessLookupError):
                node.kill()
        for task in (*self.tasks, *self.store.pending):
            task.cancel()
        for server in self.servers:
            server.close()
        record = '\n'.join(self.lines) + '\n'
        (self.case / 'record.txt').write_text(record, encoding='utf-8')
        if os.environ.get('KEEP_LOGS'):
            sys.stderr.write(f'logs: {self.folder}\n')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def add_node(self, name: str, zone: str, role: str) -> Node:
        """Add a machine; it is not started yet."""
        number = len(self.nodes) + 1
        node = Node(name, f'{self.subnet}.{number}', zone, role, self)
        self.nodes.append(node)
        return node

    async def add_runner(
        self, runner_id: str, service: str, zone: str, **fields: object
    ) -> Runner:
        """Start a runner and register it."""
        runner = Runner(runner_id, service, zone, self.store, self.log, **fields)
        ip = f'{self.subnet}.{100 + len(self.runners)}'
        runner.address = f'{ip}:8100'
        self.servers.append(await serve(runner.handle, ip, 8100))
        runner.register()
        self.runners.append(runner)
        return runner

    def configure(
        self,
        version: int,
        retention_seconds: float,
        body_bytes: int = 4194304,
    ) -> None:
        """Write a configuration with the small sites' routes."""
        standard = {'Host': HOST_NAME, 'StickySessions': False, 'Resumable': False}
        streaming = {
            **standard,
            'Kind': 'streaming',
            'TimeoutMs': 6000,
            'TargetLatencyMs': 300,
            'Service': 'model',
            'MaxAttempts': 2,
            'RetainHistory': True,
            'RetentionS': retention_seconds,
            'StickySessions': True,
            'GapAimMs': 400,
        }
        plain = {
            **standard,
            'TimeoutMs': 3000,
            'TargetLatencyMs': 600,
            'Priority': 2,
            'Service': 'desk',
        }
        routes = [
            {**streaming, 'Name': 'turns', 'Prefix': '/turns/', 'Priority': 0},
            {
                **plain,
                'Name': 'look',
                'Prefix': '/look/',
                'Kind': 'safe',
                'MaxAttempts': 2,
            },
            {
                **plain,
                'Name': 'book',
                'Prefix': '/book/',
                'Kind': 'unsafe',
                'MaxAttempts': 1,
            },
        ]
        engine = {'Slots': 96, 'KvCacheTokens': 255300, 'StreamStride': 2}
        services = [
            {'Name': 'model', 'HealthPath': '/health', 'Engine': engine},
            {'Name': 'desk', 'HealthPath': '/health', 'MaxConnections': 110},
        ]
        limits = {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': body_bytes,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        }
        self.store.write(
            'op/config',
            {
                'Version': version,
                'Routes': routes,
                'Services': services,
                'Limits': limits,
            },
        )

    async def wait_ready(self, seconds: float = 25) -> None:
        """Wait until each running front machine is ready."""
        end = time.monotonic() + seconds
        fronts = [one for one in self.nodes if one.role == 'entry']
        for node in fronts:
            while True:
                answer = await ask(
                    f'{node.ip}:{PORTS["Ready"]}',
                    'GET',
                    '/ready',
                    {'Host': 'platform'},
                    timeout=1,
                )
                if answer.status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRunError(f'{node.name} is not ready')
                await asyncio.sleep(0.1)
        await asyncio.sleep(WARM_UP_SECONDS)
        self.log('all front machines are ready')

    def new_id(self) -> str:
        """Return an identifier for one client attempt."""
        self.sent += 1
        return f'q{self.sent:05d}{random.getrandbits(32):08x}'

    async def send(
        self,
        node: Node,
        path: str,
        body: bytes = b'',
        *,
        deadline_ms: int = 6000,
        **headers: str,
    ) -> tuple[str, Answer]:
        """Send one client attempt on a new connection; record the answer."""
        call_id = self.new_id()
        fields = {
            'Host': HOST_NAME,
            'Request-Id': call_id,
            'Deadline-Ms': str(deadline_ms),
            **{name.replace('_', '-'): text for name, text in headers.items()},
        }
        shown = {name: text for name, text in headers.items()}
        self.log(f'client: sends {call_id} {path} to {node.name} {shown}')
        answer = await ask(
            node.front,
            'POST' if body else 'GET',
            path,
            fields,
            body,
            timeout=deadline_ms / 1000 + 1,
        )
        self.log(
            f'client: {call_id} is answered {answer.status}'
            f' whole={answer.whole} {answer.body[:70]!r}'
        )
        return call_id, answer

    def runs_of(self, call_id: str) -> list[str]:
        """Return the runners that ran a request."""
        return [
            runner.runner_id
            for runner in self.runners
            for _ in runner.ran.get(call_id, ())
        ]


def output_of(stream: bytes) -> bytes:
    """Return the data of all events, each followed by a line feed."""
    lines = (line for line in stream.split(b'\n') if line.startswith(b'data: '))
    return b''.join(line.removeprefix(b'data: ') + b'\n' for line in lines)


def run_case(coroutine_function, seconds: float = 115) -> None:
    """Run a case; exit with 0 if the rule held, 1 if broken, 2 if not run."""

    async def bounded() -> int:
        return await asyncio.wait_for(coroutine_function(), seconds)

    try:
        code = asyncio.run(bounded())
    except Exception as error:  # A fault of the case is no broken rule.
        sys.stderr.write(f'the case could not run: {error!r}\n')
        code = NOT_RUN
    names = {HELD: 'the rule held', BROKEN: 'THE RULE IS BROKEN'}
    sys.stdout.write(f'{names.get(code, "the case could not run")}\n')
    sys.exit(code)


def _free_subnet() -> str:
    for _ in range(50):
        low, high = random.sample(range(1, 255), 2)
        subnet = f'127.{low}.{high}'
        if all(_is_free(f'{subnet}.{n}', p) for n in (1, 2, 3, 4, 5, 6, 7, 8)
               for p in (*PORTS.values(), 8144)) and _is_free(
                   f'{subnet}.250', STORE_PORT):
            return subnet
    raise CannotRunError('no free part of the loopback network')


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
