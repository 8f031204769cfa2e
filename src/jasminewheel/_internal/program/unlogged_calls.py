"""Run repeatable plain service calls without a log."""

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
    """Discard all records, since the program ends with its only call."""

    log_ids = frozenset()

    async def read(self, log_id: str) -> list[StoredRecord]:
        """Return no records."""
        return []

    async def append(
        self, log_id: str, index: int, kind: str, payload: bytes
    ) -> None:
        """Discard the record."""

    async def drop(self, log_id: str) -> None:
        """Do nothing, since there is no log."""


@define(eq=False)
class UnloggedCalls:
    """Run plain calls at the entry where they arrive.

    A retry runs such a call again, which the operator has declared safe, so
    the call needs neither an owner nor a majority of histories.
    """

    flow: CallFlow
    nursery: trio.Nursery

    def handles(self, operation: Operation) -> bool:
        """Return whether a call may run without a log."""
        if not operation.plain:
            return False
        try:
            request = call_request(operation, self.flow.clock())
            plan = make_plan(self.flow.snapshot(), operation.caller, request)
        except CallError:
            # The owner refuses the call, or returns its recorded answer if it
            # ran under an earlier configuration.
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
