"""Read and write conversations on behalf of one entry's requests."""

from collections import OrderedDict

import trio
from attrs import define, evolve, field, frozen

from jasminewheel._internal.conversation.ledger import (
    ProgramLedger,
    is_within_budget,
    needs_recheck,
)
from jasminewheel._internal.conversation.quorum import (
    QuorumClient,
    QuorumRequest,
)
from jasminewheel._internal.conversation.quorum_condition import FoundOrAbsent
from jasminewheel._internal.conversation.state import turn_bytes
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import (
    BudgetError,
    NotFoundError,
    QuorumError,
    UnavailableError,
)

# 2 MiB of the turns that this entry wrote or read most recently.
CACHE_BYTES = 2097152
# If no replica replied, this entry is probably partitioned, and a retry reaches
# another entry that can serve it at once.
PARTITION_RETRY_SECONDS = 0.15
# If some replicas replied, the others are down and need time to recover or be
# replaced.
QUORUM_LOST_RETRY_SECONDS = 1.0
# Interval and number of attempts to settle the reservation of an aborted turn.
SETTLE_RETRY_SECONDS = 0.5
SETTLE_ATTEMPTS = 20


@frozen
class Reservation:
    """Represent the tokens that one turn reserves from its program's budget."""

    turn_id: str
    program_id: str
    tokens: int
    retention_seconds: float
    settled: bool = False

    def to_wire(self) -> wire.TokenReservation:
        """Return the reservation as a message."""
        return wire.TokenReservation(
            turn_id=self.turn_id,
            program_id=self.program_id,
            tokens=self.tokens,
            settled=self.settled,
            retention_seconds=self.retention_seconds,
        )

    def as_settled(self, tokens: int) -> 'Reservation':
        """Return the reservation settled at the tokens actually used."""
        return evolve(self, tokens=tokens, settled=True)


@define(eq=False)
class TurnCache:
    """Cache recently used turns; turns are immutable, so none gets stale."""

    limit_bytes: int = CACHE_BYTES
    turns: OrderedDict[str, wire.TurnRecord] = field(factory=OrderedDict)
    cached_bytes: int = 0

    def put(self, turn: wire.TurnRecord) -> None:
        """Add a turn as the most recent one; evict the least recent ones."""
        if turn.turn_id not in self.turns:
            self.cached_bytes += turn_bytes(turn)
        self.turns[turn.turn_id] = turn
        self.turns.move_to_end(turn.turn_id)
        while self.cached_bytes > self.limit_bytes:
            _, evicted = self.turns.popitem(last=False)
            self.cached_bytes -= turn_bytes(evicted)

    def chain(self, turn_id: str) -> list[wire.TurnRecord]:
        """Return the turn and its cached predecessors, newest first."""
        found: list[wire.TurnRecord] = []
        turn = self.turns.get(turn_id)
        while turn:
            found.append(turn)
            turn = self.turns.get(turn.previous_id)
        return found


@frozen
class ConversationClient:
    """Read chains of turns, reserve tokens, and commit finished turns."""

    quorum: QuorumClient
    nursery: trio.Nursery
    cache: TurnCache = field(factory=TurnCache)

    async def chain(self, turn_id: str) -> list[wire.TurnRecord]:
        """Return the turn's whole chain, oldest first.

        Raise NotFoundError if the turn is proven absent, and UnavailableError
        if too few replicas replied to decide.
        """
        newest_first: list[wire.TurnRecord] = []
        wanted = turn_id
        while wanted:
            found = self.cache.chain(wanted) or await self.read(wanted)
            newest_first.extend(found)
            wanted = found[-1].previous_id
        for turn in newest_first:
            self.cache.put(turn)
        return list(reversed(newest_first))

    async def read(self, turn_id: str) -> list[wire.TurnRecord]:
        """Return the longest part of a chain on one replica, newest first."""
        replies = await self.ask(
            QuorumRequest(
                lambda scope: wire.ReadChain(scope=scope, turn_id=turn_id),
                wire.ChainRead,
                FoundOrAbsent(),
            ),
        )
        longest = max((reply.turns for reply in replies), key=len)
        if not longest:
            raise NotFoundError(f'there is no turn {turn_id}')
        return longest

    async def reserve(self, reservation: Reservation, budget: int) -> None:
        """Reserve tokens from the program's budget.

        Raise BudgetError if the budget is exceeded, and UnavailableError if
        too few replicas replied. A failed reservation is settled at zero.
        """
        try:
            within = await self.reserve_and_check(reservation, budget)
        except BaseException:
            self.settle_later(reservation.as_settled(0))
            raise
        if not within:
            self.settle_later(reservation.as_settled(0))
            raise BudgetError(
                f'the budget of {budget} tokens does not hold'
                f' {reservation.tokens} more',
            )

    async def reserve_and_check(
        self, reservation: Reservation, budget: int
    ) -> bool:
        """Store a reservation; return whether the total is within budget."""
        wire_reservation = reservation.to_wire()
        ledger = await self.ledger(
            QuorumRequest(
                lambda scope: wire.ReserveTokens(
                    scope=scope, reservation=wire_reservation
                ),
                wire.ProgramTokens,
            ),
        )
        if needs_recheck(ledger, budget):
            program_id = reservation.program_id
            ledger = await self.ledger(
                QuorumRequest(
                    lambda scope: wire.ReadProgramTokens(
                        scope=scope, program_id=program_id
                    ),
                    wire.ProgramTokens,
                ),
            )
        return is_within_budget(ledger, budget)

    async def ledger(self, request: QuorumRequest) -> ProgramLedger:
        """Return the merged ledger of the replicas that replied."""
        ledger = ProgramLedger()
        for reply in await self.ask(request):
            ledger.merge_all(reply.reservations)
        return ledger

    async def commit(self, turn: wire.TurnRecord) -> None:
        """Commit a finished turn; raise UnavailableError if unconfirmed."""
        await self.ask(
            QuorumRequest(
                lambda scope: wire.CommitTurn(scope=scope, turn=turn),
                wire.Stored,
                message_bytes=turn_bytes(turn),
            ),
        )
        self.cache.put(turn)

    def settle_later(self, reservation: Reservation) -> None:
        """Settle a reservation in the background."""
        self.nursery.start_soon(self.settle, reservation)

    async def settle(self, reservation: Reservation) -> None:
        """Settle a reservation with retries.

        If all attempts fail, its tokens stay reserved.
        """
        wire_reservation = reservation.to_wire()
        request = QuorumRequest(
            lambda scope: wire.SettleTokens(
                scope=scope, reservation=wire_reservation
            ),
            wire.Stored,
        )
        attempts_left = SETTLE_ATTEMPTS
        while attempts_left and not await self.try_store(request):
            attempts_left -= 1
            await trio.sleep(SETTLE_RETRY_SECONDS)

    async def try_store(self, request: QuorumRequest) -> bool:
        """Send a write; return whether a quorum stored it."""
        try:
            await self.ask(request)
        except UnavailableError:
            return False
        return True

    async def ask(self, request: QuorumRequest) -> list:
        """Send a request to a quorum.

        Raise UnavailableError if too few replicas reply; nothing has run then.
        """
        try:
            return await self.quorum.ask(request)
        except QuorumError as error:
            retry_after = PARTITION_RETRY_SECONDS
            if error.answered:
                retry_after = QUORUM_LOST_RETRY_SECONDS
            raise UnavailableError(
                error.message, retry_after_seconds=retry_after
            ) from error
