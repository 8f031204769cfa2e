"""Choose the runner of a call from what is believed of each.

Answers load that is uneven over zones and runners, and runners that turn
slow or fail: the runner whose answer should come first is taken.
"""

from collections.abc import Collection
from random import Random

from attrs import define, field, frozen

from jasminewheel._internal.gateway.routes import CallKind
from jasminewheel._internal.gateway.runners import (
    RunnerDirectory,
    RunnerView,
)
from jasminewheel._internal.peer.distance import Distance

# Time a call adds to those that share an engine's steps with it.
SHARING_SECONDS = 0.004
# Reading one token of a prompt that is not cached.
PREFILL_SECONDS = 0.000035
# Runners whose costs differ by less are taken at random.
NEAR_SECONDS = 0.0005


@frozen
class Need:
    """Hold what a call asks of its runner."""

    target: str
    kind: CallKind
    prompt_tokens: int = 0
    # The runner that answered the turn before.
    previous_runner: str = ''
    # Runners that refused or failed this call.
    avoided: Collection[str] = ()


@define(eq=False)
class RunnerChoice:
    """Take the runner of the least expected time."""

    directory: RunnerDirectory
    distance: Distance
    random: Random = field(factory=Random)

    def choose(self, need: Need, now: float) -> RunnerView | None:
        """Return the best usable runner, or None if there is none."""
        usable = [
            view
            for view in self.directory.usable(need.target, now)
            if view.runner.runner_id not in need.avoided
        ]
        trusted = [view for view in usable if view.breaker.allows(now)]
        return min(
            trusted or usable,
            key=lambda view: self.cost_seconds(view, need, now),
            default=None,
        )

    def cost_seconds(self, view: RunnerView, need: Need, now: float) -> float:
        """Return the expected time of the call at the runner."""
        cost = self.distance(view.runner.zone)
        cost += self.random.random() * NEAR_SECONDS
        busy = view.load.estimate(now)
        slots = max(1, view.runner.slots)
        service = self.directory.rates_of(need.target).service_seconds
        cost += max(0, busy + 1 - slots) * service / slots
        if need.kind is not CallKind.streaming:
            return cost + busy * NEAR_SECONDS
        missing = need.prompt_tokens
        if view.runner.runner_id == need.previous_runner:
            missing = 0
        return cost + missing * PREFILL_SECONDS + busy * SHARING_SECONDS
