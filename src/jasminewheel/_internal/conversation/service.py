"""Serve the turns and reservations of one disk to entries and replicas."""

import logging
from collections.abc import Iterator, Sequence
from itertools import accumulate
from typing import Any

import trio
from attrs import frozen

from jasminewheel._internal.conversation.journal import Journal
from jasminewheel._internal.conversation.records import (
    StoredReservation,
    StoredRevision,
    StoredTurn,
)
from jasminewheel._internal.conversation.state import turn_bytes
from jasminewheel._internal.events import conversation as events
from jasminewheel._internal.peer.server import Exchange, Handler
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import DiskReplacedError

PAGE_RECORDS = 64
# 1 MiB; a page may exceed this by at most one record.
PAGE_BYTES = 1048576
# 8 MiB; bounds the data in transit. The copying disk requests further rounds.
ROUND_BYTES = 8388608
# Approximate size of one reservation in a message.
RESERVATION_BYTES = 64
_LOGGER = logging.getLogger(__name__)


@frozen
class CopyThrottle:
    """Limit the bandwidth of a copy; zero means unlimited."""

    bytes_per_second: int

    def pause_seconds(self, page: wire.RecordPage) -> float:
        """Return how long to wait after sending a page."""
        if not self.bytes_per_second:
            return 0
        reservations = RESERVATION_BYTES * len(page.reservations)
        size = reservations + sum(map(turn_bytes, page.turns))
        return size / self.bytes_per_second


@frozen
class ReplicaService:
    """Handle requests to one replica; reject those under an outdated set."""

    disk_id: str
    journal: Journal

    def handlers(self) -> dict[type, Handler]:
        """Return the handlers by message type."""
        return {
            wire.ReserveTokens: self.reserve,
            wire.ReadProgramTokens: self.read_program,
            wire.SettleTokens: self.settle,
            wire.CommitTurn: self.commit,
            wire.ReadChain: self.read_chain,
            wire.ReadMissingRecords: self.read_missing,
        }

    @property
    def revision(self) -> int:
        """Return the revision of the newest replica set seen here."""
        return self.journal.state.set_revision

    async def admit(self, scope: wire.ReplicaScope) -> bool:
        """Return whether the request is under the newest set seen here.

        A newer revision is stored durably first, which fences older ones.
        """
        if scope.replica != self.disk_id:
            raise DiskReplacedError(f'replaced by disk {self.disk_id}')
        if scope.set_revision > self.journal.state.durable_revision:
            self.journal.state.note_revision(scope.set_revision)
            await self.journal.store(StoredRevision(scope.set_revision))
        # A newer revision may have arrived while this one was being stored.
        if scope.set_revision < self.revision:
            events.STALE_SET_REFUSED.log(
                _LOGGER, used=scope.set_revision, newest=self.revision
            )
            return False
        return True

    async def reserve(
        self, exchange: Exchange, request: wire.ReserveTokens
    ) -> wire.ProgramTokens:
        """Store a reservation and return all reservations of its program."""
        accepted = await self.admit(request.scope)
        if accepted:
            await self.store_reservation(request.reservation)
        return self.program_tokens(accepted, request.reservation.program_id)

    async def read_program(
        self, exchange: Exchange, request: wire.ReadProgramTokens
    ) -> wire.ProgramTokens:
        """Return all reservations of a program."""
        accepted = await self.admit(request.scope)
        return self.program_tokens(accepted, request.program_id)

    def program_tokens(
        self, accepted: bool, program_id: str
    ) -> wire.ProgramTokens:
        """Return the reservations of a program on this disk."""
        ledger = self.journal.state.programs.get(program_id)
        return wire.ProgramTokens(
            accepted=accepted,
            set_revision=self.revision,
            reservations=list(ledger.reservations.values()) if ledger else [],
        )

    async def settle(
        self, exchange: Exchange, request: wire.SettleTokens
    ) -> wire.Stored:
        """Store the settled reservation of a turn."""
        accepted = await self.admit(request.scope)
        if accepted:
            await self.store_reservation(request.reservation)
        return wire.Stored(accepted=accepted, set_revision=self.revision)

    async def commit(
        self, exchange: Exchange, request: wire.CommitTurn
    ) -> wire.Stored:
        """Store a finished turn and its settled reservation."""
        accepted = await self.admit(request.scope)
        if accepted:
            await self.store_turn(request.turn)
        return wire.Stored(accepted=accepted, set_revision=self.revision)

    async def read_chain(
        self, exchange: Exchange, request: wire.ReadChain
    ) -> wire.ChainRead:
        """Return a turn and its predecessors on this disk."""
        accepted = await self.admit(request.scope)
        turns = self.journal.state.chain(request.turn_id) if accepted else []
        return wire.ChainRead(
            accepted=accepted, set_revision=self.revision, turns=turns
        )

    async def read_missing(
        self, exchange: Exchange, request: wire.ReadMissingRecords
    ) -> wire.RecordPage:
        """Stream one round of turns that the requester lacks.

        The last round also carries all reservations.
        """
        if not await self.admit(request.scope):
            return self.page(accepted=False)
        known = frozenset(request.known_turns)
        missing = list(self.journal.state.missing_turns(known))
        sent = _within_bytes(missing, ROUND_BYTES)
        complete = len(sent) == len(missing)
        pages = [self.page(turns=some) for some in _pages(sent)]
        if complete:
            stored = tuple(self.journal.state.reservations())
            pages.extend(
                self.page(reservations=some) for some in _pages(stored)
            )
        throttle = CopyThrottle(request.bytes_per_second or 0)
        while pages:
            page = pages.pop()
            await exchange.reply(page)
            await trio.sleep(throttle.pause_seconds(page))
        return self.page(complete=complete)

    def page(self, *, accepted: bool = True, **records: Any) -> wire.RecordPage:
        """Return one page of records."""
        fields = {'turns': [], 'reservations': [], 'complete': False, **records}
        return wire.RecordPage(
            accepted=accepted, set_revision=self.revision, **fields
        )

    async def store_turn(self, turn: wire.TurnRecord) -> None:
        """Store a turn durably, with its reservation settled."""
        if turn.turn_id in self.journal.state.turns:
            # Already durable; a duplicate may arrive through a relay.
            return
        await self.journal.store(
            StoredTurn(turn), StoredReservation(settled_tokens(turn))
        )

    async def store_reservation(
        self, reservation: wire.TokenReservation
    ) -> None:
        """Store a reservation durably."""
        await self.journal.store(StoredReservation(reservation))


def settled_tokens(turn: wire.TurnRecord) -> wire.TokenReservation:
    """Return the settled reservation of a finished turn."""
    return wire.TokenReservation(
        turn_id=turn.turn_id,
        program_id=turn.program_id,
        tokens=turn.tokens,
        settled=True,
        retention_seconds=turn.retention_seconds,
    )


def _within_bytes(turns: list[wire.TurnRecord], max_bytes: int) -> list:
    sizes = accumulate(map(turn_bytes, turns))
    pairs = zip(turns, sizes, strict=True)
    return [turn for turn, size in pairs if size <= max_bytes] or turns[:1]


def _pages(records: Sequence[Any]) -> Iterator[list[Any]]:
    page: list[Any] = []
    page_bytes = 0
    for record in records:
        page.append(record)
        page_bytes += _size(record)
        if len(page) == PAGE_RECORDS or page_bytes > PAGE_BYTES:
            yield page
            page = []
            page_bytes = 0
    if page:
        yield page


def _size(record: Any) -> int:
    if isinstance(record, wire.TurnRecord):
        return turn_bytes(record)
    return 0
