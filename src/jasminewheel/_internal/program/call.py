"""Represent one call of a program as its records describe it."""

import json

from attrs import define

from jasminewheel._internal.wire.gen.program.ttypes import (
    CallFinished,
    CallStarted,
)
from jasminewheel.errors import JasminewheelError, UnavailableError
from jasminewheel.models.call import CallOutcome, Message
from jasminewheel.models.problem import Problem
from jasminewheel.models.verdict import Verdict


@define
class Call:
    """Represent a call from its start record to its outcome."""

    request_id: str
    digest: str
    start: CallStarted
    outcome: CallOutcome | None = None

    @property
    def verdict(self) -> Verdict:
        """Return whether the records show that the call ran."""
        if self.outcome is None:
            return Verdict.may_have_run
        return self.outcome.verdict

    @property
    def may_start_again(self) -> bool:
        """Return whether the call is unfinished or did not run."""
        return self.outcome is None or self.verdict is Verdict.not_run

    def finish(self, record: CallFinished) -> None:
        """Set the outcome from its record."""
        self.outcome = CallOutcome(
            verdict=Verdict(record.verdict),
            status=record.status,
            body=record.body,
            text=record.text,
            prompt_tokens=record.prompt_tokens,
            cached_tokens=record.cached_tokens,
            completion_tokens=record.completion_tokens,
            generation=record.generation,
        )

    def messages_for_history(self) -> list[Message]:
        """Return the messages that a model call adds to the conversation."""
        outcome = self.outcome
        if self.start.operation or not outcome or not outcome.succeeded:
            return []
        answer = Message('assistant', outcome.text)
        return [*messages_of(self.start.content), answer]

    def lost_outcome(self) -> CallOutcome:
        """Return the outcome "may have run" of a call whose owner failed."""
        error = UnavailableError(
            'the entry that ran the call was lost',
            verdict=Verdict.may_have_run,
            remedy='check the effect at the target before sending it again',
        )
        return failed_outcome(error, self.start.generation)


def messages_of(content: bytes) -> list[Message]:
    """Return the messages in a model call's input."""
    listed = json.loads(content).get('messages', [])
    return [Message(each['role'], each['content']) for each in listed]


def finish_record(
    request_id: str, outcome: CallOutcome, now: float
) -> CallFinished:
    """Return the record of an outcome."""
    return CallFinished(
        request_id=request_id,
        verdict=outcome.verdict.value,
        status=outcome.status,
        body=outcome.body,
        text=outcome.text,
        prompt_tokens=outcome.prompt_tokens,
        cached_tokens=outcome.cached_tokens,
        completion_tokens=outcome.completion_tokens,
        finished_at=now,
        generation=outcome.generation,
    )


def failed_outcome(error: JasminewheelError, generation: int) -> CallOutcome:
    """Return the outcome of a call that ended with an error."""
    problem = Problem.of(error)
    return CallOutcome(
        verdict=Verdict(problem.verdict),
        status=problem.status,
        body=problem.encode(),
        generation=generation,
    )
