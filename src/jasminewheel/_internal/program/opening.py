"""Open programs and their children idempotently."""

import json

from attrs import define

from jasminewheel._internal.program.admission import check_digest
from jasminewheel._internal.program.host import ProgramHost
from jasminewheel._internal.program.hosted import HostedProgram
from jasminewheel._internal.program.job import Clock
from jasminewheel._internal.program.program import Program
from jasminewheel._internal.program.requests import (
    OpenBody,
    digest_of,
    parse_body,
)
from jasminewheel._internal.wire.gen.program.ttypes import (
    ChildOpened,
    Operation,
    ProgramOpened,
)


@define(eq=False)
class ProgramOpening:
    """Record the opening of programs."""

    host: ProgramHost
    clock: Clock

    async def open(self, hosted: HostedProgram, operation: Operation) -> None:
        """Open the program if it is not open; check the body and caller."""
        opened = self.opened_by(operation, operation.deadline_at)
        await append_opening(hosted, opened)
        hosted.program.require_caller(operation.caller)

    async def open_child(
        self, hosted: HostedProgram, operation: Operation
    ) -> str:
        """Record the child in its parent, then open it; return its id."""
        parent = hosted.program
        parent_opened = parent.require_caller(operation.caller)
        child = await self.record_child(hosted, operation)
        child_id = parent.child_id(child)
        deadlines = (parent_opened.deadline_at, operation.deadline_at)
        opened = self.opened_by(
            operation, min((at for at in deadlines if at), default=0)
        )
        opened.parent = parent.program_id
        child_hosted = await self.host.find(child_id, opens=True)
        await append_opening(child_hosted, opened)
        return child_id

    async def record_child(
        self, hosted: HostedProgram, operation: Operation
    ) -> ChildOpened:
        """Return the child's record, appended to the parent's log if new."""
        request_id = operation.request_id
        digest = digest_of(operation.body)

        def decide(program: Program) -> ChildOpened | None:  # noqa: WPS430
            child = program.open_child(request_id, digest, self.clock())
            return None if request_id in program.children else child

        await hosted.append_decided(decide)
        return hosted.program.children[request_id]

    def opened_by(
        self, operation: Operation, deadline_at: float
    ) -> ProgramOpened:
        """Return the record of a program that the operation opens."""
        labels = {}
        if not operation.plain:
            labels = parse_body(operation.body, OpenBody).labels
        return ProgramOpened(
            caller=operation.caller,
            request_id=operation.request_id,
            digest=digest_of(operation.body),
            opened_at=self.clock(),
            deadline_at=deadline_at,
            parent='',
            labels=json.dumps(labels).encode(),
        )


async def append_opening(hosted: HostedProgram, opened: ProgramOpened) -> None:
    """Append the opening unless the program is open."""
    await hosted.append_decided(
        lambda program: _unless_open(program, opened),
    )


def _unless_open(
    program: Program, opened: ProgramOpened
) -> ProgramOpened | None:
    known = program.opened
    if known is None:
        return opened
    if known.caller == opened.caller:
        check_digest(opened.request_id, known.digest, opened.digest)
    return None
