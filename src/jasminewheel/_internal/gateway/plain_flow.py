"""Answer calls whose answer is forwarded whole, not as a stream."""

import trio
from attrs import define, field, frozen

from jasminewheel._internal.gateway.attempts import CallRecord, RetryingSender
from jasminewheel._internal.gateway.choice import CallRequirements
from jasminewheel._internal.gateway.hedging import HedgeBudget, HedgingSender
from jasminewheel._internal.gateway.ports import RunnerAnswer
from jasminewheel._internal.web.answer_writer import AnswerWriter
from jasminewheel._internal.web.headers import end_to_end


@frozen
class PlainFlow:
    """Send calls to runners and forward each answer once it is complete."""

    sender: RetryingSender
    hedges: HedgeBudget = field(factory=HedgeBudget)

    async def run(self, record: CallRecord, answer: AnswerWriter) -> None:
        """Answer one call."""
        await self.sender.admit(record)
        directory = self.sender.choice.directory
        rates = directory.route_rates_of(record.route.name)
        requirements = CallRequirements(
            record.target,
            record.route.kind,
            usual_seconds=rates.service_seconds,
            excluded_runners=record.excluded_runners,
        )
        relay = FirstAnswerRelay(answer)
        await HedgingSender(self.sender, self.hedges).run(
            record, record.call.body, requirements, relay.read
        )


@define(eq=False)
class FirstAnswerRelay:
    """Send the first whole answer to the caller; ignore a later one."""

    answer: AnswerWriter
    relaying: bool = False
    relayed: trio.Event = field(factory=trio.Event)

    async def read(self, runner_answer: RunnerAnswer) -> None:
        """Read a runner's whole answer, then send it if it is the first.

        A later one waits until the first is sent, as whoever reads it may end
        the other once this returns.
        """
        whole = await runner_answer.whole_body()
        if self.relaying:
            await self.relayed.wait()
            return
        self.relaying = True
        await self.answer.send_whole(
            runner_answer.status, end_to_end(runner_answer.headers), whole
        )
        self.relayed.set()
