"""Run service calls at the owner of their program."""

import json

import trio
from attrs import define

from jasminewheel._internal.program.job import (
    CallJob,
    run_attempts,
    started_attempt,
)
from jasminewheel._internal.program.ports import (
    Decision,
    Placer,
    TargetClients,
)
from jasminewheel._internal.targets.service import ServiceAnswer
from jasminewheel._internal.wire.gen.program.ttypes import CallStarted
from jasminewheel.errors import TargetFailedError
from jasminewheel.models.call import CallOutcome
from jasminewheel.models.verdict import Verdict

_OK = 200


@define(eq=False)
class ServiceCalls:
    """Send calls to services; retry only where that is safe."""

    placer: Placer
    targets: TargetClients

    async def run(self, job: CallJob) -> CallOutcome:
        """Return the outcome; raise the error of the last runner tried."""
        return await run_attempts(job, self.attempt)

    async def attempt(self, job: CallJob) -> CallOutcome:
        """Place the call, record its start, then send it."""
        async with started_attempt(job, self.placer) as decision:
            answer = await self.send(job, decision)
            decision.finished(None, job.clock())
        return make_outcome(answer)

    async def abandon(self, job: CallJob) -> None:
        """Do nothing, since a service cannot cancel a call."""

    async def resume_attempt(
        self, job: CallJob, start: CallStarted
    ) -> CallOutcome | None:
        """Return None, since a service stores no answers to resume."""

    async def send(self, job: CallJob, decision: Decision) -> ServiceAnswer:
        """Return the runner's answer; raise TargetFailedError on timeout."""
        service = self.targets.service(decision.url)
        seconds = job.plan.timeout_seconds
        with trio.move_on_after(seconds):
            return await service.call(
                job.request.operation,
                json.loads(job.request.content),
                job.target_request_id,
                seconds,
            )
        raise TargetFailedError(
            f'{decision.runner} did not answer in {seconds} s',
            verdict=Verdict.may_have_run,
        )


def make_outcome(answer: ServiceAnswer) -> CallOutcome:
    """Return the outcome with a service's answer of any status."""
    body = {'status': answer.status, 'output': answer.body}
    return CallOutcome(Verdict.ran, _OK, json.dumps(body).encode())
