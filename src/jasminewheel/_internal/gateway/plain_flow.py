"""Answer calls of targets that answer whole."""

from functools import partial

from attrs import frozen

from jasminewheel._internal.gateway.attempts import Attempts, CallRecord
from jasminewheel._internal.gateway.choice import CallRequirements
from jasminewheel._internal.gateway.ports import RunnerAnswer
from jasminewheel._internal.web.answer_writer import AnswerWriter
from jasminewheel._internal.web.headers import end_to_end


@frozen
class PlainFlow:
    """Send a call to a runner and hand back its whole answer."""

    attempts: Attempts

    async def run(self, record: CallRecord, answer: AnswerWriter) -> None:
        """Answer one call."""
        requirements = CallRequirements(
            record.target, record.route.kind, avoided=record.avoided
        )
        read = partial(hand_back, answer)
        await self.attempts.run(record, record.call.body, requirements, read)


async def hand_back(answer: AnswerWriter, found: RunnerAnswer) -> None:
    """Read a whole answer, then send it to the caller."""
    whole = await found.whole_body()
    await answer.send_whole(found.status, end_to_end(found.headers), whole)
