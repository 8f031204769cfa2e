"""Start operations for callers' requests."""

from collections.abc import Callable

import trio
from attrs import define
from quart import Response, request

from jasminewheel._internal.configuration.snapshot import Snapshot
from jasminewheel._internal.http.answers import collect_response
from jasminewheel._internal.http.credentials import (
    authenticate,
    check_program_id,
)
from jasminewheel._internal.http.operation_stream import OperationStream
from jasminewheel._internal.program.routing import Router
from jasminewheel._internal.wire.gen.program.ttypes import Operation
from jasminewheel.models.caller import Caller


@define(eq=False)
class OperationDispatch:
    """Authenticate callers and run their operations in the background."""

    snapshot: Callable[[], Snapshot]
    router: Router
    nursery: trio.Nursery
    clock: Callable[[], float]

    async def ask(
        self, kind: int, program_id: str, request_id: str = ''
    ) -> Response:
        """Perform an operation that has no body; return its response."""
        caller = self.caller()
        check_program_id(program_id)
        operation = Operation(
            kind=kind,
            caller=caller.name,
            program=program_id,
            request_id=request_id,
            body=b'',
            deadline_at=0,
        )
        return await collect_response(self.start(operation))

    def caller(self) -> Caller:
        """Return the authenticated caller of the request."""
        return authenticate(request.headers, self.snapshot(), self.clock())

    def start(self, operation: Operation) -> OperationStream:
        """Start an operation in the background; return its stream of events."""
        operation.offset = operation.offset or 0
        operation.generation = operation.generation or 0
        operation.hops = 0
        operation.configuration = self.snapshot().version
        operation.plain = bool(operation.plain)
        traceparent = request.headers.get('traceparent', '')
        stream = OperationStream.open(self.router, operation, traceparent)
        self.nursery.start_soon(stream.run)
        return stream
