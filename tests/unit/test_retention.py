"""Check that overdue programs are ended and then dropped."""

import trio
from program_operations import LOOKUP, opened, perform
from program_parts import MemoryLogs, MemoryTargets, owning

from jasminewheel._internal.program.retention import ProgramRetention
from jasminewheel._internal.program.slot_table import RETENTION_SECONDS
from jasminewheel._internal.wire.gen.program.ttypes import OperationKind


class Clock:
    """Return a time that the test sets."""

    def __init__(self):
        """Start at a fixed time."""
        self.now = 1000

    def __call__(self):
        """Return the time."""
        return self.now


def retention_of(owner, clock):
    """Return the retention task of an owner."""
    return ProgramRetention(owner.host, owner.operations.ending, clock)


def test_overdue_program_is_ended_then_dropped():
    """A program abandoned by its caller is ended and its log dropped."""

    async def check():
        clock = Clock()
        logs = MemoryLogs()
        async with owning(logs, MemoryTargets(), clock=clock) as owner:
            await opened(owner, deadline_at=2000)
            await retention_of(owner, clock).check_all()
            assert len(logs.records['p']) == 1
            clock.now = 2000
            await retention_of(owner, clock).check_all()
            view = await perform(owner, OperationKind.VIEW)
            assert view.body['ended'] == 'its deadline passed'
            clock.now += RETENTION_SECONDS
            await retention_of(owner, clock).check_all()
        assert not logs.records

    trio.run(check)


def test_next_owner_sweeps_what_is_on_disk():
    """A new owner finds an overdue program by its log, without a request."""

    async def check():
        clock = Clock()
        logs = MemoryLogs()
        async with owning(logs, MemoryTargets(), clock=clock) as owner:
            await opened(owner, deadline_at=2000)
            await perform(owner, OperationKind.CALL, 'a', LOOKUP)
        clock.now = 3000
        async with owning(logs, MemoryTargets(), clock=clock) as owner:
            slot = owner.host.table.slot(0)
            await retention_of(owner, clock).check_all()
            slot.evict_idle(clock.now)
            assert not slot.programs
            view = await perform(owner, OperationKind.VIEW)
        assert view.body['ended']

    trio.run(check)
