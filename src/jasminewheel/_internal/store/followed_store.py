"""Read the store through another process that watches it."""

import logging
import math
from functools import partial

import trio
from attrs import define, field

from jasminewheel._internal.events import store as events
from jasminewheel._internal.parallel import first_result
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.store.contact import StoreContact
from jasminewheel._internal.store.fetch_delay import FetchDelay
from jasminewheel._internal.store.large_changes import watch_store
from jasminewheel._internal.store.large_values import LargeValues
from jasminewheel._internal.store.port import (
    ReadableStore,
    StoreChanges,
    StoreSnapshot,
)
from jasminewheel._internal.store.reader_choice import Reader, ReaderChoice
from jasminewheel._internal.store.reader_client import (
    REPLY_SECONDS,
    ReaderClient,
)
from jasminewheel._internal.store.reader_watch import ReaderWatch, as_snapshot
from jasminewheel.errors import StoreError, StoreUnavailableError

# These waits bound how late a change is known when a process or a connection
# falls silent; docs/design/platform.md adds them up.
# The longest wait for a change at a reader.
FOLLOW_SECONDS = 1.0
# The longest wait of a reader's own watch.
READER_WATCH_SECONDS = 1.0
# How many readers are asked in one round, and how many rounds have to fail
# before the store itself is watched: readers that start again fail for a
# moment, and the store would be called by all their followers at once.
READERS_TRIED = 2
ROUNDS_TRIED = 2
# How long the store is watched directly before readers are asked again, unless
# one replies sooner.
DIRECT_SECONDS = 2.0
DIRECT_WATCH_SECONDS = 1.0
RETURN_INTERVAL_SECONDS = 0.25
# A start without any items waits this long for those of a reader.
FIRST_REPLY_SECONDS = 0.1
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class FollowedStore:
    """Follow a reader; read the store itself if this process is one.

    The store is also read directly for a while if no reader can be used, so
    that a process that reaches the store needs no other one.
    """

    store: ReadableStore
    pool: PeerPool
    readers: ReaderChoice
    contact: StoreContact
    # Large values that are known here, and need not be sent whole.
    values: LargeValues = field(factory=LargeValues)
    # The longest waits at a reader, and of a reader's own watch.
    follow_seconds: float = FOLLOW_SECONDS
    watch_seconds: float = READER_WATCH_SECONDS
    fetch_delay: FetchDelay = field(init=False)
    # From and until when the store is read directly.
    direct_from: float = -math.inf
    direct_until: float = -math.inf
    # Rounds of questions to readers that failed since one replied.
    failed_rounds: int = 0
    client: ReaderClient = field(init=False)
    # How this process watches the store if it is a reader itself.
    own_watch: ReaderWatch = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the client of the readers, and the watch as one of them."""
        self.client = ReaderClient(
            self.pool, self.readers, self.contact, self.values
        )
        self.fetch_delay = FetchDelay(self.readers.own_address)
        self.own_watch = ReaderWatch(
            self.store, self.client, self.follow_seconds
        )

    @property
    def followed(self) -> str:
        """Return the address of the reader that is followed, if any."""
        return self.client.followed

    def log_fields(self, now: float) -> dict[str, object]:
        """Return what tells how old the known items may be, and why."""
        return {
            'revision': self.contact.revision,
            'list_age': round(self.contact.read_age(now), 2),
            'told_age': round(self.contact.report_age(now), 2),
            'followed': self.followed,
        }

    async def snapshot(self) -> StoreSnapshot:
        """Return all values; read the store itself if no reader has them."""
        if self.readers.is_own():
            return await self.own_watch.snapshot()
        if self.contact.revision:
            return await self.snapshot_after_loss()
        found: StoreChanges | None = None
        waiting = self.candidates()
        while waiting and found is None:
            found = await self.client.try_reader(
                waiting.pop(0), 0, 0, reply_seconds=FIRST_REPLY_SECONDS
            )
        if found is None:
            return await self.store.snapshot()
        return as_snapshot(found)

    async def snapshot_after_loss(self) -> StoreSnapshot:
        """Return all values of a reader; after a while also of the store."""
        return await first_result(self.read_all_later, self.ask_for_all)

    async def read_all_later(self) -> StoreSnapshot:
        """Read all values of the store, later at some processes."""
        await trio.sleep(self.fetch_delay.read_all_seconds())
        return await self.store.snapshot()

    async def ask_for_all(self) -> StoreSnapshot:
        """Wait for all values of a reader."""
        return as_snapshot(await self.return_to_reader(0))

    async def changes(
        self, after_revision: int, wait_seconds: float
    ) -> StoreChanges:
        """Wait for changes after a revision.

        Raise StoreUnavailableError if each reader that was asked failed, as
        the store may have been away since the last reply. If that happens
        again, the store itself is watched next.
        """
        waiting = self.candidates()
        if not waiting:
            return await self.watch(after_revision, wait_seconds)
        wait_seconds = min(wait_seconds, self.follow_seconds)
        asked_at = trio.current_time()
        while waiting:
            found = await self.client.try_reader(
                waiting.pop(0), after_revision, wait_seconds
            )
            if found:
                self.failed_rounds = 0
                return found
            # The next one replies at once: news may have been missed.
            wait_seconds = 0
        self.record_failed_round(asked_at, trio.current_time())
        raise StoreUnavailableError(
            'no process that reads the store replied',
            no_response=self.client.missed_store,
        )

    def record_failed_round(self, asked_at: float, now: float) -> None:
        """Turn to the store itself if readers failed repeatedly.

        If one fell silent, what is known is too old for another round.
        """
        self.failed_rounds += 1
        was_silent = now - asked_at >= self.follow_seconds + REPLY_SECONDS
        if was_silent or self.failed_rounds >= ROUNDS_TRIED:
            self.failed_rounds = 0
            self.direct_from = now + self.fetch_delay.watch_seconds(
                self.readers.followers(), self.values.largest_bytes()
            )
            self.direct_until = self.direct_from + DIRECT_SECONDS

    def candidates(self) -> list[Reader]:
        """Return the readers to ask now; none if the store is to be read."""
        now = trio.current_time()
        if now < self.direct_until or self.readers.is_own():
            return []
        return self.readers.usable(now)[:READERS_TRIED]

    async def watch(
        self, after_revision: int, wait_seconds: float
    ) -> StoreChanges:
        """Watch the store itself."""
        if self.readers.is_own():
            return await self.own_watch.changes(
                after_revision, min(wait_seconds, self.watch_seconds)
            )
        if self.followed:
            events.READING_ALONE.log(
                _LOGGER, **self.log_fields(trio.current_time())
            )
            self.client.followed = ''
        try:
            return await first_result(
                partial(self.watch_alone, after_revision, wait_seconds),
                partial(self.return_to_reader, after_revision),
            )
        except StoreError:
            # Whether the store is back, a reader may notice first.
            self.direct_until = -math.inf
            raise

    async def watch_alone(
        self, after_revision: int, wait_seconds: float
    ) -> StoreChanges:
        """Watch the store in place of a reader."""
        await trio.sleep_until(self.direct_from)
        changes = await watch_store(
            self.store, after_revision, min(wait_seconds, DIRECT_WATCH_SECONDS)
        )
        self.client.missed_store = False
        return changes

    async def return_to_reader(self, after_revision: int) -> StoreChanges:
        """Ask readers until one replies, and follow it again."""
        found: StoreChanges | None = None
        while found is None:
            await trio.sleep(RETURN_INTERVAL_SECONDS)
            found = await self.client.try_nearest(after_revision)
        self.direct_until = -math.inf
        self.failed_rounds = 0
        return found
