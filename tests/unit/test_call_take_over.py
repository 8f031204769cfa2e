"""Check how calls continue after their owner has failed."""

import pytest
import trio
from program_operations import ASK, SEND_TEXT, opened, perform
from program_parts import TEXT, MemoryLogs, MemoryTargets, closed, owning
from trio.testing import wait_all_tasks_blocked

from jasminewheel._internal.wire.gen.program.ttypes import OperationKind
from jasminewheel.errors import MovedError
from jasminewheel.models.verdict import Verdict


async def cut_off(logs, targets, body):
    """Stop an owner while its call runs at the target."""
    async with owning(logs, targets) as owner:
        await opened(owner)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(perform, owner, OperationKind.CALL, 'a', body)
            await wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()


def test_take_over_never_repeats_a_text():
    """The next owner answers "may have run" and continues the program."""

    async def check():
        logs = MemoryLogs()
        targets = MemoryTargets()
        with closed(targets):
            await cut_off(logs, targets, SEND_TEXT)
        async with owning(logs, targets) as owner:
            retried = await perform(owner, OperationKind.CALL, 'a', SEND_TEXT)
            after = await perform(owner, OperationKind.CALL, 'b', SEND_TEXT)
        assert retried.done.verdict == Verdict.may_have_run.value
        assert after.done.verdict == Verdict.ran.value
        assert targets.runs == ['text p:a', 'text p:b']

    trio.run(check)


def test_take_over_resumes_the_stream():
    """The next owner resumes the same stream, so the text has no gap."""

    async def check():
        logs = MemoryLogs()
        targets = MemoryTargets()
        with closed(targets):
            await cut_off(logs, targets, ASK)
        async with owning(logs, targets) as owner:
            rest = await perform(owner, OperationKind.CALL, 'a', ASK, offset=3)
        assert rest.text == TEXT
        assert rest.restarts == 0
        assert targets.runs == ['p:a:0', 'resume p:a:0']

    trio.run(check)


def test_take_over_without_the_stream_restarts_the_text():
    """A caller that received a part of the text is told to drop it."""

    async def check():
        logs = MemoryLogs()
        targets = MemoryTargets()
        with closed(targets):
            await cut_off(logs, targets, ASK)
        targets.streams.clear()
        async with owning(logs, targets) as owner:
            received = await perform(
                owner, OperationKind.CALL, 'a', ASK, offset=3
            )
        assert received.text == TEXT
        assert received.restarts == 1
        assert targets.runs == ['p:a:0', 'p:a:1']

    trio.run(check)


def test_fenced_owner_drops_its_programs():
    """An owner that lost its slot cannot start a call."""

    async def check():
        logs = MemoryLogs()
        targets = MemoryTargets()
        async with owning(logs, targets) as owner:
            await opened(owner)
            logs.fence += 1
            with pytest.raises(MovedError):
                await perform(owner, OperationKind.CALL, 'a', SEND_TEXT)
            assert owner.host.table.slot(0) is None
        assert targets.runs == []

    trio.run(check)


@pytest.mark.parametrize(
    ('kind', 'request_id'),
    [
        (OperationKind.HISTORY, ''),
        (OperationKind.VIEW, ''),
        (OperationKind.RESUME, 'a'),
    ],
)
def test_fenced_owner_tells_nothing_of_the_past(kind, request_id):
    """A former owner must not answer without the next owner's calls."""

    async def check():
        logs = MemoryLogs()
        targets = MemoryTargets()
        async with owning(logs, targets) as former:
            await opened(former)
            async with owning(logs, targets) as owner:
                await perform(owner, OperationKind.CALL, 'a', SEND_TEXT)
            with pytest.raises(MovedError):
                await perform(former, kind, request_id)
        assert targets.runs == ['text p:a']

    trio.run(check)
