"""Run the measured members as processes with a fake store."""

import json
import subprocess
import sys
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

import httpx
from attrs import define, field

from jasminewheel._internal.capacity.member_process import (
    MemberProcessSettings,
    MemberSample,
)
from jasminewheel._internal.peer.traffic import Traffic

WAIT_TIMEOUT_SECONDS = 120.0
POLL_SECONDS = 0.05
SEED_PEERS = 3
START_BATCH_SIZE = 16
_STORE = 'from jasminewheel.cli.fake_store import main; main()'
_MEMBER = 'jasminewheel._internal.capacity.member_process'


class MeasurementError(Exception):
    """Report that a fleet did not reach the expected state in time."""


def wait_for(condition: Callable[[], bool], description: str) -> float:
    """Return the seconds until a condition holds.

    Raises MeasurementError after WAIT_TIMEOUT_SECONDS.
    """
    started_at = time.monotonic()
    while not condition():
        if time.monotonic() - started_at > WAIT_TIMEOUT_SECONDS:
            raise MeasurementError(
                f'{description} took over {WAIT_TIMEOUT_SECONDS} s'
            )
        time.sleep(POLL_SECONDS)
    return time.monotonic() - started_at


@define
class MemberFleet:
    """Manage the member processes of one measurement."""

    folder: Path
    store_url: str
    processes: dict[str, subprocess.Popen[bytes]] = field(factory=dict)

    def start(self, names: Iterable[str]) -> None:
        """Start members with a few running ones as their initial peers."""
        samples = self.samples().values()
        peers = tuple(one.address for one in samples)[:SEED_PEERS]
        for name in names:
            settings = MemberProcessSettings(
                name,
                self.store_url,
                str(self.sample_path(name)),
                peers,
            )
            self.processes[name] = self.spawn(name, settings)

    def spawn(
        self,
        name: str,
        settings: MemberProcessSettings,
    ) -> subprocess.Popen[bytes]:
        """Start one member process."""
        path = self.folder / f'{name}.json'
        body = {
            'member': settings.member,
            'store_url': settings.store_url,
            'sample_file': settings.sample_file,
            'peers': list(settings.peers),
        }
        path.write_text(json.dumps(body), encoding='utf-8')
        return subprocess.Popen(
            [sys.executable, '-m', _MEMBER, str(path)],
            stderr=subprocess.DEVNULL,
        )

    def grow_to(self, count: int) -> None:
        """Start members up to `count` and wait until the fleet converges."""
        names = [f'vm-{number}' for number in range(count)]
        missing = [name for name in names if name not in self.processes]
        # The others need the address of the first member as a peer, and it
        # has none until it runs.
        for batch in (missing[:1], *_batches(missing[1:])):
            self.start(batch)
            wait_for(self.has_converged, 'joining')

    def has_converged(self) -> bool:
        """Return whether every member lists all members as live."""
        samples = self.samples()
        count = len(self.processes)
        return len(samples) == count and all(
            one.live == count for one in samples.values()
        )

    def kill(self, names: Iterable[str]) -> None:
        """Kill members and delete their samples."""
        for name in names:
            process = self.processes.pop(name)
            process.kill()
            process.wait()
            self.sample_path(name).unlink(missing_ok=True)

    def samples(self) -> dict[str, MemberSample]:
        """Return the last sample of each member that has written one."""
        found = {}
        for name in self.processes:
            path = self.sample_path(name)
            if path.exists():
                found[name] = _read_sample(path)
        return found

    def sample_path(self, name: str) -> Path:
        """Return where a member writes its samples."""
        return self.folder / f'{name}.sample'

    def store_counts(self) -> dict[str, Any]:
        """Return the counts of calls of the fake store."""
        return httpx.get(f'{self.store_url}/control/counts').json()

    def stop(self) -> None:
        """Kill all members."""
        self.kill(tuple(self.processes))


@contextmanager
def member_fleet(folder: Path) -> Iterator[MemberFleet]:
    """Run a fake store for a fleet; stop all processes at the end."""
    port_file = folder / 'store.port'
    port_file.unlink(missing_ok=True)
    store = subprocess.Popen(
        [sys.executable, '-c', _STORE, '--port-file', str(port_file)],
        stderr=subprocess.DEVNULL,
    )
    fleet = MemberFleet(folder, '')
    with ExitStack() as stack:
        stack.callback(store.wait)
        stack.callback(store.kill)
        stack.callback(fleet.stop)
        wait_for(port_file.exists, 'start of the store')
        port = int(port_file.read_text(encoding='ascii'))
        fleet.store_url = f'http://127.0.0.1:{port}'
        yield fleet


def _batches(names: list[str]) -> Iterator[list[str]]:
    for start in range(0, len(names), START_BATCH_SIZE):
        yield names[start : start + START_BATCH_SIZE]


def _read_sample(path: Path) -> MemberSample:
    body = json.loads(path.read_text(encoding='utf-8'))
    return MemberSample(**{**body, 'traffic': Traffic(**body['traffic'])})
