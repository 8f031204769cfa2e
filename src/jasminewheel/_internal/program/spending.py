"""Reserve tokens for each attempt of a call."""

from contextlib import AsyncExitStack

from attrs import define, field

from jasminewheel._internal.program.job import CallJob
from jasminewheel._internal.program.ports import BudgetClient, Reservation
from jasminewheel._internal.program.unlimited_budget import UnlimitedBudget
from jasminewheel.errors import CallError
from jasminewheel.models.call import CallOutcome
from jasminewheel.models.verdict import Verdict


@define(eq=False)
class CallSpending:
    """Reserve tokens for one call; the stack ends the reservations."""

    budget_client: BudgetClient
    job: CallJob
    stack: AsyncExitStack
    current_reservation: Reservation = field(init=False)

    async def reserve(self) -> None:
        """Reserve the maximum that one attempt may spend."""
        # A service spends no tokens.
        budget_client = (
            self.budget_client
            if self.job.plan.model_input
            else UnlimitedBudget()
        )
        self.current_reservation = await self.stack.enter_async_context(
            budget_client.reserve(
                self.job.plan.caller.name,
                self.job.reserved_tokens(),
                self.job.clock(),
            ),
        )

    async def retry(self, error: CallError) -> None:
        """Charge an attempt that may have run; reserve for the next one."""
        if error.verdict is not Verdict.not_run:
            self.current_reservation.settle(self.job.reserved_tokens())
            await self.reserve()

    def settle(self, tokens: int) -> None:
        """Charge the tokens that the last attempt used."""
        self.current_reservation.settle(tokens)


def spent_tokens(job: CallJob, outcome: CallOutcome) -> int:
    """Return the tokens to charge; all reserved tokens if unknown."""
    if outcome.succeeded:
        return outcome.prompt_tokens + outcome.completion_tokens
    if outcome.verdict is Verdict.not_run:
        return 0
    return job.reserved_tokens()
