"""Run plain calls that need no record: lookups that may be repeated."""

import trio
from attrs import define

from jasminewheel._internal.observability.spans import current_traceparent
from jasminewheel._internal.program.answer import AnswerReader
from jasminewheel._internal.program.flow import CallFlow
from jasminewheel._internal.program.hosted import HostedProgram, OwnershipStatus
from jasminewheel._internal.program.plan import make_plan
from jasminewheel._internal.program.ports import EventSink
from jasminewheel._internal.program.program import Program
from jasminewheel._internal.program.records import StoredRecord
from jasminewheel._internal.program.requests import call_request
from jasminewheel._internal.wire.gen.program.ttypes import (
    Operation,
    ProgramOpened,
)
from jasminewheel.errors import CallError


class NullLog:
    """Keep nothing: the program ends with its only call."""

    log_ids = frozenset()

    async def read(self, log_id: str) -> list[StoredRecord]:
        """Return no record."""
        return []

    async def append(
        self, log_id: str, index: int, kind: str, payload: bytes
    ) -> None:
        """Let the record go."""

    async def drop(self, log_id: str) -> None:
        """Leave nothing behind."""


@define(eq=False)
class UnloggedCalls:
    """Run plain calls at the entry where they arrive.

    A retry runs such a call again, which the operator has declared harmless;
    so neither an owner nor a majority of histories is in its path.
    """

    flow: CallFlow
    nursery: trio.Nursery

    def handles(self, operation: Operation) -> bool:
        """Return whether a call needs no record."""
        if not operation.plain:
            return False
        try:
            request = call_request(operation, self.flow.clock())
            plan = make_plan(self.flow.snapshot(), operation.caller, request)
        except CallError:
            # The owner refuses it, unless it ran under another configuration.
            return False
        return plan.repeatable and plan.model_input is None

    async def perform(self, operation: Operation, sink: EventSink) -> None:
        """Run the call and send its events."""
        now = self.flow.clock()
        program = Program(operation.program)
        program.apply(
            ProgramOpened(
                caller=operation.caller,
                opened_at=now,
                deadline_at=operation.deadline_at,
            ),
        )
        hosted = HostedProgram(program, NullLog(), OwnershipStatus(), now)
        request = call_request(operation, now)
        answer = self.flow.begin(
            hosted, request, self.nursery, current_traceparent()
        )
        await AnswerReader(answer, 0, 0).copy_to(sink)
