"""Answer calls whose answer is forwarded whole, not as a stream."""

from functools import partial

from attrs import frozen

from jasminewheel._internal.gateway.attempts import CallRecord, RetryingSender
from jasminewheel._internal.gateway.choice import CallRequirements
from jasminewheel._internal.gateway.ports import RunnerAnswer
from jasminewheel._internal.web.answer_writer import AnswerWriter
from jasminewheel._internal.web.headers import end_to_end


@frozen
class PlainFlow:
    """Send calls to runners and forward each answer once it is complete."""

    sender: RetryingSender

    async def run(self, record: CallRecord, answer: AnswerWriter) -> None:
        """Answer one call."""
        requirements = CallRequirements(
            record.target,
            record.route.kind,
            excluded_runners=record.excluded_runners,
        )
        read = partial(relay_answer, answer)
        await self.sender.run(record, record.call.body, requirements, read)


async def relay_answer(
    answer: AnswerWriter, runner_answer: RunnerAnswer
) -> None:
    """Read a runner's whole answer, then send it to the caller."""
    whole = await runner_answer.whole_body()
    await answer.send_whole(
        runner_answer.status, end_to_end(runner_answer.headers), whole
    )
