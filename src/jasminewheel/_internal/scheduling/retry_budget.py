"""Limit retries to a share of the calls that succeed."""

from collections import OrderedDict

from attrs import define, field

RETRIES_PER_SUCCESS = 0.2
MAX_AVAILABLE_RETRIES = 20
MAX_FAILED_CALLS = 10_000


@define(eq=False)
class RetryBudget:
    """Limit retries by a token bucket that successful calls refill.

    A call counts as a retry if a runner has failed it before.
    """

    available_retries: float = MAX_AVAILABLE_RETRIES
    failed_calls: OrderedDict[tuple[str, str], frozenset[str]] = field(
        factory=OrderedDict
    )

    def succeeded(self, program_id: str, request_id: str) -> None:
        """Add a fraction of a retry to the budget."""
        self.failed_calls.pop((program_id, request_id), None)
        self.available_retries = min(
            MAX_AVAILABLE_RETRIES, self.available_retries + RETRIES_PER_SUCCESS
        )

    def failed(self, program_id: str, request_id: str, runner: str) -> None:
        """Record the failure; the next placement of the call is a retry."""
        before = self.failed_runners(program_id, request_id)
        self.failed_calls[program_id, request_id] = before | {runner}
        if len(self.failed_calls) > MAX_FAILED_CALLS:
            self.failed_calls.popitem(last=False)

    def failed_runners(
        self, program_id: str, request_id: str
    ) -> frozenset[str]:
        """Return the runners that have failed a call."""
        return self.failed_calls.get((program_id, request_id), frozenset())

    def try_acquire(self, program_id: str, request_id: str) -> bool:
        """Return whether the call may run; a retry consumes budget."""
        if (program_id, request_id) not in self.failed_calls:
            return True
        if self.available_retries < 1:
            return False
        self.available_retries -= 1
        return True
