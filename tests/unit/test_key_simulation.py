"""Play registrations against a store that loses answers, by seed.

Processes of one VM follow each other; the store executes lost calls late, is
silent for a while, and the key is removed. Once all is calm the key has what
the last process wants, and stays as it is.
"""

import json
from base64 import b64decode
from contextlib import suppress
from importlib import import_module
from random import Random

import pytest
import trio
from attrs import define, field
from trio.testing import MockClock

from jasminewheel._internal.conversation.replica_set import Replica
from jasminewheel._internal.conversation.set_change import Candidate
from jasminewheel._internal.conversation.set_controller import DiskRegistration
from jasminewheel._internal.conversation.set_listener import DISK_PREFIX
from jasminewheel._internal.store.mirror import StoreMirror
from jasminewheel.errors import StoreError
from tests.late_store import LateStore, late_store

KEY = f'{DISK_PREFIX}vm1'
# The last ones failed while the code was written.
SEEDS = (*range(120), 1316, 1514, 2620)
# Which of the tasks that can run is run first.
_TASK_ORDER = getattr(import_module('trio._core._run'), '_r')
EVENTS = 25
LATE_SECONDS = (1.0, 6.0)
LOST_SHARE = 0.35
# All late calls are executed and all former leases have ended by then.
CALM_SECONDS = 12.0
STILL_SECONDS = 30.0


@define(eq=False)
class Losses:
    """Lose the answers to some calls until that is ended."""

    random: Random
    ended: bool = False

    def __call__(self, name: str, _fields: dict) -> float | None:
        """Return how late a call is executed, or None if it is answered."""
        lost = self.random.random() < LOST_SHARE
        if lost and name != 'kv-watch' and not self.ended:
            return self.random.uniform(*LATE_SECONDS)
        return None


@define(eq=False)
class Process:
    """Represent a running process of the VM and its disk."""

    registration: DiskRegistration
    scope: trio.CancelScope = field(factory=trio.CancelScope)
    ended: trio.Event = field(factory=trio.Event)

    async def run(self, store: LateStore) -> None:
        """Keep the disk listed until the process is killed."""
        key = self.registration.leased_key
        mirror = StoreMirror(store)
        key.follow(mirror)
        with self.scope:
            async with trio.open_nursery() as tasks:
                tasks.start_soon(key.run)
                tasks.start_soon(mirror.run)
        self.ended.set()


@define(eq=False)
class Play:
    """Play one seed."""

    random: Random
    store: LateStore
    tasks: trio.Nursery
    losses: Losses
    running: Process | None = None
    disks: int = 0
    copied: int = 0

    async def start(self) -> None:
        """Start a process, on a new disk at times."""
        self.disks += self.random.choice((0, 1))
        disk = Replica(f'd{self.disks}', 'vm1', 'h:1', 'z')
        self.running = Process(DiskRegistration(self.store, Candidate(disk)))
        self.running.registration.leased_key.random = self.random
        self.tasks.start_soon(self.running.run, self.store)

    async def kill(self) -> None:
        """Kill the process, and start the next one after a moment."""
        self.running.scope.cancel()
        await self.running.ended.wait()
        await trio.sleep(self.random.choice((0.1, 1, 4)))
        await self.start()

    async def note_copied(self) -> None:
        """Note that the disk has copied for a newer change."""
        self.copied += 1
        with suppress(StoreError):
            await self.running.registration.note_copied(self.copied)

    async def remove(self) -> None:
        """Remove the key, as the end of a former lease does."""
        self.store.stand_in.remove(KEY)

    async def silence(self) -> None:
        """Let the store answer nothing for a while."""
        self.store.silent = True
        await trio.sleep(self.random.choice((0.5, 2, 5)))
        self.store.silent = False

    async def run(self) -> None:
        """Play the events, then check the key."""
        await self.start()
        events = (self.kill, self.note_copied, self.remove, self.silence)
        left = EVENTS
        while left:
            left -= 1
            await self.random.choice(events)()
            await trio.sleep(self.random.expovariate(1))
        self.losses.ended = True
        await trio.sleep(CALM_SECONDS)
        before = self.check()
        await trio.sleep(STILL_SECONDS)
        assert self.check() == before

    def check(self) -> int:
        """Check that the key has what its process wants, under its lease.

        Return its revision.
        """
        stand_in = self.store.stand_in
        stand_in.expire(trio.current_time())
        item = stand_in.items[KEY]
        candidate = self.running.registration.candidate
        fields = json.loads(b64decode(item['Value']))
        assert fields['replica']['disk_id'] == candidate.replica.disk_id
        assert fields['copied_revision'] == candidate.copied_revision
        key = self.running.registration.leased_key
        assert str(item['Lease']) == key.lease
        return item['Revision']


@pytest.mark.parametrize('seed', SEEDS)
def test_key_ends_up_as_its_process_wants(seed: int):
    """After losses, restarts and outages the last process has the key."""
    random = Random(seed)
    _TASK_ORDER.seed(seed)

    async def scenario() -> None:
        losses = Losses(random)
        async with late_store(losses) as store, trio.open_nursery() as tasks:
            await Play(random, store, tasks, losses).run()
            tasks.cancel_scope.cancel()

    trio.run(scenario, clock=MockClock(autojump_threshold=0))
