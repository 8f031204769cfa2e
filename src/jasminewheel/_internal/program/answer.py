"""Buffer the text of a call's answer for its readers."""

import json
from bisect import bisect_right
from typing import Any

import trio
from attrs import define, field

from jasminewheel._internal.program.ports import EventSink
from jasminewheel._internal.wire.gen.program.ttypes import (
    OperationEvent,
    OperationEventKind,
)
from jasminewheel.errors import JasminewheelError
from jasminewheel.models.call import CallOutcome
from jasminewheel.models.verdict import Verdict

# Text for a lagging reader is joined up to about this many characters.
_PIECE_CHARACTERS = 65_536


@define(eq=False)
class Answer:
    """Represent the text so far and the outcome of the call.

    All readers share one copy of the text, regardless of their speed.
    """

    digest: str
    generation: int = 0
    pieces: list[str] = field(factory=list)
    start_offsets: list[int] = field(factory=list)
    length: int = 0
    outcome: CallOutcome | None = None
    error: JasminewheelError | None = None
    changed: trio.Event = field(factory=trio.Event)

    @classmethod
    def from_outcome(cls, digest: str, outcome: CallOutcome) -> 'Answer':
        """Return the answer of a recorded outcome."""
        answer = cls(digest, outcome.generation)
        answer.add(outcome.text)
        answer.finish(outcome)
        return answer

    @property
    def text(self) -> str:
        """Return the text so far."""
        return ''.join(self.pieces)

    def add(self, text: str) -> None:
        """Append text and wake the readers."""
        if not text:
            return
        self.pieces.append(text)
        self.start_offsets.append(self.length)
        self.length += len(text)
        self._announce()

    def restart(self, generation: int) -> None:
        """Drop the text, since the new generation's text may differ."""
        self.generation = generation
        self.pieces.clear()
        self.start_offsets.clear()
        self.length = 0
        self._announce()

    def finish(self, outcome: CallOutcome) -> None:
        """End with an outcome that is in the log."""
        self.outcome = outcome
        self._announce()

    def fail(self, error: JasminewheelError) -> None:
        """End with an error that is not in the log."""
        self.error = error
        self._announce()

    def text_from(self, offset: int) -> str:
        """Return a bounded piece of text from the offset on."""
        if offset >= self.length:
            return ''
        index = bisect_right(self.start_offsets, offset) - 1
        found = [self.pieces[index][offset - self.start_offsets[index] :]]
        taken = len(found[0])
        while taken < _PIECE_CHARACTERS and index + 1 < len(self.pieces):
            index += 1
            found.append(self.pieces[index])
            taken += len(found[-1])
        return ''.join(found)

    def _announce(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


@define(eq=False)
class AnswerReader:
    """Send an answer to one reader, from the reader's offset on."""

    answer: Answer
    offset: int
    generation: int

    async def copy_to(self, sink: EventSink) -> None:
        """Send events until the end; raise the error of a failed call."""
        while True:
            await self.send_restart(sink)
            await self.send_text(sink)
            if self.is_behind():
                continue
            if self.answer.error:
                raise self.answer.error
            if self.answer.outcome:
                await sink(done_event(self.answer.outcome))
                return
            await self.answer.changed.wait()

    def is_behind(self) -> bool:
        """Return whether there is anything to send without waiting."""
        moved = self.generation != self.answer.generation
        return moved or self.offset < self.answer.length

    async def send_restart(self, sink: EventSink) -> None:
        """Notify a reader of an earlier generation to drop its text."""
        if self.generation == self.answer.generation:
            return
        received_text = self.offset > 0
        self.generation = self.answer.generation
        self.offset = 0
        if received_text:
            await sink(
                OperationEvent(
                    kind=OperationEventKind.RESTART,
                    generation=self.generation,
                ),
            )

    async def send_text(self, sink: EventSink) -> None:
        """Send the next piece of text, if there is one."""
        text = self.answer.text_from(self.offset)
        if not text:
            return
        offset = self.offset
        self.offset += len(text)
        await sink(
            OperationEvent(
                kind=OperationEventKind.TOKEN,
                offset=offset,
                text=text,
                generation=self.generation,
            ),
        )


def done_event(outcome: CallOutcome) -> OperationEvent:
    """Return the last event of an operation with this outcome."""
    return OperationEvent(
        kind=OperationEventKind.DONE,
        status=outcome.status,
        body=outcome.body,
        verdict=outcome.verdict.value,
        generation=outcome.generation,
    )


def done(status: int, body: dict[str, Any]) -> OperationEvent:
    """Return the last event of an operation that calls no target."""
    outcome = CallOutcome(Verdict.ran, status, json.dumps(body).encode())
    return done_event(outcome)
