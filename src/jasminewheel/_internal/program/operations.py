"""Perform callers' operations on the programs of this entry."""

from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from types import MappingProxyType

import trio
from attrs import define

from jasminewheel._internal.observability.spans import current_traceparent
from jasminewheel._internal.program.answer import Answer, AnswerReader, done
from jasminewheel._internal.program.ending import ProgramEnding
from jasminewheel._internal.program.flow import CallFlow
from jasminewheel._internal.program.host import ProgramHost
from jasminewheel._internal.program.hosted import HostedProgram
from jasminewheel._internal.program.opening import ProgramOpening
from jasminewheel._internal.program.plan import make_plan
from jasminewheel._internal.program.ports import EventSink
from jasminewheel._internal.program.requests import call_request
from jasminewheel._internal.program.views import (
    history_body,
    program_body,
    status_body,
)
from jasminewheel._internal.wire.gen.program.ttypes import (
    Operation,
    OperationKind,
)
from jasminewheel.errors import CallError, NotFoundError, QuorumError
from jasminewheel.models.call import CallRequest
from jasminewheel.models.verdict import Verdict

_OK = 200
_CREATED = 201
CONFIRM_TIMEOUT_SECONDS = 1.0


@define(eq=False)
class ProgramOperations:
    """Perform each kind of operation at the owner."""

    host: ProgramHost
    flow: CallFlow
    opening: ProgramOpening
    ending: ProgramEnding
    nursery: trio.Nursery

    async def perform(self, operation: Operation, sink: EventSink) -> None:
        """Send the operation's events; raise MovedError if not the owner."""
        opens = operation.plain or operation.kind == OperationKind.OPEN
        hosted = await self.host.find(operation.program, opens=opens)
        if opens:
            await self.opening.open(hosted, operation)
        hosted.program.require_caller(operation.caller)
        handler = _HANDLERS[operation.kind]
        await handler(self, hosted, operation, sink)

    async def open(
        self, hosted: HostedProgram, operation: Operation, sink: EventSink
    ) -> None:
        """Send the identifier of the program, which is open now."""
        await sink(done(_CREATED, {'program': operation.program}))

    async def open_child(
        self, hosted: HostedProgram, operation: Operation, sink: EventSink
    ) -> None:
        """Open a child and send its identifier."""
        child_id = await self.opening.open_child(hosted, operation)
        await sink(done(_CREATED, {'program': child_id}))

    async def call(
        self, hosted: HostedProgram, operation: Operation, sink: EventSink
    ) -> None:
        """Run the call, or join the one with the same identifier."""
        try:
            await self.call_once(hosted, operation, sink)
        except CallError as refusal:
            if refusal.verdict is Verdict.not_run:
                await hosted.confirm()
            raise
        if operation.plain:
            self.nursery.start_soon(self.end_plain, hosted)

    async def call_once(
        self, hosted: HostedProgram, operation: Operation, sink: EventSink
    ) -> None:
        """Send the answer of a call; start the call if it is new."""
        request = call_request(operation, self.flow.clock())
        answer = hosted.answer_of(request)
        if answer is None:
            answer = self.begin(hosted, request, operation)
        await self.copy(answer, operation, sink)

    def begin(
        self,
        hosted: HostedProgram,
        request: CallRequest,
        operation: Operation,
    ) -> Answer:
        """Admit and queue a new call; raise an error if it is refused."""
        plan = make_plan(self.flow.snapshot(), operation.caller, request)
        if hosted.is_idle:
            hosted.program.check_may_call(
                request, plan.caller.max_turns, self.flow.clock()
            )
        self.host.check_accepts(hosted)
        return self.flow.begin(
            hosted, request, self.nursery, current_traceparent()
        )

    async def resume(
        self, hosted: HostedProgram, operation: Operation, sink: EventSink
    ) -> None:
        """Send the rest of an answer."""
        answer = hosted.recorded_answer(operation.request_id)
        if answer is None:
            await hosted.confirm()
            raise NotFoundError(
                f'request {operation.request_id} did not run',
                remedy='send the request',
            )
        await self.copy(answer, operation, sink)

    async def copy(
        self, answer: Answer, operation: Operation, sink: EventSink
    ) -> None:
        """Send an answer from the reader's offset on."""
        reader = AnswerReader(
            answer, operation.offset or 0, operation.generation or 0
        )
        await reader.copy_to(sink)

    async def status(
        self, hosted: HostedProgram, operation: Operation, sink: EventSink
    ) -> None:
        """Send the phase and verdict of a request."""
        body = status_body(hosted, operation.request_id)
        if body['verdict'] == Verdict.not_run.value:
            body['verdict'] = (await confirmed_verdict(hosted)).value
        await sink(done(_OK, body))

    async def view(
        self, hosted: HostedProgram, operation: Operation, sink: EventSink
    ) -> None:
        """Send the state of the program."""
        await hosted.confirm()
        await sink(done(_OK, program_body(hosted.program)))

    async def history(
        self, hosted: HostedProgram, operation: Operation, sink: EventSink
    ) -> None:
        """Send the conversation and the calls in their order."""
        await hosted.confirm()
        await sink(done(_OK, history_body(hosted.program)))

    async def end(
        self, hosted: HostedProgram, operation: Operation, sink: EventSink
    ) -> None:
        """End the program and its children once their calls are done."""
        await self.ending.end(hosted, 'ended by its caller')
        await sink(done(_OK, program_body(hosted.program)))

    async def end_plain(self, hosted: HostedProgram) -> None:
        """End the program of a plain call after its answer was sent."""
        await self.host.run_guarded(
            self.ending.end, hosted, 'plain call answered'
        )


async def confirmed_verdict(hosted: HostedProgram) -> Verdict:
    """Return not_run if a majority confirms the ownership in time.

    Otherwise another owner may have run the call.
    """
    with trio.move_on_after(CONFIRM_TIMEOUT_SECONDS), suppress(QuorumError):
        await hosted.confirm()
        return Verdict.not_run
    return Verdict.may_have_run


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
