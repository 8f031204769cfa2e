"""Represent a placed call and report its outcome."""

from typing import Protocol

from attrs import define, field

from jasminewheel._internal.scheduling.request import PlacementRequest
from jasminewheel._internal.scheduling.runners import RunnerState
from jasminewheel._internal.scheduling.view import Choice, Option
from jasminewheel._internal.targets.engine import EngineUsage


class OutcomeObserver(Protocol):
    """Receive the progress and outcomes of placed calls."""

    def first_token(self, decision: 'PlacementDecision', now: float) -> None:
        """Record the arrival of the first token."""

    def finished(
        self,
        decision: 'PlacementDecision',
        usage: EngineUsage | None,
        now: float,
    ) -> None:
        """Record a complete answer."""

    def failed(self, decision: 'PlacementDecision', now: float) -> None:
        """Record a failure of the runner."""

    def abandoned(self, decision: 'PlacementDecision', now: float) -> None:
        """Record an end that does not count for or against the runner."""


@define(eq=False)
class PlacementDecision:
    """Represent the placement of a call on a runner, with the reason."""

    request: PlacementRequest
    option: Option
    choice: Choice
    placed_at: float
    observer: OutcomeObserver = field(repr=False)
    first_token_at: float | None = None
    ended: bool = False
    runner_state: RunnerState = field(factory=RunnerState, repr=False)

    @property
    def runner(self) -> str:
        """Return the runner's name."""
        return self.option.runner.name

    @property
    def region(self) -> str:
        """Return the runner's region."""
        return self.option.runner.region

    @property
    def url(self) -> str:
        """Return the runner's address."""
        return self.option.runner.url

    @property
    def expected_cached_tokens(self) -> int:
        """Return the expected prompt tokens in the runner's prefix cache."""
        return int(self.option.situation.cached_prefix.expected_tokens)

    @property
    def reason(self) -> str:
        """Return why this runner was chosen."""
        return self.choice.reason

    def first_token(self, now: float) -> None:
        """Report the first token."""
        if self.first_token_at is None and not self.ended:
            self.first_token_at = now
            self.observer.first_token(self, now)

    def finished(self, usage: EngineUsage | None, now: float) -> None:
        """Report the complete answer; `usage` is None for services."""
        if self._mark_ended():
            self.observer.finished(self, usage, now)

    def failed(self, now: float) -> None:
        """Report that the runner failed the call."""
        if self._mark_ended():
            self.observer.failed(self, now)

    def abandoned(self, now: float) -> None:
        """Report an end that the runner did not cause."""
        if self._mark_ended():
            self.observer.abandoned(self, now)

    def _mark_ended(self) -> bool:
        first = not self.ended
        self.ended = True
        return first
