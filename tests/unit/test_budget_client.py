"""Check how an entry reserves and spends tokens from grants."""

from contextlib import asynccontextmanager

import pytest
import trio
from attrs import define, field
from memory_slots import MemoryLogs, MemorySlots
from trio.testing import MockClock

from jasminewheel._internal.budget.account import BudgetLimit
from jasminewheel._internal.budget.client import BudgetClient
from jasminewheel._internal.budget.grant_requester import GrantRequester
from jasminewheel._internal.budget.service import BudgetService
from jasminewheel.errors import (
    BudgetError,
    OverloadedError,
    TargetFailedError,
    UnavailableError,
)
from jasminewheel.models.verdict import Verdict

LIMIT = BudgetLimit(1000, 3600)


@define
class Source:
    """Call the service over a connection that may fail."""

    service: BudgetService
    request_count: int = 0
    lost_answers: int = 0
    is_down: bool = False

    async def take(self, request):
        """Request a grant."""
        return await self.send(self.service.take, request)

    async def return_grant(self, request):
        """Return a grant."""
        return await self.send(self.service.return_grant, request)

    async def send(self, handler, request):
        """Send a request; lose the next `lost` answers."""
        self.request_count += 1
        if self.is_down:
            raise UnavailableError('down')
        answer = await handler(request)
        if self.lost_answers:
            self.lost_answers -= 1
            raise UnavailableError('answer lost')
        return answer


@define
class Bench:
    """Run one owner of the account and the clients of two entries."""

    logs: MemoryLogs = field(factory=MemoryLogs)
    service: BudgetService = field(init=False)
    limit: BudgetLimit = LIMIT

    def __attrs_post_init__(self):
        """Start the owner."""
        self.service = BudgetService(
            MemorySlots(self.logs),
            lambda _: self.limit,
            trio.current_time,
        )

    @asynccontextmanager
    async def client(self, holder):
        """Run the budget client of an entry."""
        source = Source(self.service)
        requester = GrantRequester(source, holder, trio.current_time)
        async with BudgetClient(requester, trio.current_time) as client:
            yield client, source

    @property
    def granted(self):
        """Return the tokens granted in the window."""
        journal = self.service.account_queues['yard'].journal
        return journal.account.granted


async def spend_often(client, count, tokens, used=None):
    """Reserve and settle `count` calls, one after the other."""
    if count:
        await spend(client, tokens, used)
        await spend_often(client, count - 1, tokens, used)


async def spend(client, tokens, used=None):
    """Reserve and settle one call."""
    now = trio.current_time()
    async with client.reserve('yard', tokens, now) as reservation:
        reservation.settle(tokens if used is None else used)


def run(check):
    """Run check on a mock clock that skips waits."""
    trio.run(check, clock=MockClock(autojump_threshold=0))


async def check_whole_budget():
    """Spend the whole budget, then expect a refusal."""
    bench = Bench()
    async with bench.client('one') as (client, _):
        await spend_often(client, 100, 10)
        with pytest.raises(BudgetError) as refused:
            await spend(client, 10)
    assert refused.value.verdict is Verdict.not_run
    assert refused.value.retry_after_seconds > 3000
    assert bench.granted == 1000


def test_whole_budget():
    """The whole budget can be spent, and no more."""
    run(check_whole_budget)


async def check_settle():
    """Reserve a lot, use little."""
    bench = Bench()
    async with bench.client('one') as (client, _):
        await spend_often(client, 100, 500, used=5)
    assert bench.granted == 500


def test_settle():
    """Unused tokens serve later calls and are returned at the stop."""
    run(check_settle)


async def check_errors():
    """Fail calls before and after dispatch."""
    bench = Bench()
    async with bench.client('one') as (client, _):
        with pytest.raises(OverloadedError):
            async with client.reserve('yard', 400, trio.current_time()):
                raise OverloadedError('full')
        with pytest.raises(TargetFailedError):
            async with client.reserve('yard', 300, trio.current_time()):
                raise TargetFailedError('cut', verdict=Verdict.may_have_run)
    assert bench.granted == 300


def test_errors():
    """A call that did not run costs nothing.

    A call that may have run costs all of its reserved tokens.
    """
    run(check_errors)


async def check_lost_answer():
    """Lose the answer to a grant."""
    bench = Bench()
    async with bench.client('one') as (client, source):
        source.lost_answers = 1
        with pytest.raises(UnavailableError):
            await spend(client, 100)
        granted = bench.granted
        await spend(client, 100)
        assert granted > 0
        assert bench.granted == granted
    assert bench.granted == 100


def test_lost_answer():
    """After a lost answer the same grant is requested, not a second one."""
    run(check_lost_answer)


async def check_death():
    """Let an entry fail while it holds a grant."""
    bench = Bench()
    failed_source = Source(bench.service)
    failed_client = BudgetClient(
        GrantRequester(failed_source, 'gone', trio.current_time)
    )
    failed_client.nursery = None
    await failed_client.requester.request_grant(
        failed_client.account('yard'), 200
    )
    held = bench.granted
    async with bench.client('two') as (client, _):
        spent = 0
        with pytest.raises(BudgetError):
            while True:
                await spend(client, 10)
                spent += 10
    assert spent + held <= 1000
    assert spent >= 1000 - held - 10


def test_death():
    """Grants of a failed entry count as spent; the rest can be spent."""
    run(check_death)


async def check_prefetch():
    """Spend at a steady rate and count the calls that wait."""
    bench = Bench(limit=BudgetLimit(1_000_000, 3600))
    async with bench.client('one') as (client, source):
        waits = await spend_steadily(client, 2000)
    assert waits <= 3
    assert source.request_count <= 30


async def spend_steadily(client, count):
    """Spend twenty calls a second; return how many had to wait."""
    grant_pool = client.account('yard').grant_pool
    waits = 0
    while count:
        count -= 1
        waits += grant_pool.available_tokens(trio.current_time()) < 100
        await spend(client, 100)
        await trio.sleep(0.05)
    return waits


def test_prefetch():
    """At a steady rate calls rarely wait and requests to the owner are few."""
    run(check_prefetch)


async def check_outage():
    """Spend from local grants while no owner answers."""
    bench = Bench()
    async with bench.client('one') as (client, source):
        await spend(client, 100)
        source.is_down = True
        await spend(client, 100)
        with pytest.raises(UnavailableError) as refused:
            await spend(client, 800)
    assert refused.value.verdict is Verdict.not_run


def test_outage():
    """Without an owner, only the local grants can be spent."""
    run(check_outage)


async def check_new_window():
    """Wait for the next window."""
    bench = Bench(limit=BudgetLimit(1000, 60))
    async with bench.client('one') as (client, _):
        await spend(client, 1000)
        with pytest.raises(BudgetError, match='exhausted'):
            await spend(client, 10)
        await trio.sleep(60)
        await spend(client, 1000)
    assert bench.granted == 1000


def test_new_window():
    """Each window has the whole budget; nothing is carried over."""
    run(check_new_window)


async def check_idle():
    """Let one entry's idle grant be granted to another entry."""
    bench = Bench()
    async with bench.client('one') as (first, _):
        async with bench.client('two') as (second, _):
            await spend(first, 900, used=0)
            with pytest.raises(BudgetError):
                await spend(second, 900)
            await trio.sleep(90)
            await spend(second, 900)
            assert not first.accounts


def test_idle():
    """Idle grants are returned and can be granted to other entries."""
    run(check_idle)


async def check_crowd():
    """Reserve for many calls at once."""
    bench = Bench(limit=BudgetLimit(100_000, 3600))
    async with bench.client('one') as (client, source):
        async with trio.open_nursery() as nursery:
            for _ in range(300):
                nursery.start_soon(spend, client, 100)
        assert source.request_count <= 4
    assert bench.granted == 30_000


def test_crowd():
    """Concurrent calls share one grant."""
    run(check_crowd)
