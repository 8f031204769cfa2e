"""Carry out callers' operations on the programs of this entry."""

import json
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import Any

import trio
from attrs import asdict, define

from jasminewheel._internal.observability.tracing import current_traceparent
from jasminewheel._internal.program.answer import Answer, AnswerReader
from jasminewheel._internal.program.admission import check_digest
from jasminewheel._internal.program.flow import CallFlow
from jasminewheel._internal.program.host import ProgramHost
from jasminewheel._internal.program.hosted import HostedProgram
from jasminewheel._internal.program.job import Clock
from jasminewheel._internal.program.plan import make_plan
from jasminewheel._internal.program.ports import EventSink
from jasminewheel._internal.program.program import Program
from jasminewheel._internal.program.requests import (
    OpenBody,
    call_request,
    digest_of,
    parse_body,
)
from jasminewheel._internal.wire.gen.program.ttypes import (
    ChildOpened,
    Operation,
    OperationEvent,
    OperationEventKind,
    OperationKind,
    ProgramEnded,
    ProgramOpened,
)
from jasminewheel.errors import NotFoundError
from jasminewheel.models.call import CallPhase, CallRequest, CallStatus
from jasminewheel.models.verdict import Verdict

_OK = 200
_CREATED = 201
_ENDED_BY_CALLER = 'ended by its caller'


@define(eq=False)
class ProgramOperations:
    """Carry out each kind of operation at the owner."""

    host: ProgramHost
    flow: CallFlow
    nursery: trio.Nursery
    clock: Clock

    async def perform(self, operation: Operation, sink: EventSink) -> None:
        """Send the operation's events; raise MovedError if not the owner."""
        opens = operation.plain or operation.kind == OperationKind.OPEN
        hosted = await self.host.find(operation.program, opens=opens)
        handler = _HANDLERS[operation.kind]
        await handler(self, hosted, operation, sink)

    async def open(
        self, hosted: HostedProgram, operation: Operation, sink: EventSink
    ) -> None:
        """Open the program, or answer that it is open."""
        body = parse_body(operation.body, OpenBody)
        opened = ProgramOpened(
            caller=operation.caller,
            request_id=operation.request_id,
            digest=digest_of(operation.body),
            opened_at=self.clock(),
            deadline_at=operation.deadline_at,
            parent='',
            labels=json.dumps(body.labels).encode(),
        )
        await hosted.append_decided(
            lambda program: _open_once(program, opened)
        )
        hosted.program.require_caller(operation.caller)
        await sink(_done(_CREATED, {'program': operation.program}))

    async def open_child(
        self, hosted: HostedProgram, operation: Operation, sink: EventSink
    ) -> None:
        """Record the child in its parent, then open it."""
        parent = hosted.program
        opened = parent.require_caller(operation.caller)
        body = parse_body(operation.body, OpenBody)
        digest = digest_of(operation.body)
        await hosted.append_decided(
            lambda program: _child_once(
                program, operation.request_id, digest, self.clock()
            )
        )
        child = parent.children[operation.request_id]
        child_id = parent.child_id(child)
        await self.open_recorded_child(
            child_id,
            ProgramOpened(
                caller=operation.caller,
                request_id=operation.request_id,
                digest=digest,
                opened_at=child.opened_at,
                deadline_at=_earlier(
                    opened.deadline_at, operation.deadline_at
                ),
                parent=parent.program_id,
                labels=json.dumps(body.labels).encode(),
            ),
        )
        await sink(_done(_CREATED, {'program': child_id}))

    async def open_recorded_child(
        self, child_id: str, opened: ProgramOpened
    ) -> None:
        """Open a child that stands in its parent's log."""
        hosted = await self.host.find(child_id, opens=True)
        await hosted.append_decided(
            lambda program: _open_once(program, opened)
        )

    async def call(
        self, hosted: HostedProgram, operation: Operation, sink: EventSink
    ) -> None:
        """Run the call, or join the one with the same identifier."""
        if operation.plain:
            await self.open_plain(hosted, operation)
        hosted.program.require_caller(operation.caller)
        request = call_request(operation, self.clock())
        answer = self.known_answer(hosted, request)
        if answer is None:
            answer = self.begin(hosted, request, operation)
        reader = AnswerReader(answer, operation.offset, operation.generation)
        await reader.copy_to(sink)
        if operation.plain:
            self.nursery.start_soon(self.end_plain, hosted)

    def begin(
        self,
        hosted: HostedProgram,
        request: CallRequest,
        operation: Operation,
    ) -> Answer:
        """Admit a new call; raise its refusal."""
        plan = make_plan(self.flow.snapshot(), operation.caller, request)
        program = hosted.program
        if program.unfinished is None:
            program.check_may_call(
                request, plan.caller.max_turns, self.clock()
            )
        self.host.check_accepts(hosted)
        return self.flow.begin(
            hosted, request, self.nursery, current_traceparent()
        )

    def known_answer(
        self, hosted: HostedProgram, request: CallRequest
    ) -> Answer | None:
        """Return the answer of a request sent before, if it may have run."""
        answer = hosted.answers.get(request.request_id)
        if answer:
            check_digest(request.request_id, answer.digest, request.digest)
            return answer
        call = hosted.program.recorded_call(request)
        if call is None:
            return None
        if call.outcome is None:
            return self.flow.take_up(hosted, call, self.nursery)
        if call.outcome.verdict is Verdict.not_run:
            return None
        return Answer.of(call.digest, call.outcome)

    async def resume(
        self, hosted: HostedProgram, operation: Operation, sink: EventSink
    ) -> None:
        """Send the rest of an answer."""
        hosted.program.require_caller(operation.caller)
        answer = hosted.answers.get(operation.request_id)
        if answer is None:
            call = hosted.program.calls.get(operation.request_id)
            if call is None or call.outcome is None:
                raise NotFoundError(
                    f'request {operation.request_id} did not run',
                    remedy='send the request',
                )
            answer = Answer.of(call.digest, call.outcome)
        reader = AnswerReader(answer, operation.offset, operation.generation)
        await reader.copy_to(sink)

    async def status(
        self, hosted: HostedProgram, operation: Operation, sink: EventSink
    ) -> None:
        """Say what became of a request."""
        hosted.program.require_caller(operation.caller)
        status = call_status(hosted, operation.request_id)
        body = {
            'request': status.request_id,
            'phase': status.phase.value,
            'verdict': status.verdict.value,
        }
        await sink(_done(_OK, body))

    async def view(
        self, hosted: HostedProgram, operation: Operation, sink: EventSink
    ) -> None:
        """Show the program."""
        hosted.program.require_caller(operation.caller)
        await sink(_done(_OK, asdict(hosted.program.view())))

    async def history(
        self, hosted: HostedProgram, operation: Operation, sink: EventSink
    ) -> None:
        """Show the conversation and the calls in their order."""
        program = hosted.program
        program.require_caller(operation.caller)
        body = {
            'messages': [asdict(message) for message in program.messages],
            'calls': [
                {
                    'request': call.request_id,
                    'target': call.start.target,
                    'operation': call.start.operation,
                    'verdict': call.verdict.value,
                }
                for call in program.calls.values()
            ],
        }
        await sink(_done(_OK, body))

    async def end(
        self, hosted: HostedProgram, operation: Operation, sink: EventSink
    ) -> None:
        """End the program and its children once their calls are done."""
        hosted.program.require_caller(operation.caller)
        await self.end_tree(hosted, _ENDED_BY_CALLER)
        await sink(_done(_OK, asdict(hosted.program.view())))

    async def end_tree(self, hosted: HostedProgram, reason: str) -> None:
        """End children first, so that a lost owner leaves no open child."""
        program = hosted.program
        hosted.is_ending = True
        await hosted.quiet()
        for child in list(program.children.values()):
            child_hosted = await self.host.find(program.child_id(child))
            if child_hosted.program.opened:
                await self.end_tree(child_hosted, reason)
        ended = ProgramEnded(reason=reason, ended_at=self.clock())
        await hosted.append_decided(
            lambda decided: None if decided.ended else ended
        )

    async def open_plain(
        self, hosted: HostedProgram, operation: Operation
    ) -> None:
        """Open the program that holds a plain call."""
        opened = ProgramOpened(
            caller=operation.caller,
            request_id=operation.request_id,
            digest=digest_of(operation.body),
            opened_at=self.clock(),
            deadline_at=operation.deadline_at,
            parent='',
            labels=b'{}',
        )
        await hosted.append_decided(
            lambda program: _open_once(program, opened)
        )

    async def end_plain(self, hosted: HostedProgram) -> None:
        """End the program of a plain call after its answer was sent."""
        await self.host.guarded(self.end_tree, hosted, 'plain call answered')


def call_status(hosted: HostedProgram, request_id: str) -> CallStatus:
    """Return what the owner knows of a request."""
    program = hosted.program
    verdict = program.verdict_of(request_id)
    phase = CallPhase.unknown
    unfinished = program.unfinished
    if unfinished and unfinished.request_id == request_id:
        phase = CallPhase.running
    elif request_id in hosted.answers:
        phase = CallPhase.queued
    elif request_id in program.calls:
        phase = CallPhase.finished
    return CallStatus(request_id, phase, verdict)


def _open_once(program: Program, opened: ProgramOpened) -> ProgramOpened | None:
    known = program.opened
    if known is None:
        return opened
    if known.caller == opened.caller:
        check_digest(opened.request_id, known.digest, opened.digest)
    return None


def _child_once(
    program: Program, request_id: str, digest: str, now: float
) -> ChildOpened | None:
    child = program.open_child(request_id, digest, now)
    return None if request_id in program.children else child


def _earlier(first: float, second: float) -> float:
    return min((at for at in (first, second) if at), default=0)


def _done(status: int, body: dict[str, Any]) -> OperationEvent:
    return OperationEvent(
        kind=OperationEventKind.DONE,
        status=status,
        body=json.dumps(body).encode(),
        verdict=Verdict.ran.value,
    )


_Handler = Callable[
    [ProgramOperations, HostedProgram, Operation, EventSink],
    Awaitable[None],
]
_HANDLERS: Mapping[int, _Handler] = MappingProxyType(
    {
        OperationKind.OPEN: ProgramOperations.open,
        OperationKind.OPEN_CHILD: ProgramOperations.open_child,
        OperationKind.CALL: ProgramOperations.call,
        OperationKind.STATUS: ProgramOperations.status,
        OperationKind.RESUME: ProgramOperations.resume,
        OperationKind.VIEW: ProgramOperations.view,
        OperationKind.HISTORY: ProgramOperations.history,
        OperationKind.END: ProgramOperations.end,
    }
)
