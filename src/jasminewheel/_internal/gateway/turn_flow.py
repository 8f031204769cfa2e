"""Answer the turns of agent programs: chains, budgets and streams."""

import logging
import math

import trio
from attrs import define, field, frozen

from jasminewheel._internal.conversation.client import (
    ConversationClient,
    Reservation,
)
from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.events.event import Event
from jasminewheel._internal.gateway.attempts import CallRecord, RetryingSender
from jasminewheel._internal.gateway.choice import CallRequirements
from jasminewheel._internal.gateway.event_splitter import (
    EventSplitter,
    StreamEvent,
)
from jasminewheel._internal.gateway.plain_flow import FirstAnswerRelay
from jasminewheel._internal.gateway.ports import RunnerAnswer
from jasminewheel._internal.web.answer_limits import MAX_STREAM_EVENTS
from jasminewheel._internal.web.answer_writer import AnswerWriter
from jasminewheel._internal.web.headers import end_to_end
from jasminewheel._internal.wire.gen.conversation.ttypes import TurnRecord
from jasminewheel.errors import (
    ConnectionLostError,
    NotFoundError,
    UnavailableError,
)

_OK = 200
# Pause before the disks are asked again to store a turn.
COMMIT_RETRY_SECONDS = 0.1
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class StreamProgress:
    """Track what a stream has sent to the caller."""

    tokens_per_event: int
    # Whether the output is needed after the end of the stream.
    records_output: bool = True
    events: int = 0
    output: bytearray = field(factory=bytearray)

    @property
    def tokens(self) -> int:
        """Return the number of tokens sent."""
        return self.events * self.tokens_per_event

    def add_events(self, received: list[StreamEvent]) -> None:
        """Count events, and record their data if it is needed."""
        self.events += len(received)
        if not self.records_output:
            return
        for event in received:
            self.output.extend(event.payload)
            self.output.extend(b'\n')


@define(eq=False)
class OpenTurn:
    """Represent a turn in progress; on exit its reservation is settled."""

    record: CallRecord
    conversations: ConversationClient
    answer: AnswerWriter
    progress: StreamProgress
    chain: list[TurnRecord] = field(factory=list)
    reservation: Reservation | None = None
    # Whether the whole stream of the runner was sent to the caller, except
    # for its end.
    relayed: bool = False

    async def __aenter__(self) -> 'OpenTurn':
        """Read the chain and reserve tokens of the program's budget."""
        turn = self.record.call.turn
        if self.record.route.retains_history and turn.previous_id:
            self.chain = await self.conversations.chain(turn.previous_id)
            latest = self.chain[-1]
            check_owner(latest, self.record.organisation_name)
            self.record.previous_runner = latest.runner
        if turn.budget_tokens is not None and turn.program_id:
            await self.reserve(turn.budget_tokens)
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """Settle the reservation of a turn whose answer was not finished."""
        if self.reservation and not self.answer.finished:
            spent = self.reservation.as_settled(self.progress.tokens)
            self.conversations.settle_later(spent)

    async def reserve(self, budget: int) -> None:
        """Reserve the turn's maximum output in its program's budget."""
        turn = self.record.call.turn
        reservation = Reservation(
            self.record.call.call_id,
            self.record.budget_id,
            turn.max_output_tokens,
            self.record.route.retention_seconds,
        )
        await self.conversations.reserve(reservation, budget)
        self.reservation = reservation

    def requirements(self) -> CallRequirements:
        """Return what the choice of a runner for the turn depends on."""
        turn = self.record.call.turn
        return CallRequirements(
            self.record.target,
            self.record.route.kind,
            prompt_tokens=turn.prompt_tokens,
            previous_runner=self.record.previous_runner,
            excluded_runners=self.record.excluded_runners,
            prompt=self.record.prompt,
        )

    async def read(self, runner_answer: RunnerAnswer) -> None:
        """Relay the runner's answer, except for the end of a stream."""
        if runner_answer.status != _OK:
            await FirstAnswerRelay(self.answer).read(runner_answer)
            return
        await self.relay_events(runner_answer)
        self.relayed = True

    async def finish(self) -> None:
        """End a relayed stream once its turn is stored.

        The runner is already released, however long the disks take.
        """
        if not self.relayed:
            return
        if self.record.route.retains_history:
            await self.commit_turn()
        await self.answer.finish()
        self.record.log_fields['events'] = self.progress.events

    async def commit_turn(self) -> None:
        """Store the finished turn; retry until the call's deadline.

        Only the end of the stream waits for this; everything before it was
        already relayed.
        """
        began = trio.current_time()
        try:
            await self.commit_with_retry(self.turn_record(), began)
        except trio.Cancelled:
            self.log_commit(
                events.TURN_NOT_STORED,
                began,
                'call ended while the turn was being stored',
            )
            raise

    async def commit_with_retry(self, turn: TurnRecord, began: float) -> None:
        """Retry until a quorum of disks stores the turn."""
        problem = await self.try_commit(turn)
        if problem:
            self.log_commit(events.TURN_COMMIT_RETRIED, began, problem)
        while problem:
            await trio.sleep(COMMIT_RETRY_SECONDS)
            problem = await self.try_commit(turn)

    async def try_commit(self, turn: TurnRecord) -> str:
        """Store the turn; return why that failed, or an empty string."""
        try:
            await self.conversations.commit(turn)
        except UnavailableError as error:
            return error.message
        return ''

    def log_commit(self, event: Event, began: float, problem: str) -> None:
        """Log an event about storing the finished turn."""
        event.log(
            _LOGGER,
            request=self.record.call.call_id,
            runner=self.record.runner,
            events=self.progress.events,
            seconds=round(trio.current_time() - began, 3),
            problem=problem,
        )

    async def relay_events(self, runner_answer: RunnerAnswer) -> None:
        """Relay each event as soon as it is complete.

        Raise ConnectionLostError if the stream breaks off, which includes an
        end within an event.
        """
        await self.answer.start(
            runner_answer.status, end_to_end(runner_answer.headers)
        )
        splitter = EventSplitter(self.max_events())
        async for part in runner_answer.parts():
            whole = splitter.feed(part)
            self.progress.add_events(whole)
            runner_answer.set_held_bytes(
                len(self.progress.output) + len(splitter.buffer)
            )
            await self.answer.send(b''.join(one.raw for one in whole))
            splitter.check_limits()
        self.check_end(splitter, runner_answer)

    def check_end(
        self, splitter: EventSplitter, runner_answer: RunnerAnswer
    ) -> None:
        """Raise ConnectionLostError if a stream ended within an event.

        An empty stream that ends with its connection broke off before its
        first event.
        """
        no_event = runner_answer.ends_with_connection and not splitter.events
        if not (splitter.buffer or no_event):
            return
        events.STREAM_TRUNCATED.log(
            _LOGGER,
            request=self.record.call.call_id,
            runner=self.record.runner,
            events=splitter.events,
            rest=len(splitter.buffer),
        )
        raise ConnectionLostError(
            f'stream broke off after {splitter.events} events and'
            f' {len(splitter.buffer)} bytes'
        )

    def max_events(self) -> int:
        """Return how many events the turn's maximum output takes."""
        max_tokens = self.record.call.turn.max_output_tokens
        if not max_tokens:
            return MAX_STREAM_EVENTS
        return math.ceil(max_tokens / self.progress.tokens_per_event)

    def turn_record(self) -> TurnRecord:
        """Return the record of the finished turn for storage."""
        call = self.record.call
        return TurnRecord(
            turn_id=call.call_id,
            previous_id=call.turn.previous_id,
            program_id=call.turn.program_id,
            prompt=call.body,
            output=bytes(self.progress.output),
            runner=self.record.runner,
            tokens=self.progress.tokens,
            retention_seconds=self.record.route.retention_seconds,
            ancestors=[turn.turn_id for turn in self.chain],
            organisation=self.record.organisation_name or None,
        )


@frozen
class TurnFlow:
    """Answer turns of conversations by streams of runners."""

    sender: RetryingSender
    conversations: ConversationClient

    async def run(
        self, record: CallRecord, answer: AnswerWriter, stride: int
    ) -> None:
        """Answer one turn."""
        progress = StreamProgress(stride, record.route.retains_history)
        open_turn = OpenTurn(record, self.conversations, answer, progress)
        async with open_turn:
            await self.sender.admit(record)
            body = full_prompt(open_turn.chain, record.call.body)
            await self.sender.run(
                record, body, open_turn.requirements(), open_turn.read
            )
            await open_turn.finish()


def check_owner(turn: TurnRecord, organisation: str) -> None:
    """Raise NotFoundError if a turn belongs to another organisation."""
    if turn.organisation and turn.organisation != organisation:
        raise NotFoundError(f'there is no turn {turn.turn_id}')


def full_prompt(chain: list[TurnRecord], added: bytes) -> bytes:
    """Return the prompts and outputs of the chain, then the added prompt."""
    pieces: list[bytes] = []
    for turn in chain:
        pieces.extend((turn.prompt, turn.output))
    return b''.join((*pieces, added))
