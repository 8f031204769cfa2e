"""Run histories in virtual time, with disks of a fixed access time.

Requests reach the handlers of the histories without sockets or threads, so
that the load of the machine has no influence.
"""

import math
from contextlib import (
    AsyncExitStack,
    ExitStack,
    asynccontextmanager,
    suppress,
)
from copy import copy

import trio
from attrs import define, field
from trio.testing import MockClock

from jasminewheel._internal.history.disk import DiskLog
from jasminewheel._internal.history.fence_guard import FenceGuard
from jasminewheel._internal.history.journal import Journal
from jasminewheel._internal.history.service import history_handlers
from jasminewheel._internal.history.state import DiskState
from jasminewheel._internal.peer.identity import PeerIdentity
from jasminewheel._internal.replication.ownership import Ownership
from jasminewheel._internal.replication.placement import PlacementView
from jasminewheel.errors import PeerError

QUOTA_BYTES = 1 << 30
# Duration of one write or read, and what each of its entries adds.
ACCESS_SECONDS = 0.005
ENTRY_SECONDS = 0.001
# Network latency of a request or an answer.
LATENCY_SECONDS = 0.001
SCENARIO_SECONDS = 600


async def timed_access(work, items):
    """Replace trio.to_thread.run_sync by a disk access in virtual time."""
    await trio.sleep(ACCESS_SECONDS + ENTRY_SECONDS * len(items))
    return work(items)


@define
class PageExchange:
    """Collect the pages that a handler sends before its last message."""

    pages: trio.MemorySendChannel

    async def reply(self, message):
        """Send a copy of the page; the handler reuses the object."""
        await self.pages.send(copy(message))


@define
class TimedPool:
    """Fake a pool of connections to the histories."""

    nursery: trio.Nursery
    handlers: dict

    async def ask(self, address, message, reply_kind, *, timeout_seconds):
        """Return the answer of a history."""
        pages, _ = trio.open_memory_channel(math.inf)
        try:
            with trio.fail_after(timeout_seconds):
                return await self.answer(address, message, pages)
        except trio.TooSlowError as error:
            raise PeerError(f'{address} did not answer') from error

    @asynccontextmanager
    async def stream(self, address, message, reply_kind):
        """Yield the channel on which the pages of an answer arrive."""
        sender, pages = trio.open_memory_channel(math.inf)
        self.nursery.start_soon(self.send_pages, address, message, sender)
        yield pages

    async def send_pages(self, address, message, pages):
        """Run the handler of a message that is answered with pages."""
        async with pages:
            with suppress(PeerError):
                await pages.send(await self.answer(address, message, pages))

    async def answer(self, address, message, pages):
        """Run the handler of a message."""
        handlers = self.handlers.get(address)
        if handlers is None:
            raise PeerError(f'cannot reach {address}', sent=False)
        await trio.sleep(LATENCY_SECONDS)
        answer = await handlers[type(message)](PageExchange(pages), message)
        await trio.sleep(LATENCY_SECONDS)
        return answer


@define
class TimedFleet:
    """Run histories by name and owners in the same nursery."""

    nursery: trio.Nursery
    journals: dict = field(factory=dict)
    handlers: dict = field(factory=dict)

    def start(self, stack, folder, member):
        """Serve one disk."""
        disk = stack.enter_context(DiskLog(folder / member, QUOTA_BYTES))
        journal = Journal(disk, DiskState(disk.read_head))
        journal.load()
        self.nursery.start_soon(journal.run)
        self.journals[member] = journal
        self.handlers[member] = history_handlers(
            FenceGuard(journal, member), member
        )

    def stop(self, member):
        """Stop answering requests to a history."""
        self.handlers.pop(member)

    def replicas(self, *members):
        """Return the names under which placements list the disks."""
        return tuple(
            FenceGuard(self.journals[member], member).replica
            for member in members
        )

    def owner(self, member, placement):
        """Return an owner that works in the fleet's nursery."""
        return Ownership(
            TimedPool(self.nursery, self.handlers),
            PeerIdentity(member, f'{member}-1', 'leicester-a'),
            PlacementView(placement),
            str,
        )


@asynccontextmanager
async def timed_fleet(folder, *members):
    """Run histories of these names until the block ends."""
    async with AsyncExitStack() as stack:
        files = stack.enter_context(ExitStack())
        nursery = await stack.enter_async_context(trio.open_nursery())
        fleet = TimedFleet(nursery)
        for member in members:
            fleet.start(files, folder, member)
        yield fleet
        nursery.cancel_scope.cancel()


def run_timed(scenario, folder, monkeypatch):
    """Run a scenario in virtual time, with a deadline in it."""
    monkeypatch.setattr(trio.to_thread, 'run_sync', timed_access)

    async def bounded():
        with trio.fail_after(SCENARIO_SECONDS):
            await scenario(folder)

    trio.run(bounded, clock=MockClock(autojump_threshold=0))
