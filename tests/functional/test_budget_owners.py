"""Check budgets over sockets and histories when owners fail."""

from contextlib import AsyncExitStack, suppress
from functools import partial

import pytest
import trio
from attrs import define, field

from jasminewheel._internal.budget.account import BudgetLimit
from jasminewheel._internal.budget.client import BudgetClient
from jasminewheel._internal.budget.grant_requester import GrantRequester
from jasminewheel._internal.budget.service import BudgetService
from jasminewheel._internal.peer.identity import PeerIdentity
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.peer.server import PeerServer
from jasminewheel._internal.program.grants import AccountSlots, GrantRouter
from jasminewheel._internal.program.owner_finder import OwnerFinder
from jasminewheel._internal.program.slot_table import SlotTable
from jasminewheel._internal.replication.ownership import Ownership
from jasminewheel._internal.replication.placement import PlacementView
from jasminewheel.errors import BudgetError, UnavailableError
from tests.histories import KEY, fleet, placement_of

HISTORIES = ('h1', 'h2', 'h3')
LIMIT = BudgetLimit(10_000, 3600)
NOW = 1_000_000.0


@define
class Address:
    """Represent an entry and its peer address."""

    member: str
    peer_address: str = ''


@define
class Ranking:
    """Rank the live entries in a fixed order."""

    local_member: Address
    entries: list[Address]

    def preferred(self, _subject):
        """Return the live entries."""
        return list(self.entries)


@define
class Acquirer:
    """Seal slots on request."""

    ownership: Ownership
    entries: list[Address]

    async def acquire(self, slot, _unreachable):
        """Seal the slot."""
        await self.ownership.own(slot)

    async def is_reachable(self, owner, _slot):
        """Return whether the entry runs."""
        return owner in self.entries


@define
class Entry:
    """Represent the budget service and client of one entry."""

    address: Address
    service: BudgetService
    budget_client: BudgetClient
    scope: trio.CancelScope = field(factory=trio.CancelScope)
    stopping: trio.Event = field(factory=trio.Event)
    spent: int = 0

    async def spend(self, tokens):
        """Reserve and spend."""
        async with self.budget_client.reserve(
            'yard', tokens, NOW
        ) as reservation:
            reservation.settle(tokens)
        self.spent += tokens

    async def spend_all(self, tokens):
        """Spend until the budget is exhausted."""
        with suppress(BudgetError):
            while True:
                await self.spend(tokens)


@define
class Entries:
    """Start entries on one fleet of histories."""

    histories: object
    nursery: trio.Nursery
    addresses: list[Address] = field(factory=list)

    async def start(self, name):
        """Start an entry, less preferred than those before it."""
        address = Address(name)
        self.addresses.append(address)
        return await self.nursery.start(self.run, address)

    async def run(self, address, task_status):
        """Run an entry until it is killed."""
        identity = PeerIdentity(address.member, 'i', 'teku')
        async with AsyncExitStack() as stack:
            scope = stack.enter_context(trio.CancelScope())
            pool = await stack.enter_async_context(PeerPool(identity, KEY))
            entry = self.make(address, identity, pool)
            entry.scope = scope
            server = PeerServer(identity, KEY, entry.service.handlers())
            serving = await stack.enter_async_context(trio.open_nursery())
            port = await serving.start(server.serve, '127.0.0.1', 0)
            address.peer_address = f'127.0.0.1:{port}'
            async with entry.budget_client:
                task_status.started(entry)
                await entry.stopping.wait()

    def make(self, address, identity, pool):
        """Return an entry with its service and client."""
        placement = placement_of(*self.histories.replicas())
        ownership = Ownership(
            pool,
            identity,
            PlacementView(placement),
            self.histories.addresses.__getitem__,
        )
        finder = OwnerFinder(
            Ranking(address, self.addresses),
            SlotTable(ownership, placement.slot_of),
            Acquirer(ownership, self.addresses),
        )
        slots = AccountSlots(finder)
        service = BudgetService(slots, lambda _: LIMIT, lambda: NOW)
        router = GrantRouter(finder, pool, service)
        requester = GrantRequester(router, address.member, lambda: NOW)
        return Entry(address, service, BudgetClient(requester, lambda: NOW))

    def kill(self, entry):
        """Kill an entry and remove it from the ranking of the others."""
        entry.scope.cancel()
        self.addresses.remove(entry.address)


def run(check, folder):
    """Run check with entries on three histories."""

    async def bounded():
        async with AsyncExitStack() as stack:
            stack.enter_context(trio.fail_after(60))
            running = await stack.enter_async_context(
                fleet(folder, *HISTORIES),
            )
            nursery = await stack.enter_async_context(trio.open_nursery())
            await check(Entries(running, nursery))
            nursery.cancel_scope.cancel()

    trio.run(bounded)


async def check_shared(entries):
    """Spend at three entries at once."""
    first = await entries.start('a')
    second = await entries.start('b')
    third = await entries.start('c')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(first.spend_all, 50)
        nursery.start_soon(second.spend_all, 50)
        nursery.start_soon(third.spend_all, 50)
    spent = first.spent + second.spent + third.spent
    # What is left is smaller than a call at each entry.
    assert spent <= LIMIT.tokens
    assert spent > LIMIT.tokens - 3 * 50


def test_shared(tmp_path):
    """Three entries spend one budget in full without exceeding it."""
    run(check_shared, tmp_path)


async def check_owner_dies(entries, when):
    """Kill the account's owner while two others spend."""
    owner = await entries.start('a')
    second = await entries.start('b')
    third = await entries.start('c')
    await owner.spend(100)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(second.spend_all, 50)
        nursery.start_soon(third.spend_all, 50)
        while second.spent + third.spent < when:
            await trio.sleep(0)
        held = owner.budget_client.account('yard').grant_pool.available_tokens(
            NOW
        )
        entries.kill(owner)
    spent = owner.spent + second.spent + third.spent
    assert spent <= LIMIT.tokens
    # A grant that the owner was just storing may also count as spent.
    assert spent + held > LIMIT.tokens - LIMIT.tokens // 4 - 2 * 50


@pytest.mark.parametrize('when', [50, 500, 2000, 4000])
def test_owner_dies(tmp_path, when):
    """Another entry takes over the account; nothing is granted twice."""
    run(partial(check_owner_dies, when=when), tmp_path)


async def check_graceful_stop(entries):
    """Stop an entry that holds a grant."""
    stopped = await entries.start('a')
    other = await entries.start('b')
    await stopped.spend(100)
    stopped.stopping.set()
    while other.spent < LIMIT.tokens - 100:
        with suppress(BudgetError):
            await other.spend(100)
        await trio.sleep(0.01)
    assert other.spent + stopped.spent == LIMIT.tokens


def test_graceful_stop(tmp_path):
    """A stopping entry returns its unspent tokens."""
    run(check_graceful_stop, tmp_path)


async def check_histories_down(entries):
    """Stop the majority of the replicas, then restart it."""
    entry = await entries.start('a')
    await entry.spend(100)
    left = entry.budget_client.account('yard').grant_pool.available_tokens(NOW)
    assert left > 0
    entries.histories.stop('h1', 'h2')
    await entry.spend(left)
    with pytest.raises(UnavailableError):
        await entry.spend(1000)
    await entries.histories.start_all('h1', 'h2')
    await entry.spend_all(100)
    assert entry.spent <= LIMIT.tokens
    assert entry.spent > LIMIT.tokens - 100


def test_histories_down(tmp_path):
    """Without a majority only the local grants can be spent."""
    run(check_histories_down, tmp_path)
