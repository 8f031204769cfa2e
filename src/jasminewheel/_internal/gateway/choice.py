"""Choose the runner of a call by its expected response time.

This balances load that is uneven across zones and runners, and avoids runners
that become slow or fail.
"""

from collections.abc import Collection
from random import Random

from attrs import define, field, frozen

from jasminewheel._internal.gateway.held_prompts import Prompt
from jasminewheel._internal.gateway.limits import RunnerLimits
from jasminewheel._internal.gateway.prompt_choice import PromptChoice
from jasminewheel._internal.gateway.routes import CallKind
from jasminewheel._internal.gateway.runners import (
    RunnerDirectory,
    RunnerView,
)
from jasminewheel._internal.peer.distance import Distance

# Delay that each call in an engine's batch adds to the others.
BATCH_SLOWDOWN_SECONDS = 0.004
# Time to process one prompt token that is not cached.
PREFILL_SECONDS_PER_TOKEN = 0.000035
# Runners whose costs differ by less are chosen at random.
TIE_BREAK_SECONDS = 0.0005


@frozen
class CallRequirements:
    """Represent what the choice of a runner for a call depends on."""

    target: str
    kind: CallKind
    prompt_tokens: int = 0
    # How long such a call takes as a rule; zero if that is not followed.
    usual_seconds: float = 0
    # The runner that answered the previous turn.
    previous_runner: str = ''
    # The prompt, if runners that hold it are to be preferred.
    prompt: Prompt | None = None
    # Runners that refused or failed this call.
    excluded_runners: Collection[str] = ()


@define(eq=False)
class RunnerChoice:
    """Choose the runner with the shortest expected response time."""

    directory: RunnerDirectory
    distance: Distance
    random: Random = field(factory=Random)
    limits: RunnerLimits = field(factory=RunnerLimits)
    prompts: PromptChoice = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin without knowledge of prompts."""
        self.prompts = PromptChoice(self.directory, self.distance, self.random)

    def choose(
        self, requirements: CallRequirements, now: float
    ) -> RunnerView | None:
        """Return the best usable runner, or None if there is none.

        Runners whose breaker is open are chosen only if no other is left, and
        those at their limits never.
        """
        usable = [
            view
            for view in self.candidates(requirements, now)
            if self.limits.ready_at(view) <= now
        ]
        allowed = [view for view in usable if view.breaker.allows(now)]
        usable = allowed or usable
        if requirements.prompt:
            return self.prompts.choose(usable, requirements.prompt, now)
        return min(
            usable,
            key=lambda view: self.cost_seconds(view, requirements, now),
            default=None,
        )

    def candidates(
        self, requirements: CallRequirements, now: float
    ) -> list[RunnerView]:
        """Return the usable runners that have not failed the call."""
        return [
            view
            for view in self.directory.usable_runners(requirements.target, now)
            if view.runner.runner_id not in requirements.excluded_runners
        ]

    def limited_seconds(
        self, requirements: CallRequirements, now: float
    ) -> float:
        """Return after how long a runner at its limit takes the call, or 0."""
        views = self.candidates(requirements, now)
        return self.limits.wait_seconds(views, now)

    def cost_seconds(
        self, view: RunnerView, requirements: CallRequirements, now: float
    ) -> float:
        """Return the expected response time of the call at the runner."""
        cost = self.distance(view.runner.zone)
        cost += self.random.random() * TIE_BREAK_SECONDS
        busy = view.load.estimate(now)
        slots = max(1, view.runner.slots)
        service = self.directory.rates_of(requirements.target).service_seconds
        cost += max(0, busy + 1 - slots) * service / slots
        cost += view.pace.delay_seconds(requirements.usual_seconds, now)
        if requirements.kind is not CallKind.streaming:
            return cost + busy * TIE_BREAK_SECONDS
        missing = requirements.prompt_tokens
        if view.runner.runner_id == requirements.previous_runner:
            missing = 0
        return (
            cost
            + missing * PREFILL_SECONDS_PER_TOKEN
            + busy * BATCH_SLOWDOWN_SECONDS
        )
