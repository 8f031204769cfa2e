"""Run model calls at the owner of their program."""

import json
from collections.abc import AsyncIterator
from contextlib import suppress

import trio
from attrs import define

from jasminewheel._internal.program.job import (
    CallJob,
    run_attempts,
    started_attempt,
)
from jasminewheel._internal.program.ports import (
    Decision,
    Engine,
    EngineReply,
    Placer,
    TargetClients,
)
from jasminewheel._internal.targets.engine import (
    EngineRequest,
    EngineToken,
    EngineUsage,
)
from jasminewheel._internal.wire.gen.program.ttypes import CallStarted
from jasminewheel.errors import NotFoundError, TargetFailedError
from jasminewheel.models.call import CallOutcome
from jasminewheel.models.verdict import Verdict

_OK = 200
_CANCEL_TIMEOUT_SECONDS = 2.0


@define(eq=False)
class ModelCalls:
    """Stream answers of models, continued at another runner on failure."""

    placer: Placer
    targets: TargetClients

    async def run(self, job: CallJob) -> CallOutcome:
        """Return the outcome; raise the error of the last runner tried."""
        return await run_attempts(job, self.attempt)

    async def attempt(self, job: CallJob) -> CallOutcome:
        """Place the call, record its start, then stream the missing text."""
        async with started_attempt(job, self.placer) as decision:
            usage = await self.generate(job, decision)
            decision.finished(usage, job.clock())
        return make_outcome(job, usage)

    async def generate(self, job: CallJob, decision: Decision) -> EngineUsage:
        """Stream the rest of the text from the chosen runner."""
        job.runner_url = decision.url
        engine = self.targets.engine(decision.url)
        async with engine.generate(engine_request(job)) as replies:
            return await collect(job, replies, decision)

    async def abandon(self, job: CallJob) -> None:
        """Cancel the stream of a call whose answer is no longer needed."""
        if not job.runner_url:
            return
        with trio.move_on_after(_CANCEL_TIMEOUT_SECONDS):
            engine = self.targets.engine(job.runner_url)
            with suppress(TargetFailedError, NotFoundError):
                await engine.cancel(job.engine_request_id)

    async def resume_attempt(
        self, job: CallJob, start: CallStarted
    ) -> CallOutcome | None:
        """Resume an earlier owner's stream; return None if that fails."""
        url = job.plan.runner_url(start.runner)
        if not url:
            return None
        job.runner_url = url
        engine = self.targets.engine(url)
        try:
            usage = await self.resume(job, engine)
        except (TargetFailedError, NotFoundError):
            return None
        return make_outcome(job, usage)

    async def resume(self, job: CallJob, engine: Engine) -> EngineUsage:
        """Read this attempt's stream from the end of the known text."""
        identifier = job.engine_request_id
        async with engine.resume(identifier, job.answer.length) as replies:
            return await collect(job, replies)


def engine_request(job: CallJob) -> EngineRequest:
    """Return the request to the engine."""
    model_input = job.plan.model_input
    history = [
        {'role': message.role, 'content': message.content}
        for message in (*job.hosted.program.messages, *model_input.messages)
    ]
    return EngineRequest(
        request_id=job.engine_request_id,
        model=job.plan.target.model,
        adapter=model_input.adapter,
        messages=history,
        max_tokens=model_input.max_tokens,
        priority=job.plan.caller.priority,
        continue_text=job.answer.text,
    )


async def collect(
    job: CallJob,
    replies: AsyncIterator[EngineReply],
    decision: Decision | None = None,
) -> EngineUsage:
    """Add the tokens to the answer; return the usage at their end."""
    async for reply in replies:
        if isinstance(reply, EngineUsage):
            return reply
        if decision:
            decision.first_token(job.clock())
        take_token(job, reply)
    raise TargetFailedError(
        'the engine ended its stream early',
        verdict=Verdict.may_have_run,
    )


def take_token(job: CallJob, token: EngineToken) -> None:
    """Add the new text of a token; raise TargetFailedError at a gap."""
    known = job.answer.length - token.offset
    if known < 0:
        raise TargetFailedError(
            f'the engine left out text before offset {token.offset}',
            verdict=Verdict.may_have_run,
        )
    job.answer.add(token.text[known:])


def make_outcome(job: CallJob, usage: EngineUsage) -> CallOutcome:
    """Return the outcome of a complete answer."""
    text = job.answer.text
    body = {
        'text': text,
        'finish': usage.finish,
        'usage': {
            'prompt_tokens': usage.prompt_tokens,
            'cached_tokens': usage.cached_tokens,
            'completion_tokens': usage.completion_tokens,
        },
    }
    return CallOutcome(
        verdict=Verdict.ran,
        status=_OK,
        body=json.dumps(body).encode(),
        text=text,
        prompt_tokens=usage.prompt_tokens,
        cached_tokens=usage.cached_tokens,
        completion_tokens=usage.completion_tokens,
        generation=job.answer.generation,
    )
