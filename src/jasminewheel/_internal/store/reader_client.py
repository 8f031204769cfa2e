"""Ask the processes that watch the store for the changes that they know."""

import logging
import math

import trio
from attrs import define, evolve, field

from jasminewheel._internal.events import store as events
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.store.contact import StoreContact
from jasminewheel._internal.store.large_changes import log_large
from jasminewheel._internal.store.large_values import LargeValues
from jasminewheel._internal.store.port import StoreChanges, StoreItem
from jasminewheel._internal.store.reader_choice import (
    AWAY_SECONDS,
    FAILED_SECONDS,
    Reader,
    ReaderChoice,
)
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import JasminewheelError, PeerError

# The time for a reader's reply beyond the wait that is asked for.
REPLY_SECONDS = 0.5
# A reader that failed within this time is asked again soon.
QUICK_FAILURE_SECONDS = 0.3
_LOGGER = logging.getLogger(__name__)


class ReaderAwayError(PeerError):
    """Report that the store does not answer a reader."""

    code = 'reader-away'

    def __init__(self, message: str, *, silent: bool) -> None:
        """Store whether it is unknown since when the store does not answer."""
        super().__init__(message)
        self.silent = silent


@define(eq=False)
class ReaderClient:
    """Ask readers, and pass over those that fail for a while."""

    pool: PeerPool
    readers: ReaderChoice
    contact: StoreContact
    # Large values that are known here, and need not be sent whole.
    values: LargeValues
    # The address of the reader that is followed; empty without one.
    followed: str = ''
    # Whether an outage of the store may have passed unnoticed.
    missed_store: bool = False
    # The readers that failed when they were last asked.
    failing: set[str] = field(factory=set)

    async def try_reader(
        self,
        reader: Reader,
        after_revision: int,
        wait_seconds: float,
        *,
        reply_seconds: float = REPLY_SECONDS,
        only_settled: bool = False,
    ) -> StoreChanges | None:
        """Return the changes that a reader knows; None if it failed.

        If only settled ones are wanted, others count as none.
        """
        asked_at = trio.current_time()
        self.check_age(asked_at)
        try:
            reply = await self.ask(
                reader, after_revision, wait_seconds, reply_seconds
            )
            written = self.values.from_wire(reply.written)
        except JasminewheelError as error:
            self.record_failure(reader, error, asked_at, trio.current_time())
            return None
        changes = _changes(reply, written, missed_store=self.missed_store)
        if only_settled and changes.settled is False:
            return None
        self.failing.discard(reader.address)
        if self.followed != reader.address:
            events.FOLLOWING.log(_LOGGER, reader=reader.address)
            self.followed = reader.address
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

    async def try_nearest(self, after_revision: int) -> StoreChanges | None:
        """Return what the best reader knows that did not fail just now.

        Until that is settled, this process may know better by itself.
        """
        usable = self.readers.usable(trio.current_time())
        if not usable:
            return None
        return await self.try_reader(
            usable[0], after_revision, 0, only_settled=True
        )

    async def news_of(
        self, reader: Reader, after_revision: int, wait_seconds: float
    ) -> StoreChanges | None:
        """Return changes that another reader knows to be settled, if any.

        A reader judges by its own watch whether it has lost the store.
        """
        asked_at = trio.current_time()
        try:
            reply = await self.ask(
                reader, after_revision, wait_seconds, REPLY_SECONDS
            )
            written = self.values.from_wire(reply.written)
        except JasminewheelError as error:
            _LOGGER.debug('reader %s has no news: %s', reader.address, error)
            return None
        if not reply.settled or reply.revision <= after_revision:
            return None
        changes = _changes(reply, written, missed_store=False)
        log_large(reader.address, changes, asked_at, trio.current_time())
        return evolve(changes, settled=None)

    async def ask(
        self,
        reader: Reader,
        after_revision: int,
        wait_seconds: float,
        reply_seconds: float,
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
            timeout_seconds=wait_seconds + reply_seconds,
        )
        if not reply.reads:
            raise ReaderAwayError(
                f'{reader.address} does not reach the store',
                silent=bool(reply.silent),
            )
        # Who asks for all values may know newer ones already.
        known = max(after_revision, self.contact.revision)
        if reply.revision < known:
            raise PeerError(
                f'{reader.address} knows revision {reply.revision} only, '
                f'{known} is known here'
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
