"""Check how the owner runs calls under faults of logs and targets."""

from itertools import repeat

import pytest
import trio
from program_configuration import make_snapshot
from program_operations import (
    ASK,
    LOOKUP,
    SEND_TEXT,
    Received,
    opened,
    operation,
    perform,
)
from program_parts import (
    TEXT,
    MemoryLogs,
    MemoryTargets,
    closed,
    owning,
)
from trio.testing import MockClock, wait_all_tasks_blocked

from jasminewheel._internal.program.unlogged_calls import UnloggedCalls
from jasminewheel._internal.wire.gen.program.ttypes import OperationKind
from jasminewheel.errors import (
    BudgetError,
    ConflictError,
    DeadlineError,
    ForbiddenError,
    NotFoundError,
    OverloadedError,
)
from jasminewheel.models.verdict import Verdict


async def start_in_order(owner, nursery, names):
    """Send texts one after the other, without waiting for answers."""
    for name in names:
        nursery.start_soon(perform, owner, OperationKind.CALL, name, SEND_TEXT)
        # The order of arrival is what the test is about.
        await wait_all_tasks_blocked()  # noqa: WPS476


def run(test):
    """Run an asynchronous test."""
    trio.run(test)


def test_model_call_is_streamed_and_kept():
    """The text is complete and recorded, and a retry receives it again."""

    async def check():
        targets = MemoryTargets()
        async with owning(MemoryLogs(), targets) as owner:
            await opened(owner)
            first = await perform(owner, OperationKind.CALL, 'a', ASK)
            again = await perform(owner, OperationKind.CALL, 'a', ASK)
            rest = await perform(owner, OperationKind.RESUME, 'a', offset=8)
        assert first.text == TEXT
        assert first.body['text'] == TEXT
        assert first.body['usage']['cached_tokens'] == 4
        assert again.body == first.body
        assert rest.text == TEXT
        assert targets.runs == ['p:a:0']

    run(check)


def test_history_is_model_input():
    """The next call receives the conversation before its own messages."""

    async def check():
        targets = MemoryTargets()
        async with owning(MemoryLogs(), targets) as owner:
            await opened(owner)
            await perform(owner, OperationKind.CALL, 'a', ASK)
            await perform(owner, OperationKind.CALL, 'b', ASK)
            history = await perform(owner, OperationKind.HISTORY)
        sent = targets.streams['p:b:0'].messages
        assert [each['role'] for each in sent] == ['user', 'assistant', 'user']
        assert sent[1]['content'] == TEXT
        assert len(history.body['messages']) == 4

    run(check)


def test_calls_run_in_the_order_of_arrival():
    """Calls of one program never overlap and keep their order."""

    async def check():
        targets = MemoryTargets()
        async with owning(MemoryLogs(), targets) as owner:
            await opened(owner)
            async with trio.open_nursery() as nursery:
                with closed(targets):
                    await start_in_order(owner, nursery, 'abcdefgh')
                    assert targets.runs == ['text p:a']
        assert targets.runs == [f'text p:{name}' for name in 'abcdefgh']

    run(check)


def test_runner_lost_in_mid_stream_leaves_no_gap():
    """Another runner continues the text without a gap or repetition."""

    async def check():
        targets = MemoryTargets(break_after=[5, 'refuse', 7])
        async with owning(MemoryLogs(), targets) as owner:
            await opened(owner)
            received = await perform(owner, OperationKind.CALL, 'a', ASK)
            reports = [each.reports for each in owner.placer.decisions]
        assert received.text == TEXT
        assert received.restarts == 0
        assert targets.runs == ['p:a:0', 'p:a:1', 'p:a:2', 'p:a:3']
        assert targets.streams['p:a:2'].continue_text == TEXT[:5]
        assert reports == [['failed'], ['failed'], ['failed'], ['finished']]

    run(check)


@pytest.mark.parametrize('faults', [['refuse'], ['refuse', 'refuse']])
def test_unsent_service_call_tries_another_runner(faults):
    """A refused connection ran nothing, so another runner is tried."""

    async def check():
        targets = MemoryTargets(service_faults=list(faults))
        async with owning(MemoryLogs(), targets) as owner:
            await opened(owner)
            received = await perform(owner, OperationKind.CALL, 'a', SEND_TEXT)
        assert received.done.verdict == Verdict.ran.value
        assert targets.runs == ['text p:a']

    run(check)


def test_call_that_did_not_run_anywhere_may_be_sent_again():
    """After the verdict "not run", the same request may run later."""

    async def check():
        targets = MemoryTargets(service_faults=list(repeat('refuse', 4)))
        async with owning(MemoryLogs(), targets) as owner:
            await opened(owner)
            first = await perform(owner, OperationKind.CALL, 'a', SEND_TEXT)
            assert targets.runs == []
            again = await perform(owner, OperationKind.CALL, 'a', SEND_TEXT)
        assert first.done.verdict == Verdict.not_run.value
        assert again.done.verdict == Verdict.ran.value
        assert targets.runs == ['text p:a']

    run(check)


def test_lost_answer_of_a_text_is_not_sent_again():
    """The final verdict of a non-repeatable call is "may have run"."""

    async def check():
        targets = MemoryTargets(service_faults=['drop'])
        async with owning(MemoryLogs(), targets) as owner:
            await opened(owner)
            first = await perform(owner, OperationKind.CALL, 'a', SEND_TEXT)
            again = await perform(owner, OperationKind.CALL, 'a', SEND_TEXT)
        assert first.done.verdict == Verdict.may_have_run.value
        assert again.body == first.body
        assert targets.runs == ['text p:a']

    run(check)


def test_lost_answer_of_a_lookup_is_asked_again():
    """A repeatable call is retried at the next runner."""

    async def check():
        targets = MemoryTargets(service_faults=['drop'])
        async with owning(MemoryLogs(), targets) as owner:
            await opened(owner)
            received = await perform(owner, OperationKind.CALL, 'a', LOOKUP)
        assert received.done.verdict == Verdict.ran.value
        assert targets.runs == ['lookup p:a', 'lookup p:a']

    run(check)


def test_hung_tool_is_bounded_by_its_timeout(autojump_clock):
    """A time-out gives the verdict "may have run"; the next call runs."""

    async def check():
        targets = MemoryTargets()
        async with owning(MemoryLogs(), targets) as owner:
            await opened(owner)
            with closed(targets):
                received = await perform(
                    owner, OperationKind.CALL, 'a', SEND_TEXT
                )
            after = await perform(owner, OperationKind.CALL, 'b', SEND_TEXT)
        assert received.done.verdict == Verdict.may_have_run.value
        assert after.done.verdict == Verdict.ran.value

    trio.run(check, clock=autojump_clock)


@pytest.fixture
def autojump_clock():
    """Return a mock clock that skips waits."""
    return MockClock(autojump_threshold=0)


def test_append_is_tried_until_a_majority_answers(autojump_clock):
    """Appends are retried until a history is available again."""

    async def check():
        logs = MemoryLogs()
        targets = MemoryTargets()
        async with owning(logs, targets) as owner:
            await opened(owner)
            logs.failures = 5
            received = await perform(owner, OperationKind.CALL, 'a', SEND_TEXT)
        assert received.done.verdict == Verdict.ran.value
        assert targets.runs == ['text p:a']

    trio.run(check, clock=autojump_clock)


def test_refusals_change_nothing():
    """A refused request leaves no record."""

    async def check():
        logs = MemoryLogs()
        async with owning(
            logs, MemoryTargets(), make_snapshot(max_turns=1)
        ) as owner:
            await opened(owner)
            call = OperationKind.CALL
            with pytest.raises(NotFoundError):
                await perform(owner, call, 'a', SEND_TEXT, caller='yard')
            with pytest.raises(NotFoundError):
                await perform(owner, call, 'a', SEND_TEXT, program='q')
            with pytest.raises(NotFoundError):
                await perform(owner, call, 'a', {'target': 'nobody'})
            with pytest.raises(DeadlineError):
                await perform(owner, call, 'a', SEND_TEXT, deadline_at=1)
            assert len(logs.records['p']) == 1
            await perform(owner, call, 'a', SEND_TEXT)
            with pytest.raises(OverloadedError):
                await perform(owner, call, 'b', SEND_TEXT)
            with pytest.raises(ConflictError):
                await perform(owner, call, 'a', LOOKUP)
        assert list(logs.records) == ['p']

    run(check)


def test_target_not_allowed_is_forbidden():
    """A caller may call only the targets allowed to it."""

    async def check():
        snapshot = make_snapshot()
        allowed = snapshot.callers['cafe'].targets
        assert 'ticket-desk' in allowed
        object.__setattr__(snapshot.callers['cafe'], 'targets', ())
        async with owning(MemoryLogs(), MemoryTargets(), snapshot) as owner:
            await opened(owner)
            with pytest.raises(ForbiddenError):
                await perform(owner, OperationKind.CALL, 'a', SEND_TEXT)

    run(check)


def test_children_end_with_their_parent():
    """A child is opened once and accepts no call after its parent's end."""

    async def check():
        logs = MemoryLogs()
        async with owning(logs, MemoryTargets()) as owner:
            await opened(owner)
            kind = OperationKind.OPEN_CHILD
            child = await perform(owner, kind, 'child-1')
            again = await perform(owner, kind, 'child-1')
            assert child.body == again.body == {'program': 'p.1'}
            await perform(
                owner, OperationKind.CALL, 'a', SEND_TEXT, program='p.1'
            )
            ended = await perform(owner, OperationKind.END)
            assert ended.body['ended'] == 'ended by its caller'
            with pytest.raises(ConflictError):
                await perform(
                    owner, OperationKind.CALL, 'b', SEND_TEXT, program='p.1'
                )

    run(check)


def test_plain_call_is_a_program_of_its_own():
    """A plain call is answered once and its program ends."""

    async def check():
        logs = MemoryLogs()
        targets = MemoryTargets()
        async with owning(logs, targets) as owner:
            call = OperationKind.CALL
            first = await perform(owner, call, 'a', SEND_TEXT, plain=True)
            await wait_all_tasks_blocked()
            again = await perform(owner, call, 'a', SEND_TEXT, plain=True)
            view = await perform(owner, OperationKind.VIEW)
        assert again.body == first.body
        assert view.body['ended']
        assert targets.runs == ['text p:a']

    run(check)


def test_status_follows_the_call():
    """The status reports the phase and verdict of each request."""

    async def check():
        targets = MemoryTargets()
        async with owning(MemoryLogs(), targets) as owner:
            await opened(owner)
            async with trio.open_nursery() as nursery:
                with closed(targets):
                    await start_in_order(owner, nursery, 'ab')
                    running = await perform(owner, OperationKind.STATUS, 'a')
                    queued = await perform(owner, OperationKind.STATUS, 'b')
                    unknown = await perform(owner, OperationKind.STATUS, 'c')
            last = await perform(owner, OperationKind.STATUS, 'a')
        assert (running.body['phase'], running.body['verdict']) == (
            'running',
            'may-have-run',
        )
        assert (queued.body['phase'], queued.body['verdict']) == (
            'queued',
            'not-run',
        )
        assert unknown.body['phase'] == 'unknown'
        assert last.body['phase'] == 'finished'
        assert last.body['verdict'] == 'ran'

    run(check)


def test_budget_refusal_has_not_run():
    """A call that the budget cannot cover leaves no record."""

    async def check():
        logs = MemoryLogs()
        targets = MemoryTargets()
        async with owning(logs, targets) as owner:
            await opened(owner)
            owner.operations.flow.budget_client = ExhaustedBudget()
            with pytest.raises(BudgetError) as caught:
                await perform(owner, OperationKind.CALL, 'a', ASK)
            # A service spends no tokens.
            sent = await perform(owner, OperationKind.CALL, 'b', SEND_TEXT)
        assert caught.value.verdict is Verdict.not_run
        assert sent.done.verdict == Verdict.ran.value
        assert targets.runs == ['text p:b']

    run(check)


class ExhaustedBudget:
    """Refuse every reservation."""

    def reserve(self, caller, tokens, now):
        """Refuse."""
        raise BudgetError('exhausted')


def test_plain_lookup_needs_no_record():
    """A plain call that may be repeated runs without a majority."""

    async def check():
        logs = MemoryLogs()
        targets = MemoryTargets()
        async with owning(logs, targets) as owner:
            calls = UnloggedCalls(
                owner.operations.flow, owner.operations.nursery
            )
            lookup = operation(OperationKind.CALL, 'a', LOOKUP, plain=True)
            text = operation(OperationKind.CALL, 'b', SEND_TEXT, plain=True)
            assert not calls.handles(text)
            assert calls.handles(lookup)
            received = Received()
            await calls.perform(lookup, received)
        assert received.body['status'] == 200
        assert targets.runs == ['lookup p:a']
        assert not logs.records

    run(check)
