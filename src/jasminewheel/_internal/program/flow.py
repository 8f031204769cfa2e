"""Run the calls of hosted programs, one at a time per program."""

import logging
from collections.abc import Callable
from contextlib import AsyncExitStack

import trio
from attrs import define

from jasminewheel._internal.configuration.snapshot import Snapshot
from jasminewheel._internal.events import program as events
from jasminewheel._internal.observability.spans import open_span
from jasminewheel._internal.program.answer import Answer
from jasminewheel._internal.program.call import Call, failed_outcome
from jasminewheel._internal.program.hosted import HostedProgram, QueuedCall
from jasminewheel._internal.program.job import CallJob, Clock
from jasminewheel._internal.program.outcomes import (
    as_may_have_run,
    record_outcome,
    unexpected_error,
)
from jasminewheel._internal.program.plan import make_plan
from jasminewheel._internal.program.ports import BudgetClient
from jasminewheel._internal.program.spending import CallSpending, spent_tokens
from jasminewheel._internal.program.target_calls import TargetCalls
from jasminewheel._internal.wire.gen.program.ttypes import CallStarted
from jasminewheel.errors import CallError, DeadlineError, MovedError
from jasminewheel.models.call import CallOutcome, CallRequest

_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class CallFlow:
    """Run each queued call in order and record its outcome."""

    snapshot: Callable[[], Snapshot]
    budget_client: BudgetClient
    models: TargetCalls
    services: TargetCalls
    clock: Clock

    def begin(
        self,
        hosted: HostedProgram,
        request: CallRequest,
        nursery: trio.Nursery,
        traceparent: str,
    ) -> Answer:
        """Queue a new call and return its pending answer."""
        answer = Answer(request.digest)
        queued_call = hosted.enqueue(request.request_id, answer)
        nursery.start_soon(self.run, queued_call, request, None, traceparent)
        return answer

    def resume_call(
        self,
        hosted: HostedProgram,
        call: Call,
        nursery: trio.Nursery,
    ) -> Answer:
        """Continue a repeatable call that an earlier owner started."""
        start = call.start
        answer = Answer(call.digest, start.generation)
        answer.add(start.text)
        request = CallRequest(
            request_id=call.request_id,
            digest=call.digest,
            target=start.target,
            operation=start.operation,
            content=start.content,
            deadline_at=start.deadline_at,
        )
        queued_call = hosted.enqueue(request.request_id, answer)
        nursery.start_soon(self.run, queued_call, request, start, '')
        return answer

    async def run(
        self,
        queued_call: QueuedCall,
        request: CallRequest,
        start: CallStarted | None,
        traceparent: str,
    ) -> None:
        """Run a call to its end; its readers receive the outcome or error."""
        async with queued_call:
            with open_span('call', traceparent, request=request.request_id):
                try:
                    outcome = await self.run_queued(queued_call, request, start)
                except CallError as error:
                    queued_call.answer.fail(error)
                except Exception:
                    events.CALL_FAULT.log(_LOGGER, request=request.request_id)
                    _LOGGER.exception('call %s', request.request_id)
                    queued_call.answer.fail(unexpected_error())
                else:
                    queued_call.answer.finish(outcome)
            queued_call.remove_answer()

    async def run_queued(
        self,
        queued_call: QueuedCall,
        request: CallRequest,
        start: CallStarted | None,
    ) -> CallOutcome:
        """Wait for the earlier calls, then return the recorded outcome."""
        await self.wait_in_queue(queued_call, request)
        if start is None:
            job = self.make_job(queued_call, request)
            return await self.run_reserved(job)
        try:
            job = self.make_job(queued_call, request)
        except CallError as error:
            # The target or caller was removed, but the call is in the log.
            outcome = failed_outcome(as_may_have_run(error), start.generation)
            await record_outcome(
                queued_call.hosted, request, outcome, self.clock()
            )
            return outcome
        return await self.run_on(job, start)

    async def run_on(self, job: CallJob, start: CallStarted) -> CallOutcome:
        """Resume the running attempt, or start another."""
        job.attempt = start.attempt
        job.answer.generation = start.generation
        job.has_started = True
        job.may_have_run = True
        with job.deadline_scope():
            outcome = await self.calls_of(job).resume_attempt(job, start)
        if outcome:
            # The tokens were reserved by the earlier owner.
            await record_outcome(job.hosted, job.request, outcome, self.clock())
            return outcome
        job.attempt += 1
        job.answer.restart(job.answer.generation + 1)
        return await self.run_reserved(job)

    async def run_reserved(self, job: CallJob) -> CallOutcome:
        """Run a call within the caller's budget and record its outcome."""
        async with AsyncExitStack() as stack:
            job.spending = CallSpending(self.budget_client, job, stack)
            await job.spending.reserve()
            try:
                outcome = await self.outcome_of(job)
                await record_outcome(
                    job.hosted, job.request, outcome, self.clock()
                )
            except MovedError:
                reserved = job.reserved_tokens() if job.has_started else 0
                job.spending.settle(reserved)
                raise
            job.spending.settle(spent_tokens(job, outcome))
        return outcome

    async def wait_in_queue(
        self, queued_call: QueuedCall, request: CallRequest
    ) -> None:
        """Wait for earlier calls; raise DeadlineError at the deadline."""
        deadline_at = queued_call.hosted.program.deadline_of(request)
        seconds_left = (
            max(0, deadline_at - self.clock()) if deadline_at else float('inf')
        )
        try:
            with trio.fail_after(seconds_left):
                await queued_call.wait()
        except trio.TooSlowError as late:
            raise DeadlineError('the deadline passed in the queue') from late

    def make_job(
        self, queued_call: QueuedCall, request: CallRequest
    ) -> CallJob:
        """Return the call with its plan; raise an error if it is refused."""
        hosted = queued_call.hosted
        opened = hosted.program.opened
        plan = make_plan(self.snapshot(), opened.caller, request)
        earlier = hosted.program.calls.get(request.request_id)
        if earlier is None or earlier.outcome:
            hosted.program.check_may_call(
                request, plan.caller.max_turns, self.clock()
            )
        job = CallJob(hosted, request, plan, queued_call.answer, self.clock)
        if earlier:
            job.attempt = earlier.start.attempt + 1
            job.answer.generation = earlier.start.generation + 1
        return job

    async def outcome_of(self, job: CallJob) -> CallOutcome:
        """Return the outcome; raise if nothing started or the slot moved."""
        try:
            with job.deadline_scope():
                return await self.calls_of(job).run(job)
        except MovedError:
            raise
        except CallError as error:
            if not job.has_started:
                raise
            if isinstance(error, DeadlineError):
                await self.calls_of(job).abandon(job)
            if job.may_have_run:
                error = as_may_have_run(error)
            return failed_outcome(error, job.answer.generation)

    def calls_of(self, job: CallJob) -> TargetCalls:
        """Return the implementation for the job's kind of target."""
        return self.models if job.plan.model_input else self.services
