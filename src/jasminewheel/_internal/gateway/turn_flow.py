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
from jasminewheel._internal.gateway.plain_flow import relay_answer
from jasminewheel._internal.gateway.ports import RunnerAnswer
from jasminewheel._internal.web.answer_limits import MAX_STREAM_EVENTS
from jasminewheel._internal.web.answer_writer import AnswerWriter
from jasminewheel._internal.web.headers import end_to_end
from jasminewheel._internal.wire.gen.conversation.ttypes import TurnRecord
from jasminewheel.errors import UnavailableError

_OK = 200
# Disks that did not answer are asked again after this pause.
COMMIT_RETRY_SECONDS = 0.1
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class StreamProgress:
    """Hold what a stream has handed to the caller."""

    tokens_per_event: int
    # Whether the output is needed once the stream has ended.
    records_output: bool = True
    events: int = 0
    output: bytearray = field(factory=bytearray)

    @property
    def tokens(self) -> int:
        """Return the tokens handed out."""
        return self.events * self.tokens_per_event

    def add_events(self, received: list[StreamEvent]) -> None:
        """Count events, and keep their data if it is needed."""
        self.events += len(received)
        if not self.records_output:
            return
        for event in received:
            self.output.extend(event.payload)
            self.output.extend(b'\n')


@define(eq=False)
class OpenTurn:
    """Hold a turn under way; on exit what it took is settled."""

    record: CallRecord
    conversations: ConversationClient
    answer: AnswerWriter
    progress: StreamProgress
    chain: list[TurnRecord] = field(factory=list)
    reservation: Reservation | None = None
    # The runner has answered all, and the caller got it.
    relayed: bool = False

    async def __aenter__(self) -> 'OpenTurn':
        """Read the chain and take tokens of the program's budget."""
        turn = self.record.call.turn
        if self.record.route.retains_history and turn.previous_id:
            self.chain = await self.conversations.chain(turn.previous_id)
        if turn.budget_tokens is not None and turn.program_id:
            await self.reserve(turn.budget_tokens)
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """Settle a turn that was not kept."""
        if self.reservation and not self.answer.finished:
            spent = self.reservation.settled_at(self.progress.tokens)
            self.conversations.settle_later(spent)

    async def reserve(self, budget: int) -> None:
        """Take what the turn may need from its program's budget."""
        turn = self.record.call.turn
        reservation = Reservation(
            self.record.call.call_id,
            turn.program_id,
            turn.max_output_tokens,
            self.record.route.retention_seconds,
        )
        await self.conversations.reserve(reservation, budget)
        self.reservation = reservation

    def requirements(self) -> CallRequirements:
        """Return what the turn asks of its runner."""
        turn = self.record.call.turn
        return CallRequirements(
            self.record.target,
            self.record.route.kind,
            prompt_tokens=turn.prompt_tokens,
            previous_runner=self.chain[-1].runner if self.chain else '',
            excluded_runners=self.record.excluded_runners,
        )

    async def read(self, runner_answer: RunnerAnswer) -> None:
        """Pass on the runner's answer, but for the end of a stream."""
        if runner_answer.status != _OK:
            await relay_answer(self.answer, runner_answer)
            return
        await self.relay_events(runner_answer)
        self.relayed = True

    async def finish(self) -> None:
        """End a stream that was passed on, once its turn is kept.

        The runner is free by now, however long the disks take.
        """
        if not self.relayed:
            return
        if self.record.route.retains_history:
            await self.commit_turn()
        await self.answer.finish()
        self.record.log_fields['events'] = self.progress.events

    async def commit_turn(self) -> None:
        """Keep the finished turn; try until the call's time is up.

        Only the end of the stream waits for it, and a runner has answered
        all that comes before.
        """
        began = trio.current_time()
        try:
            await self.commit_with_retry(self.turn_record(), began)
        except trio.Cancelled:
            self.log_commit(
                events.TURN_NOT_STORED, began, 'the call ended before'
            )
            raise

    async def commit_with_retry(self, turn: TurnRecord, began: float) -> None:
        """Ask the disks until enough of them keep the turn."""
        problem = await self.try_commit(turn)
        if problem:
            self.log_commit(events.TURN_COMMIT_RETRIED, began, problem)
        while problem:
            await trio.sleep(COMMIT_RETRY_SECONDS)
            problem = await self.try_commit(turn)

    async def try_commit(self, turn: TurnRecord) -> str:
        """Keep the turn; return why it could not be kept, if so."""
        try:
            await self.conversations.commit(turn)
        except UnavailableError as error:
            return error.message
        return ''

    def log_commit(self, event: Event, began: float, problem: str) -> None:
        """Log what becomes of the finished turn."""
        event.log(
            _LOGGER,
            request=self.record.call.call_id,
            runner=self.record.runner,
            events=self.progress.events,
            seconds=round(trio.current_time() - began, 3),
            problem=problem,
        )

    async def relay_events(self, runner_answer: RunnerAnswer) -> None:
        """Send each event on as soon as it is whole."""
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
        if splitter.buffer:
            events.STREAM_TRUNCATED.log(_LOGGER, rest=len(splitter.buffer))
            await self.answer.send(bytes(splitter.buffer))

    def max_events(self) -> int:
        """Return how many events the turn's most tokens make."""
        max_tokens = self.record.call.turn.max_output_tokens
        if not max_tokens:
            return MAX_STREAM_EVENTS
        return math.ceil(max_tokens / self.progress.tokens_per_event)

    def turn_record(self) -> TurnRecord:
        """Return the finished turn as it is kept."""
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
        )


@frozen
class TurnFlow:
    """Continue conversations at runners."""

    sender: RetryingSender
    conversations: ConversationClient

    async def run(
        self, record: CallRecord, answer: AnswerWriter, stride: int
    ) -> None:
        """Answer one turn."""
        progress = StreamProgress(stride, record.route.retains_history)
        open_turn = OpenTurn(record, self.conversations, answer, progress)
        async with open_turn:
            body = full_prompt(open_turn.chain, record.call.body)
            await self.sender.run(
                record, body, open_turn.requirements(), open_turn.read
            )
            await open_turn.finish()


def full_prompt(chain: list[TurnRecord], added: bytes) -> bytes:
    """Return all that was said before, and what is added."""
    pieces: list[bytes] = []
    for turn in chain:
        pieces.extend((turn.prompt, turn.output))
    return b''.join((*pieces, added))
