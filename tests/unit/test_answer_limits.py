"""Check the limits of answers without a network."""

import math
from contextlib import asynccontextmanager

import pytest
import trio
from attrs import define, field

from jasminewheel._internal.gateway.attempts import CallRecord, RetryingSender
from jasminewheel._internal.gateway.call import Call
from jasminewheel._internal.gateway.choice import CallRequirements, RunnerChoice
from jasminewheel._internal.gateway.event_splitter import EventSplitter
from jasminewheel._internal.gateway.routes import CallKind, Route, TargetShare
from jasminewheel._internal.gateway.runners import Runner, RunnerDirectory
from jasminewheel._internal.web.answer_limits import (
    ANSWER_MEMORY_BYTES,
    EVENT_BYTES,
    MEMORY_POOL_BYTES,
    SMALL_ANSWER_BYTES,
    AnswerLimits,
    AnswerMemory,
    AnswerMemoryPool,
)
from jasminewheel.errors import (
    AnswerTooLongError,
    CallError,
    ConnectionLostError,
    UnavailableError,
)
from jasminewheel.models.verdict import Verdict


def test_limits_are_checked():
    """A limit of zero, which would reject every answer, is refused."""
    with pytest.raises(ValueError, match='head_bytes'):
        AnswerLimits(head_bytes=0)


def test_small_answers_reserve_no_shared_memory():
    """Large answers that use up the pool do not block small ones."""
    pool = AnswerMemoryPool(0)
    AnswerMemory(pool).resize(SMALL_ANSWER_BYTES)
    with pytest.raises(ConnectionLostError):
        AnswerMemory(pool).resize(SMALL_ANSWER_BYTES + 1)


def test_memory_is_released():
    """The memory of an answer returns to the pool when it is closed."""
    pool = AnswerMemoryPool()
    memory = AnswerMemory(pool)
    memory.resize(ANSWER_MEMORY_BYTES)
    assert pool.free_bytes < MEMORY_POOL_BYTES
    with pytest.raises(AnswerTooLongError):
        memory.resize(ANSWER_MEMORY_BYTES + 1)
    memory.close()
    assert pool.free_bytes == MEMORY_POOL_BYTES


def test_events_do_not_depend_on_chunk_boundaries():
    """The separator of two events may arrive in two chunks."""
    sent = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid'
    splitter = EventSplitter()
    found = [one for byte in sent for one in splitter.feed(bytes((byte,)))]
    assert [one.payload for one in found] == [b'a', b'b']
    assert splitter.buffer == b'id'
    splitter.check_limits()


def test_number_of_events_is_limited():
    """Events beyond the maximum are not returned but reported."""
    splitter = EventSplitter(max_events=2)
    assert len(splitter.feed(b'data: a\n\n' * 2)) == 2
    splitter.check_limits()
    assert not splitter.feed(b'data: a\n\n')
    with pytest.raises(AnswerTooLongError):
        splitter.check_limits()


def test_size_of_an_event_is_limited():
    """An event without an end is reported when it exceeds its limit."""
    splitter = EventSplitter()
    splitter.feed(b'a' * EVENT_BYTES)
    splitter.check_limits()
    splitter.feed(b'a')
    with pytest.raises(AnswerTooLongError):
        splitter.check_limits()


@define(eq=False)
class FailingAnswer:
    """Answer with a status, then fail while the body is read."""

    status: int
    refused: bool
    headers: list = field(factory=list)
    load: None = None
    leaving: bool = False
    limit_rate: float | None = None

    async def whole_body(self) -> bytes:
        """Fail as an endless body does."""
        raise AnswerTooLongError('more than an answer')

    drop_rest = whole_body


@define(eq=False)
class FixedAnswerPort:
    """Return the same answer to each attempt."""

    answer: FailingAnswer

    @asynccontextmanager
    async def attempt(self, _attempt):
        """Yield the answer."""
        yield self.answer


def _run(status: int, kind: CallKind, *, refused: bool):
    """Send a call; return its record, error and if the breaker allows more."""
    directory = RunnerDirectory()
    directory.put(Runner('r1', 'desk', '127.0.0.1:1', 'a', False, 6))
    route = Route('r', 'h', '/', kind, (TargetShare('desk', 1),), 4, 1, 2)
    call = Call('q1', 'h', '/', b'GET', b'/', [], b'', 0, math.inf)
    record = CallRecord(call, route, 'desk', 1e9)
    sender = RetryingSender(
        RunnerChoice(directory, lambda _runner: 0),
        FixedAnswerPort(FailingAnswer(status, refused)),
    )
    requirements = CallRequirements(
        'desk', kind, excluded_runners=record.excluded_runners
    )

    errors: list[CallError] = []

    async def run() -> bool:
        try:
            await sender.run(
                record, b'', requirements, lambda answer: answer.whole_body()
            )
        except CallError as error:
            errors.append(error)
        view = directory.views['r1']
        return view.breaker.allows(trio.current_time())

    allowed = trio.run(run)
    return record, errors[0], allowed


@pytest.mark.parametrize('kind', [CallKind.safe, CallKind.unsafe])
def test_breaker_opens_after_one_endless_body(kind):
    """The next call is not sent to the same runner."""
    record, error, allowed = _run(200, kind, refused=False)
    assert error.verdict is Verdict.may_have_run
    assert record.attempts == 1
    assert not allowed


@pytest.mark.parametrize('kind', [CallKind.safe, CallKind.unsafe])
def test_endless_refusal_counts_once_and_as_not_run(kind):
    """The call counts as not run, though the runner's breaker opens."""
    record, error, allowed = _run(503, kind, refused=True)
    assert isinstance(error, UnavailableError)
    assert error.verdict is Verdict.not_run
    assert (record.attempts, record.refusals) == (0, 1)
    assert not allowed
