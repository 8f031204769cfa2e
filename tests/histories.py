"""Run histories and owners inside a test."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, ExitStack, asynccontextmanager
from pathlib import Path

import trio
from attrs import define, field

from jasminewheel._internal.history.disk import SEGMENT_BYTES, DiskLog
from jasminewheel._internal.history.fence_guard import FenceGuard
from jasminewheel._internal.history.journal import Compactor, Journal
from jasminewheel._internal.history.service import history_handlers
from jasminewheel._internal.history.state import DiskState
from jasminewheel._internal.peer.identity import PeerIdentity
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.peer.server import PeerServer
from jasminewheel._internal.replication.ownership import Ownership
from jasminewheel._internal.replication.placement import (
    Placement,
    PlacementView,
)
from jasminewheel.errors import DiskFullError, QuorumError

KEY = b'k' * 32
QUOTA_BYTES = 1 << 30


@define
class RunningHistory:
    """Represent a history served inside the test."""

    member: str
    address: str
    journal: Journal
    scope: trio.CancelScope

    @property
    def replica(self) -> str:
        """Return the name of the disk in placements."""
        return FenceGuard(self.journal, self.member).replica

    def stop(self) -> None:
        """Stop serving without cleanup, as a crash would."""
        self.scope.cancel()


@define
class Fleet:
    """Run histories by name; each reuses its folder after a restart."""

    folder: Path
    nursery: trio.Nursery
    quota_bytes: int = QUOTA_BYTES
    segment_bytes: int = SEGMENT_BYTES
    histories: dict[str, RunningHistory] = field(factory=dict)
    addresses: dict[str, str] = field(factory=dict)
    ended: dict[str, trio.Event] = field(factory=dict)

    async def start(self, member: str) -> RunningHistory:
        """Start a history, on its former port if it ran before.

        A history that was stopped during a write has its folder locked until
        the write ends.
        """
        former = self.ended.get(member)
        if former is not None:
            await former.wait()
        history = await self.nursery.start(self.serve, member)
        self.histories[member] = history
        return history

    async def start_all(self, *members: str) -> None:
        """Start several histories."""
        async with trio.open_nursery() as nursery:
            for member in members:
                nursery.start_soon(self.start, member)

    def replicas(self, *members: str) -> list[str]:
        """Return the names under which placements list the disks."""
        chosen = members or self.histories
        return [self.histories[member].replica for member in chosen]

    async def serve(
        self,
        member: str,
        task_status: trio.TaskStatus[RunningHistory],
    ) -> None:
        """Serve one disk until it is stopped."""
        port = int(self.addresses.get(member, ':0').partition(':')[2])
        disk = DiskLog(
            self.folder / member, self.quota_bytes, self.segment_bytes
        )
        identity = PeerIdentity(member, 'i', 'nottingham-a')
        with ExitStack() as stack:
            self.ended[member] = trio.Event()
            stack.callback(self.ended[member].set)
            scope = stack.enter_context(trio.CancelScope())
            stack.enter_context(disk)
            journal = Journal(disk, DiskState(disk.read_head))
            journal.load()
            handlers = history_handlers(
                FenceGuard(journal, member), 'nottingham-a'
            )
            server = PeerServer(identity, KEY, handlers)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(journal.run)
                nursery.start_soon(Compactor(journal, 0.05).run)
                port = await nursery.start(server.serve, '127.0.0.1', port)
                self.addresses[member] = f'127.0.0.1:{port}'
                task_status.started(
                    RunningHistory(
                        member, self.addresses[member], journal, scope
                    )
                )

    def stop(self, *members: str) -> None:
        """Stop histories as a crash would."""
        for member in members:
            self.histories.pop(member).stop()

    @asynccontextmanager
    async def owner(
        self, member: str, placement: Placement
    ) -> AsyncIterator[Ownership]:
        """Run an owner with its own connections."""
        identity = PeerIdentity(member, f'{member}-1', 'leicester-a')
        async with PeerPool(identity, KEY) as pool:
            view = PlacementView(placement)
            yield Ownership(pool, identity, view, self.addresses.__getitem__)


@asynccontextmanager
async def fleet(
    folder: Path, *members: str, **fields: int
) -> AsyncIterator[Fleet]:
    """Run histories of these names."""
    async with AsyncExitStack() as stack:
        nursery = await stack.enter_async_context(trio.open_nursery())
        running = Fleet(folder, nursery, **fields)
        await running.start_all(*members)
        yield running
        nursery.cancel_scope.cancel()


def placement_of(*members: str, epoch: int = 1, slots: int = 16) -> Placement:
    """Return a placement with one replica set."""
    return Placement(epoch, slots, (members,))


async def append_with_retries(slot, *record):
    """Append the same record until a majority holds it."""
    while True:
        try:
            return await slot.append(*record)
        except (DiskFullError, QuorumError):
            await trio.sleep(0.05)


def run(scenario, folder):
    """Run a scenario with a deadline."""

    async def bounded():
        with trio.fail_after(30):
            await scenario(folder)

    trio.run(bounded)
