"""Apply a program's rules to a state replayed from its records."""

import json
from collections.abc import Iterable

from attrs import Factory, define

from jasminewheel._internal.program.admission import (
    check_deadline,
    check_digest,
)
from jasminewheel._internal.program.call import Call
from jasminewheel._internal.program.order import check_order, wrong_order
from jasminewheel._internal.program.records import Record
from jasminewheel._internal.wire.gen.program.ttypes import (
    CallFinished,
    CallStarted,
    ChildOpened,
    ProgramEnded,
    ProgramOpened,
)
from jasminewheel.errors import (
    ConflictError,
    NotFoundError,
    OverloadedError,
)
from jasminewheel.models.call import CallOutcome, CallRequest, Message
from jasminewheel.models.program import ProgramView
from jasminewheel.models.verdict import Verdict


@define
class Program:
    """Check what a program may do next and apply its records."""

    program_id: str
    opened: ProgramOpened | None = None
    calls: dict[str, Call] = Factory(dict)
    children: dict[str, ChildOpened] = Factory(dict)
    ended: ProgramEnded | None = None
    unfinished: Call | None = None
    messages: list[Message] = Factory(list)
    length: int = 0
    attained_tokens: int = 0

    @classmethod
    def replay(cls, program_id: str, records: Iterable[Record]) -> 'Program':
        """Return the program that the records describe."""
        program = cls(program_id)
        for record in records:
            program.apply(record)
        return program

    def apply(self, record: Record) -> None:
        """Apply one record; raise HistoryError if it is out of order."""
        check_order(self, record)
        match record:
            case ProgramOpened():
                self.opened = record
            case CallStarted():
                self.apply_start(record)
            case CallFinished():
                self.apply_finish(record)
            case ChildOpened():
                self.children[record.request_id] = record
            case ProgramEnded():
                self.ended = record
        self.length += 1

    def apply_start(self, record: CallStarted) -> None:
        """Apply the start of a call's attempt."""
        call = self.calls.get(record.request_id)
        if call is None:
            call = Call(record.request_id, record.digest, record)
            self.calls[record.request_id] = call
        elif not call.may_start_again:
            raise wrong_order(self, record)
        call.start = record
        call.outcome = None
        self.unfinished = call

    def apply_finish(self, record: CallFinished) -> None:
        """Apply a call's outcome and its messages."""
        call = self.calls[record.request_id]
        call.finish(record)
        self.unfinished = None
        self.attained_tokens += record.prompt_tokens
        self.attained_tokens += record.completion_tokens
        self.messages.extend(call.messages_for_history())

    def require_caller(self, caller: str) -> ProgramOpened:
        """Return the opening record; raise NotFoundError to other callers."""
        if self.opened is None or self.opened.caller != caller:
            raise NotFoundError(
                f'no program {self.program_id}',
                remedy='open a program first',
            )
        return self.opened

    def recorded_call(self, request: CallRequest) -> Call | None:
        """Return the call already recorded under the request's identifier."""
        call = self.calls.get(request.request_id)
        if call:
            check_digest(request.request_id, call.digest, request.digest)
        return call

    def check_may_call(
        self, request: CallRequest, max_turns: int, now: float
    ) -> None:
        """Raise an error if a new call is refused; nothing has run then."""
        self.check_open()
        if self.unfinished:
            running = self.unfinished.request_id
            raise ConflictError(
                f'request {running} is not finished',
                remedy='ask for its answer first',
            )
        if max_turns and len(self.calls) >= max_turns:
            raise OverloadedError(
                f'program reached its limit of {max_turns} turns',
                remedy='end the program and open another',
            )
        check_deadline(self.deadline_of(request), now)

    def check_open(self) -> None:
        """Raise ConflictError if the program has ended."""
        if self.ended:
            reason = self.ended.reason
            raise ConflictError(
                f'{self.program_id} has ended: {reason}',
                remedy='open another program',
            )

    def deadline_of(self, request: CallRequest) -> float:
        """Return the earlier deadline of request and program; 0 for none."""
        opened_until = self.opened.deadline_at if self.opened else 0
        known = [at for at in (request.deadline_at, opened_until) if at]
        return min(known, default=0)

    def open_child(
        self, request_id: str, digest: str, now: float
    ) -> ChildOpened:
        """Return the record of the child opened by this request."""
        known = self.children.get(request_id)
        if known:
            check_digest(request_id, known.digest, digest)
            return known
        self.check_open()
        return ChildOpened(
            request_id=request_id,
            digest=digest,
            number=len(self.children) + 1,
            opened_at=now,
        )

    def child_id(self, child: ChildOpened) -> str:
        """Return the identifier of a child."""
        return f'{self.program_id}.{child.number}'

    def verdict_of(self, request_id: str) -> Verdict:
        """Return whether the log shows that a request ran."""
        call = self.calls.get(request_id)
        if call is None:
            return Verdict.not_run
        return call.verdict

    def lost_outcome(self) -> CallOutcome | None:
        """Return the outcome of a call interrupted by the loss of its owner.

        A repeatable call has none, since the next owner resumes it.
        """
        if self.unfinished is None or self.unfinished.start.repeatable:
            return None
        return self.unfinished.lost_outcome()

    def view(self) -> ProgramView:
        """Return the state that a caller may see."""
        opened = self.opened or ProgramOpened()
        return ProgramView(
            program=self.program_id,
            parent=opened.parent,
            opened_at=opened.opened_at,
            deadline_at=opened.deadline_at,
            turns=len(self.calls),
            children=tuple(map(self.child_id, self.children.values())),
            ended=self.ended.reason if self.ended else '',
            labels=json.loads(opened.labels or b'{}'),
        )
