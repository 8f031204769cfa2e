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
from jasminewheel._internal.gateway.attempts import Attempts, CallRecord
from jasminewheel._internal.gateway.choice import Need
from jasminewheel._internal.gateway.event_splitter import (
    EventSplitter,
    StreamEvent,
)
from jasminewheel._internal.gateway.plain_flow import hand_back
from jasminewheel._internal.gateway.ports import RunnerAnswer
from jasminewheel._internal.web.answer_limits import STREAM_EVENTS
from jasminewheel._internal.web.answer_writer import AnswerWriter
from jasminewheel._internal.web.headers import end_to_end
from jasminewheel._internal.wire.gen.conversation.ttypes import TurnRecord
from jasminewheel.errors import UnavailableError

_OK = 200
# Disks that did not answer are asked again after this pause.
KEEP_PAUSE_SECONDS = 0.1
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class StreamProgress:
    """Hold what a stream has handed to the caller."""

    tokens_per_event: int
    # Whether the output is needed once the stream has ended.
    keeps_output: bool = True
    events: int = 0
    output: bytearray = field(factory=bytearray)

    @property
    def tokens(self) -> int:
        """Return the tokens handed out."""
        return self.events * self.tokens_per_event

    def note_all(self, received: list[StreamEvent]) -> None:
        """Count events, and keep their data if it is needed."""
        self.events += len(received)
        if not self.keeps_output:
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
    passed_on: bool = False

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
            spent = self.reservation.as_settled(self.progress.tokens)
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

    def need(self) -> Need:
        """Return what the turn asks of its runner."""
        turn = self.record.call.turn
        return Need(
            self.record.target,
            self.record.route.kind,
            prompt_tokens=turn.prompt_tokens,
            previous_runner=self.chain[-1].runner if self.chain else '',
            avoided=self.record.avoided,
        )

    async def read(self, found: RunnerAnswer) -> None:
        """Pass on the runner's answer, but for the end of a stream."""
        if found.status != _OK:
            await hand_back(self.answer, found)
            return
        await self.pass_on(found)
        self.passed_on = True

    async def end(self) -> None:
        """End a stream that was passed on, once its turn is kept.

        The runner is free by now, however long the disks take.
        """
        if not self.passed_on:
            return
        if self.record.route.retains_history:
            await self.keep()
        await self.answer.finish()
        self.record.notes['events'] = self.progress.events

    async def keep(self) -> None:
        """Keep the finished turn; try until the call's time is up.

        Only the end of the stream waits for it, and a runner has answered
        all that comes before.
        """
        began = trio.current_time()
        try:
            await self.keep_at_last(self.kept(), began)
        except trio.Cancelled:
            self.note(events.TURN_NOT_KEPT, began, 'the call ended before')
            raise

    async def keep_at_last(self, turn: TurnRecord, began: float) -> None:
        """Ask the disks until enough of them keep the turn."""
        problem = await self.try_to_keep(turn)
        if problem:
            self.note(events.TURN_WAITS, began, problem)
        while problem:
            await trio.sleep(KEEP_PAUSE_SECONDS)
            problem = await self.try_to_keep(turn)

    async def try_to_keep(self, turn: TurnRecord) -> str:
        """Keep the turn; return why it could not be kept, if so."""
        try:
            await self.conversations.commit(turn)
        except UnavailableError as error:
            return error.message
        return ''

    def note(self, event: Event, began: float, problem: str) -> None:
        """Log what becomes of the finished turn."""
        event.log(
            _LOGGER,
            request=self.record.call.call_id,
            runner=self.record.runner,
            events=self.progress.events,
            seconds=round(trio.current_time() - began, 3),
            problem=problem,
        )

    async def pass_on(self, found: RunnerAnswer) -> None:
        """Send each event on as soon as it is whole."""
        await self.answer.start(found.status, end_to_end(found.headers))
        splitter = EventSplitter(self.most_events())
        async for part in found.parts():
            whole = splitter.feed(part)
            self.progress.note_all(whole)
            found.hold(len(self.progress.output) + len(splitter.rest))
            await self.answer.send(b''.join(one.raw for one in whole))
            splitter.check()
        if splitter.rest:
            events.STREAM_CUT.log(_LOGGER, rest=len(splitter.rest))
            await self.answer.send(bytes(splitter.rest))

    def most_events(self) -> int:
        """Return how many events the turn's most tokens make."""
        most_tokens = self.record.call.turn.max_output_tokens
        if not most_tokens:
            return STREAM_EVENTS
        return math.ceil(most_tokens / self.progress.tokens_per_event)

    def kept(self) -> TurnRecord:
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

    attempts: Attempts
    conversations: ConversationClient

    async def run(
        self, record: CallRecord, answer: AnswerWriter, stride: int
    ) -> None:
        """Answer one turn."""
        progress = StreamProgress(stride, record.route.retains_history)
        opened = OpenTurn(record, self.conversations, answer, progress)
        async with opened:
            body = whole_prompt(opened.chain, record.call.body)
            await self.attempts.run(record, body, opened.need(), opened.read)
            await opened.end()


def whole_prompt(chain: list[TurnRecord], added: bytes) -> bytes:
    """Return all that was said before, and what is added."""
    said: list[bytes] = []
    for turn in chain:
        said.extend((turn.prompt, turn.output))
    return b''.join((*said, added))
