"""Check that loads are told along, and that nothing hangs on them."""

import trio
from attrs import define, field
from trio.testing import MockClock

from jasminewheel._internal.conversation.replica_set import Replica, ReplicaSet
from jasminewheel._internal.conversation.set_holder import SetHolder
from jasminewheel._internal.gateway.load_exchange import (
    ACTIVE_SECONDS,
    LoadBoardService,
    LoadExchange,
)
from jasminewheel._internal.gateway.reading_time import ReadingTimes
from jasminewheel._internal.gateway.runners import Runner, RunnerDirectory
from jasminewheel._internal.peer.distance import ZoneDistance
from jasminewheel._internal.targets.load_report import LoadReport
from jasminewheel.errors import PeerError

REPLICA = Replica('disk', 'store-1', 'h:1', 'a')


@define(eq=False)
class Pool:
    """Reach the board of one replica, unless it is away."""

    service: LoadBoardService = field(factory=LoadBoardService)
    away: bool = False
    asked: int = 0

    async def ask(self, address, message, reply_kind, *, timeout_seconds):
        """Return the reply of the board."""
        self.asked += 1
        if self.away:
            raise PeerError(f'{address} is away')
        return await self.service.tell(None, message)


def make_entry(pool: Pool) -> LoadExchange:
    """Return the exchange of an entry that knows one runner."""
    directory = RunnerDirectory()
    directory.put(Runner('r1', 'model', 'h:2', 'a', False, 24))
    sets = SetHolder(ReplicaSet(1, (REPLICA,)))
    distance = ZoneDistance('a', {})
    return LoadExchange(pool, sets, distance, directory, ReadingTimes())


def report(entry: LoadExchange, calls: int) -> None:
    """Let the runner report its load to an entry."""
    view = entry.directory.views['r1']
    view.load.reported(LoadReport(calls, 0), trio.current_time())


def known_load(entry: LoadExchange) -> int:
    """Return the load that an entry knows of the runner."""
    view = entry.directory.views['r1']
    return view.load.reported_calls


def run(scenario) -> None:
    """Run a scenario in virtual time, some time after its start."""

    async def later() -> None:
        await trio.sleep(10)
        await scenario()

    trio.run(later, clock=MockClock(autojump_threshold=0))


def test_load_is_told_to_other_entries():
    """What one entry was told by a runner the other one learns, once newer."""

    async def scenario() -> None:
        pool = Pool()
        first, second = make_entry(pool), make_entry(pool)
        report(first, 7)
        await first.exchange()
        await trio.sleep(0.5)
        await second.exchange()
        assert known_load(second) == 7
        report(second, 3)
        await second.exchange()
        await first.exchange()
        assert known_load(first) == 3

    run(scenario)


def test_entry_goes_on_without_a_board():
    """A replica that is away costs nothing but the news."""

    async def scenario() -> None:
        entry = make_entry(Pool(away=True))
        report(entry, 7)
        await entry.exchange()
        assert known_load(entry) == 7

    run(scenario)


def test_nothing_is_told_where_no_prompts_are_placed():
    """Without such prompts there is no message."""

    async def scenario() -> None:
        pool = Pool()
        entry = make_entry(pool)
        with trio.move_on_after(5):
            await entry.run()
        assert not pool.asked
        entry.times.used_at = trio.current_time()
        with trio.move_on_after(2 * ACTIVE_SECONDS):
            await entry.run()
        assert 0 < pool.asked < 3 * ACTIVE_SECONDS

    run(scenario)
