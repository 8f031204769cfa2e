"""Read the store through another process that watches it."""

import logging
import math

import trio
from attrs import define, evolve, field

from jasminewheel._internal.events import store as events
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.store.contact import StoreContact
from jasminewheel._internal.store.large_values import LargeValues
from jasminewheel._internal.store.port import (
    ReadableStore,
    StoreChanges,
    StoreItem,
    StoreSnapshot,
)
from jasminewheel._internal.store.reader_choice import (
    AWAY_SECONDS,
    FAILED_SECONDS,
    Reader,
    ReaderChoice,
)
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import (
    JasminewheelError,
    PeerError,
    StoreError,
    StoreUnavailableError,
)

# These waits bound how late a change is known when a process or a connection
# falls silent; docs/design/platform.md adds them up.
# The longest wait for a change at a reader, and the time for its reply.
FOLLOW_SECONDS = 1.0
REPLY_SECONDS = 0.5
# The longest wait of a reader's own watch.
READER_WATCH_SECONDS = 1.0
# The wait of a watch that is made again. A store may hold one without a wait
# for longer than its reply is waited for.
REPEATED_WATCH_SECONDS = 0.1
# How many readers are asked in one round, and how many rounds have to fail
# before the store itself is watched: readers that start again fail for a
# moment, and the store would be called by all their followers at once.
READERS_TRIED = 2
ROUNDS_TRIED = 2
# How long the store is watched directly before readers are asked again.
DIRECT_SECONDS = 2.0
DIRECT_WATCH_SECONDS = 1.0
# A reader that failed within this time is asked again soon.
QUICK_FAILURE_SECONDS = 0.3
# A start without any items waits this long for those of a reader.
FIRST_REPLY_SECONDS = 0.1
# Changes of this size are logged with the time that they took.
LARGE_BYTES = 65536
# The source of changes that no reader told.
STORE_NAME = 'store'
_LOGGER = logging.getLogger(__name__)


class ReaderAwayError(PeerError):
    """Report that the store does not answer a reader."""

    code = 'reader-away'

    def __init__(self, message: str, *, silent: bool) -> None:
        """Store whether it is unknown since when the store does not answer."""
        super().__init__(message)
        self.silent = silent


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
    # The address of the reader that is followed; empty without one.
    followed: str = ''
    # Until when the store is read directly.
    direct_until: float = -math.inf
    # Rounds of questions to readers that failed since one replied.
    failed_rounds: int = 0
    # Whether an outage of the store may have passed unnoticed.
    missed_store: bool = False
    # The readers that failed when they were last asked.
    failing: set[str] = field(factory=set)

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
        found: StoreChanges | None = None
        waiting = self.candidates()
        while waiting and found is None:
            with trio.move_on_after(FIRST_REPLY_SECONDS):
                found = await self.try_reader(waiting.pop(0), 0, 0)
        if found is None:
            return await self.store.snapshot()
        return StoreSnapshot(
            found.written,
            found.revision,
            proof_age_seconds=found.proof_age_seconds,
        )

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
            found = await self.try_reader(
                waiting.pop(0), after_revision, wait_seconds
            )
            if found:
                return found
            # The next one replies at once: news may have been missed.
            wait_seconds = 0
        self.record_failed_round(asked_at, trio.current_time())
        raise StoreUnavailableError(
            'no process that reads the store replied',
            no_response=self.missed_store,
        )

    def record_failed_round(self, asked_at: float, now: float) -> None:
        """Turn to the store itself if readers failed repeatedly.

        If one fell silent, what is known is too old for another round.
        """
        self.failed_rounds += 1
        was_silent = now - asked_at >= self.follow_seconds + REPLY_SECONDS
        if was_silent or self.failed_rounds >= ROUNDS_TRIED:
            self.failed_rounds = 0
            self.direct_until = now + DIRECT_SECONDS

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
            return await self.watch_for_followers(
                after_revision, min(wait_seconds, self.watch_seconds)
            )
        if self.followed:
            events.READING_ALONE.log(
                _LOGGER, **self.log_fields(trio.current_time())
            )
            self.followed = ''
        try:
            changes = await self.watch_store(
                after_revision, min(wait_seconds, DIRECT_WATCH_SECONDS)
            )
        except StoreError:
            # Whether the store is back, a reader may notice first.
            self.direct_until = -math.inf
            raise
        self.missed_store = False
        return changes

    async def watch_for_followers(
        self, after_revision: int, wait_seconds: float
    ) -> StoreChanges:
        """Watch the store, once more if the watch failed.

        The store may end a watch, and its connection may fall silent, at any
        time; only a second failure is a loss, of which all followers are told.
        """
        try:
            changes = await self.watch_store(after_revision, wait_seconds)
        except StoreUnavailableError:
            changes = await self.watch_store(
                after_revision, REPEATED_WATCH_SECONDS
            )
        self.missed_store = False
        return evolve(changes, watchers=self.readers.count())

    async def watch_store(
        self, after_revision: int, wait_seconds: float
    ) -> StoreChanges:
        """Watch the store, and log what changes took to arrive."""
        asked_at = trio.current_time()
        changes = await self.store.changes(after_revision, wait_seconds)
        log_large(STORE_NAME, changes, asked_at, trio.current_time())
        return changes

    async def try_reader(
        self, reader: Reader, after_revision: int, wait_seconds: float
    ) -> StoreChanges | None:
        """Return the changes that a reader knows; None if it failed."""
        asked_at = trio.current_time()
        self.check_age(asked_at)
        try:
            reply = await self.ask(reader, after_revision, wait_seconds)
            written = self.values.from_wire(reply.written)
        except JasminewheelError as error:
            self.record_failure(reader, error, asked_at, trio.current_time())
            return None
        self.failed_rounds = 0
        self.failing.discard(reader.address)
        if self.followed != reader.address:
            events.FOLLOWING.log(_LOGGER, reader=reader.address)
            self.followed = reader.address
        changes = _changes(reply, written, missed_store=self.missed_store)
        self.missed_store = False
        log_large(reader.address, changes, asked_at, trio.current_time())
        return changes

    def check_age(self, now: float) -> None:
        """Note if the last reply is old enough for keys to have lapsed since.

        No key lapses in an outage shorter than a heartbeat interval.
        """
        if now >= self.contact.first_read_at:
            age = self.contact.report_age(now)
            self.missed_store |= age >= self.contact.heartbeat_seconds

    async def ask(
        self, reader: Reader, after_revision: int, wait_seconds: float
    ) -> wire.KnownChanges:
        """Return a reader's reply.

        Raise PeerError if it does not reply, has lost the store or knows less
        than this process.
        """
        reply = await self.pool.ask(
            reader.address,
            wire.AwaitChanges(
                after_revision=after_revision,
                wait_seconds=wait_seconds,
                held=self.values.held(),
            ),
            wire.KnownChanges,
            timeout_seconds=wait_seconds + REPLY_SECONDS,
        )
        if not reply.reads:
            raise ReaderAwayError(
                f'{reader.address} does not reach the store',
                silent=bool(reply.silent),
            )
        if reply.revision < after_revision:
            raise PeerError(
                f'{reader.address} knows revision {reply.revision} only, '
                f'{after_revision} is known here'
            )
        return reply

    def record_failure(
        self,
        reader: Reader,
        error: JasminewheelError,
        asked_at: float,
        now: float,
    ) -> None:
        """Pass over a reader for a while, longer if it took long to fail."""
        seconds = AWAY_SECONDS
        if isinstance(error, ReaderAwayError):
            self.missed_store |= error.silent
        else:
            self.check_age(now)
            if now - asked_at >= QUICK_FAILURE_SECONDS:
                seconds = FAILED_SECONDS
        self.readers.avoid(reader, now + seconds)
        if reader.address not in self.failing:
            self.failing.add(reader.address)
            events.READER_FAILED.log(
                _LOGGER,
                reader=reader.address,
                problem=error,
                seconds=round(now - asked_at, 3),
                passed_over=seconds,
            )


def log_large(
    source: str, changes: StoreChanges, asked_at: float, now: float
) -> None:
    """Log changes that are large enough to be held up on a link."""
    size_bytes = sum(len(one.value) for one in changes.written)
    if size_bytes < LARGE_BYTES:
        return
    events.LARGE_CHANGES.log(
        _LOGGER,
        source=source,
        size_bytes=size_bytes,
        seconds=round(now - asked_at, 3),
        revision=changes.revision,
        complete=changes.complete,
        read_age=round(changes.age_seconds, 3),
    )


def _changes(
    reply: wire.KnownChanges,
    written: tuple[StoreItem, ...],
    *,
    missed_store: bool,
) -> StoreChanges:
    return StoreChanges(
        written,
        tuple(reply.removed),
        reply.revision,
        complete=bool(reply.complete),
        settled=_settled(reply, missed_store=missed_store),
        watchers=0,
        age_seconds=reply.age_seconds or 0,
        # An older build does not tell.
        proof_age_seconds=(
            math.inf
            if reply.proof_age_seconds is None
            else reply.proof_age_seconds
        ),
    )


def _settled(reply: wire.KnownChanges, *, missed_store: bool) -> bool | None:
    """Return whether missing keys were removed; None if this process knows.

    A reader that has just started may have missed an outage as well.
    """
    if not reply.settled:
        return False
    if reply.confirms:
        return True
    return False if missed_store else None
