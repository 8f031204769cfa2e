"""Represent one call while its owner runs it."""

from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import (
    AbstractContextManager,
    asynccontextmanager,
    contextmanager,
)

import trio
from attrs import define, field
from opentelemetry.trace import Span

from jasminewheel._internal.observability.spans import open_span
from jasminewheel._internal.program.answer import Answer
from jasminewheel._internal.program.hosted import HostedProgram
from jasminewheel._internal.program.plan import CallPlan
from jasminewheel._internal.program.ports import Decision, Placer, Spending
from jasminewheel._internal.scheduling.request import PlacementRequest
from jasminewheel._internal.targets.prefix import PrefixBlock, chain
from jasminewheel._internal.wire.gen.program.ttypes import CallStarted
from jasminewheel.errors import DeadlineError, TargetFailedError
from jasminewheel.models.call import CallOutcome, CallRequest
from jasminewheel.models.verdict import Verdict

Clock = Callable[[], float]
MAX_ATTEMPTS = 4


@define(eq=False)
class CallJob:
    """Represent the state of a call from its admission to its outcome."""

    hosted: HostedProgram
    request: CallRequest
    plan: CallPlan
    answer: Answer
    clock: Clock
    attempt: int = 0
    has_started: bool = False
    may_have_run: bool = False
    runner_url: str = ''
    known_blocks: list[PrefixBlock] | None = None
    spending: Spending = field(init=False)

    @property
    def deadline_at(self) -> float:
        """Return the earlier deadline of request and program; 0 for none."""
        return self.hosted.program.deadline_of(self.request)

    @property
    def target_request_id(self) -> str:
        """Return the identifier under which targets deduplicate the call."""
        program_id = self.hosted.program.program_id
        return ':'.join((program_id, self.request.request_id))

    @property
    def engine_request_id(self) -> str:
        """Return the identifier of this attempt's stream."""
        return f'{self.target_request_id}:{self.attempt}'

    def blocks(self) -> list[PrefixBlock]:
        """Return the cache blocks of the model's whole input."""
        if self.known_blocks is None:
            self.known_blocks = self.make_blocks()
        return self.known_blocks

    def make_blocks(self) -> list[PrefixBlock]:
        """Return the blocks of the history and of the new messages."""
        if self.plan.model_input is None:
            return []
        known = self.hosted.prefix()
        previous = known[-1].block if known else ''
        added = [
            {'role': message.role, 'content': message.content}
            for message in self.plan.model_input.messages
        ]
        return [*known, *chain(added, previous)]

    def reserved_tokens(self) -> int:
        """Return the maximum number of tokens that the call may spend."""
        prompt = sum(block.tokens for block in self.blocks())
        return prompt + self.plan.max_tokens

    def placement(self, now: float) -> PlacementRequest:
        """Return the scheduler's request to place the call."""
        program = self.hosted.program
        return PlacementRequest(
            program_id=program.program_id,
            caller=self.plan.caller.name,
            priority=self.plan.caller.priority,
            target=self.plan.target.name,
            blocks=self.blocks(),
            max_tokens=self.plan.max_tokens,
            deadline=self.deadline_at
            or now + self.plan.caller.deadline_seconds,
            attained_tokens=program.attained_tokens,
            repeatable=self.plan.repeatable,
            request_id=self.request.request_id,
        )

    async def record_start(self, runner: str) -> None:
        """Record that the call is about to be sent to a runner.

        From now on the call may have run, even if this process fails.
        """
        self.has_started = True
        await self.hosted.append(
            CallStarted(
                request_id=self.request.request_id,
                digest=self.request.digest,
                target=self.request.target,
                operation=self.request.operation,
                content=self.request.content,
                repeatable=self.plan.repeatable,
                attempt=self.attempt,
                runner=runner,
                generation=self.answer.generation,
                text=self.answer.text,
                started_at=self.clock(),
                deadline_at=self.request.deadline_at,
                reserved_tokens=self.reserved_tokens(),
            ),
        )

    def count_failure(self, error: TargetFailedError) -> None:
        """Allow one more attempt, or raise the error of the last one."""
        self.attempt += 1
        if error.verdict is not Verdict.not_run:
            self.may_have_run = True
            if not self.plan.repeatable:
                raise error
        if self.attempt % MAX_ATTEMPTS == 0:
            raise error

    @contextmanager
    def deadline_scope(self) -> Iterator[None]:
        """Raise DeadlineError if the deadline passes within the scope."""
        deadline_at = self.deadline_at
        if not deadline_at:
            yield
            return
        try:
            with trio.fail_after(max(0, deadline_at - self.clock())):
                yield
        except trio.TooSlowError as late:
            verdict = Verdict.not_run
            if self.has_started:
                verdict = Verdict.may_have_run
            raise DeadlineError(
                'the deadline passed during the call', verdict=verdict
            ) from late

    def open_dispatch_span(
        self, decision: Decision
    ) -> AbstractContextManager[Span]:
        """Open the span of one attempt at a runner."""
        return open_span(
            'dispatch',
            target=self.plan.target.name,
            runner=decision.runner,
            attempt=self.attempt,
        )

    @contextmanager
    def report_failure(self, decision: Decision) -> Iterator[None]:
        """Report a failure of the runner to the scheduler."""
        try:
            yield
        except TargetFailedError:
            decision.failed(self.clock())
            raise


async def run_attempts(
    job: CallJob, attempt: Callable[[CallJob], Awaitable[CallOutcome]]
) -> CallOutcome:
    """Return the outcome; raise the error of the last runner tried."""
    while True:
        try:
            return await attempt(job)
        except TargetFailedError as error:
            job.count_failure(error)
            await job.spending.retry(error)


@asynccontextmanager
async def started_attempt(
    job: CallJob, placer: Placer
) -> AsyncIterator[Decision]:
    """Place the call and record its start; report a runner failure."""
    now = job.clock()
    async with placer.place(job.placement(now), now) as decision:
        await job.record_start(decision.runner)
        with job.report_failure(decision), job.open_dispatch_span(decision):
            yield decision
