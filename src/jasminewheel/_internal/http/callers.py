"""Serve the callers' HTTP interface: programs, calls, streams."""

import re
from http import HTTPStatus

from attrs import define
from quart import Blueprint, Response, request
from werkzeug.exceptions import HTTPException

from jasminewheel._internal.http.answers import (
    collect_response,
    stream_response,
)
from jasminewheel._internal.http.credentials import (
    check_program_id,
    check_request_id,
    new_program_id,
    request_id_of,
)
from jasminewheel._internal.http.dispatch import OperationDispatch
from jasminewheel._internal.http.problem import http_error, problem_response
from jasminewheel._internal.program.plan import deadline_for
from jasminewheel._internal.program.requests import (
    CallBody,
    OpenBody,
    parse_body,
)
from jasminewheel._internal.wire.gen.program.ttypes import (
    Operation,
    OperationKind,
)
from jasminewheel.errors import BadRequestError, JasminewheelError
from jasminewheel.models.caller import Caller

MAX_BODY_BYTES = 8_388_608
_PROGRAMS = '/v1/programs'
_PROGRAM = '/v1/programs/<program_id>'
_CALL = '/v1/programs/<program_id>/calls/<request_id>'
_EVENT_ID = re.compile('([0-9]{1,9}):([0-9]{1,12})')
_OFFSET = re.compile('[0-9]{1,12}')


@define(eq=False)
class CallersApi:
    """Check callers' requests and route them to the program's owner."""

    dispatch: OperationDispatch

    def blueprint(self) -> Blueprint:
        """Return the routes."""
        routes = Blueprint('callers', __name__)
        add = routes.add_url_rule
        add(_PROGRAMS, 'open', self.open, methods=['POST'])
        add(f'{_PROGRAM}/children', 'child', self.child, methods=['POST'])
        add(f'{_PROGRAM}/calls', 'call', self.call, methods=['POST'])
        add('/v1/calls', 'plain', self.plain, methods=['POST'])
        add(_CALL, 'status', self.status)
        add(f'{_CALL}/stream', 'resume', self.resume)
        add(_PROGRAM, 'view', self.view)
        add(f'{_PROGRAM}/history', 'history', self.history)
        add(_PROGRAM, 'end', self.end, methods=['DELETE'])
        routes.register_error_handler(JasminewheelError, problem_response)
        routes.register_error_handler(HTTPException, on_http_exception)
        return routes

    async def open(self) -> Response:
        """Open a program."""
        caller = self.dispatch.caller()
        request_id = request_id_of(request.headers)
        body = await read_body()
        program_id = new_program_id(caller.name, 'program', request_id)
        return await self.open_program(
            caller, OperationKind.OPEN, program_id, request_id, body
        )

    async def child(self, program_id: str) -> Response:
        """Open a child of a program."""
        caller = self.dispatch.caller()
        check_program_id(program_id)
        request_id = request_id_of(request.headers)
        body = await read_body()
        return await self.open_program(
            caller, OperationKind.OPEN_CHILD, program_id, request_id, body
        )

    async def open_program(
        self,
        caller: Caller,
        kind: int,
        program_id: str,
        request_id: str,
        body: bytes,
    ) -> Response:
        """Open a program or child as the body describes."""
        requested_seconds = parse_body(body, OpenBody).deadline_seconds
        operation = Operation(
            kind=kind,
            caller=caller.name,
            program=program_id,
            request_id=request_id,
            body=body,
            deadline_at=deadline_for(
                caller, requested_seconds, self.dispatch.clock()
            ),
        )
        return await collect_response(self.dispatch.start(operation))

    async def call(self, program_id: str) -> Response:
        """Make a call within a program."""
        caller = self.dispatch.caller()
        check_program_id(program_id)
        operation = await self.call_operation(caller, program_id)
        return await self.answer_call(operation)

    async def plain(self) -> Response:
        """Make a call outside any program."""
        caller = self.dispatch.caller()
        request_id = request_id_of(request.headers)
        program_id = new_program_id(caller.name, 'plain', request_id)
        operation = await self.call_operation(caller, program_id)
        operation.plain = True
        operation.deadline_at = deadline_for(
            caller, None, self.dispatch.clock()
        )
        return await self.answer_call(operation)

    async def call_operation(
        self, caller: Caller, program_id: str
    ) -> Operation:
        """Return the operation for a call."""
        return Operation(
            kind=OperationKind.CALL,
            caller=caller.name,
            program=program_id,
            request_id=request_id_of(request.headers),
            body=await read_body(),
            deadline_at=0,
        )

    async def answer_call(self, operation: Operation) -> Response:
        """Refuse a malformed call here; send any other to the owner.

        Only the owner checks the call against the configuration, since it
        has the record whether the same request has already run.
        """
        body = parse_body(operation.body, CallBody)
        stream = self.dispatch.start(operation)
        if body.stream:
            return await stream_response(stream)
        return await collect_response(stream)

    async def status(self, program_id: str, request_id: str) -> Response:
        """Return the status of a request."""
        check_request_id(request_id)
        return await self.dispatch.ask(
            OperationKind.STATUS, program_id, request_id
        )

    async def resume(self, program_id: str, request_id: str) -> Response:
        """Stream the rest of an answer."""
        caller = self.dispatch.caller()
        check_program_id(program_id)
        check_request_id(request_id)
        generation, offset = read_position()
        operation = Operation(
            kind=OperationKind.RESUME,
            caller=caller.name,
            program=program_id,
            request_id=request_id,
            body=b'',
            deadline_at=0,
            offset=offset,
            generation=generation,
        )
        return await stream_response(self.dispatch.start(operation))

    async def view(self, program_id: str) -> Response:
        """Show a program."""
        return await self.dispatch.ask(OperationKind.VIEW, program_id)

    async def history(self, program_id: str) -> Response:
        """Show the conversation of a program."""
        return await self.dispatch.ask(OperationKind.HISTORY, program_id)

    async def end(self, program_id: str) -> Response:
        """End a program."""
        return await self.dispatch.ask(OperationKind.END, program_id)


async def read_body() -> bytes:
    """Return the body; the HTTP library refuses one over MAX_BODY_BYTES."""
    request.max_content_length = MAX_BODY_BYTES
    return await request.get_data(cache=False)


def read_position() -> tuple[int, int]:
    """Return the requested generation and offset, or 0, 0 if none are given."""
    named = request.args.get('offset') or request.headers.get('Last-Event-ID')
    if not named:
        return 0, 0
    if _OFFSET.fullmatch(named):
        return 0, int(named)
    match = _EVENT_ID.fullmatch(named)
    if match is None:
        raise BadRequestError(
            'the offset is malformed',
            remedy='send the id of the last event received',
        )
    return int(match[1]), int(match[2])


async def on_http_exception(error: HTTPException) -> Response:
    """Return the problem document for an error of the HTTP library."""
    status = error.code or HTTPStatus.INTERNAL_SERVER_ERROR
    return problem_response(http_error(status, error.description or ''))
