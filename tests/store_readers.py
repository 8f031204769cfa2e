"""Processes that read one store, and processes that follow them."""

import math

import trio
from attrs import define, field

from jasminewheel._internal.gateway.gateway import RoutesHolder
from jasminewheel._internal.gateway.runners import RunnerDirectory
from jasminewheel._internal.store.change_log import ChangeLog
from jasminewheel._internal.store.followed_store import FollowedStore
from jasminewheel._internal.store.known_items import (
    KnownItemsFetcher,
    KnownItemsService,
)
from jasminewheel._internal.store.large_values import (
    READER_VERSIONS,
    LargeValues,
)
from jasminewheel._internal.store.mirror import StoreMirror
from jasminewheel._internal.store.reader_choice import Reader, ReaderChoice
from jasminewheel._internal.store.reader_service import ReaderService
from jasminewheel._internal.wire.codec import encode
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import PeerError
from jasminewheel.platform.listener import PlatformListener
from tests.slow_link import SlowLink
from tests.watched_store import SharedStore, StoreConnection

TRIP_SECONDS = 0.002
# One region with the readers and the followers, unless a test says otherwise.
NEAR_SECONDS = 0.002
FAR_SECONDS = 0.02
# Processes in this zone reach the store and the others over the slow link.
FAR = 'far'


@define(eq=False)
class ReadingProcess:
    """Represent a process that reads the store itself or through a reader."""

    address: str
    connection: StoreConnection
    pool: 'ReaderPool'
    readers: tuple[Reader, ...]
    zone: str = ''
    directory: RunnerDirectory = field(factory=RunnerDirectory)
    mirror: StoreMirror = field(init=False)
    fetcher: KnownItemsFetcher = field(init=False)
    service: ReaderService = field(init=False)
    known: KnownItemsService = field(init=False)
    # A silent process answers nothing; a stopped one refuses connections.
    silent: bool = False
    stopped: bool = False
    scope: trio.CancelScope = field(factory=trio.CancelScope)

    def __attrs_post_init__(self) -> None:
        """Connect the mirror to the store, the readers and the followers."""
        listener = PlatformListener(RoutesHolder(), self.directory, None)
        contact = self.directory.contact
        self.connection.on_arrival = contact.record_arrival
        choice = ReaderChoice(
            self.address,
            self.distance,
            lambda: self.readers,
            followers=self.pool.processes.__len__,
        )
        pool = ZonePool(self.pool, self.zone)
        values = LargeValues(READER_VERSIONS)
        store = FollowedStore(
            self.connection,
            pool,
            choice,
            contact,
            values,
        )
        self.mirror = StoreMirror(store, [values, listener], contact=contact)
        log = ChangeLog(self.mirror)
        self.mirror.listeners.append(log)
        self.service = ReaderService(log, values)
        self.known = KnownItemsService(self.mirror, values)
        addresses = tuple(one.address for one in self.readers)
        self.fetcher = KnownItemsFetcher(self.mirror, pool, addresses, values)

    def distance(self, zone: str) -> float:
        """Return the seconds of the way to a zone."""
        return NEAR_SECONDS if zone == self.zone else FAR_SECONDS

    async def run(self) -> None:
        """Run until stopped."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.mirror.run)
                nursery.start_soon(self.fetcher.run)

    @property
    def followed(self) -> str:
        """Return the address of the reader that is followed."""
        return self.mirror.store.followed

    async def wait_while_silent(self) -> None:
        """Wait until the process answers."""
        while self.silent:
            await trio.sleep(0.01)

    def uses(self, runner_id: str) -> bool:
        """Return whether new calls may go to the runner."""
        usable = self.directory.usable_runners('desk', trio.current_time())
        return runner_id in {view.runner.runner_id for view in usable}


@define(eq=False)
class ReaderPool:
    """Send requests to processes by their addresses, as a pool does."""

    processes: dict[str, ReadingProcess] = field(factory=dict)
    asked: list[str] = field(factory=list)
    # Questions asked until then get no reply.
    lost_until: float = -math.inf
    # Between the zones.
    link: SlowLink | None = None

    def lose_open_questions(self) -> None:
        """Let the questions that wait get no reply; later ones get theirs."""
        self.lost_until = trio.current_time()

    async def ask(self, zone, address, message, timeout_seconds):
        """Return the reply of a process; raise PeerError if there is none."""
        asked_at = trio.current_time()
        self.asked.append(address)
        process = self.processes[address]
        await trio.sleep(TRIP_SECONDS)
        if process.stopped:
            raise PeerError(f'{address} refused the connection')
        replied = None
        with trio.move_on_after(timeout_seconds):
            replied = await self.answer(process, message)
            if asked_at <= self.lost_until:
                await trio.sleep_forever()
        if replied is None or asked_at <= self.lost_until:
            raise PeerError(f'{address} did not answer')
        if self.link and process.zone != zone:
            await self.link.carry(len(encode(replied)))
        return replied

    async def answer(self, process: ReadingProcess, message):
        """Return the reply of a process; wait while it is silent."""
        handlers = {
            wire.AwaitChanges: process.service.await_changes,
            wire.ReadKnownItems: process.known.read,
        }
        await process.wait_while_silent()
        reply = await handlers[type(message)](None, message)
        await process.wait_while_silent()
        if process.stopped:
            raise PeerError(f'{process.address} closed the connection')
        await trio.sleep(TRIP_SECONDS)
        return reply


@define(eq=False)
class ZonePool:
    """Send requests of a process in a zone."""

    pool: ReaderPool
    zone: str

    async def ask(self, address, message, _reply_kind, *, timeout_seconds):
        """Return the reply of a process; raise PeerError if there is none."""
        return await self.pool.ask(self.zone, address, message, timeout_seconds)


@define(eq=False)
class ReaderWorld:
    """Run readers and followers of one store."""

    nursery: trio.Nursery
    followers: int
    store: SharedStore = field(factory=SharedStore)
    pool: ReaderPool = field(factory=ReaderPool)
    readers: tuple[str, ...] = ('a', 'b', 'c')
    # Addresses of the processes that stand in the zone far from the store.
    far: frozenset[str] = frozenset()
    link: SlowLink | None = None

    def start(self) -> None:
        """Register two runners, and start all processes."""
        self.store.list_runner('left')
        self.store.list_runner('stays')
        for address in (*self.readers, *self.follower_addresses()):
            self.start_process(address)

    def follower_addresses(self) -> list[str]:
        """Return the addresses of the followers."""
        return [f'follower-{number}' for number in range(self.followers)]

    def start_process(self, address: str) -> None:
        """Start a process, or start it again without what it knew."""
        self.pool.link = self.link
        zone = self.zone(address)
        link = self.link if zone else None
        connection = StoreConnection(self.store, link=link)
        readers = tuple(Reader(one, self.zone(one)) for one in self.readers)
        process = ReadingProcess(address, connection, self.pool, readers, zone)
        self.pool.processes[address] = process
        self.nursery.start_soon(process.run)

    def zone(self, address: str) -> str:
        """Return the zone of a process."""
        return FAR if address in self.far else ''

    def stop_process(self, address: str) -> None:
        """Stop a process; its connections are refused from now on."""
        process = self.reader(address)
        process.stopped = True
        process.scope.cancel()

    def reader(self, address: str) -> ReadingProcess:
        """Return a process by its address."""
        return self.pool.processes[address]

    def followed(self) -> ReadingProcess:
        """Return the reader that the first follower follows."""
        first = self.first()
        return self.reader(first.followed)

    def first(self) -> ReadingProcess:
        """Return the first follower."""
        return self.reader('follower-0')

    def all_followers(self) -> list[ReadingProcess]:
        """Return the followers."""
        return [self.reader(one) for one in self.follower_addresses()]

    def lose_open_calls(self) -> None:
        """Let the calls of the store that wait get no answer."""
        for process in self.pool.processes.values():
            process.connection.lose_open_calls()

    def set_store_silent(self, *, silent: bool) -> None:
        """Make the store silent, or not, for all processes."""
        for process in self.pool.processes.values():
            process.connection.silent = silent

    def follower_calls(self) -> int:
        """Return how many calls of the store the followers made."""
        return sum(one.connection.calls for one in self.all_followers())

    def reader_calls(self) -> int:
        """Return how many calls of the store the readers made."""
        return sum(self.reader(one).connection.calls for one in self.readers)

    async def wait_for(self, condition) -> float:
        """Wait until a condition holds; return the seconds that it took."""
        started_at = trio.current_time()
        while not condition():
            await trio.sleep(0.01)
        return trio.current_time() - started_at
