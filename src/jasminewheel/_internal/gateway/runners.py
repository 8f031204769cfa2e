"""Track the runners of each target, and this entry's view of them."""

import logging
from collections.abc import Iterator

from attrs import define, field, frozen

from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.scheduling.breaker import CircuitBreaker
from jasminewheel._internal.scheduling.limit import RunnerLimit
from jasminewheel._internal.scheduling.load import RunnerLoad
from jasminewheel._internal.scheduling.pace import RunnerPace
from jasminewheel._internal.scheduling.rates import TargetRates, new_rates
from jasminewheel._internal.store.contact import StoreContact, rounded_seconds

# How many runners are remembered that said that they leave.
MAX_LEFT = 4096
# The time until a prompt is read tells little of a runner, as it depends on
# the other calls there.
PACE_WEIGHT = 0.1
PACE_HALF_LIFE_SECONDS = 30.0
_LOGGER = logging.getLogger(__name__)


@frozen
class Runner:
    """Represent one incarnation of a runner as it registered itself."""

    runner_id: str
    target: str
    address: str
    zone: str
    draining: bool
    slots: int
    started_ms: int = 0


def new_reading_pace() -> RunnerPace:
    """Return the pace of a runner that nothing is known of."""
    return RunnerPace(
        newest_weight=PACE_WEIGHT, half_life_seconds=PACE_HALF_LIFE_SECONDS
    )


@define(eq=False)
class RunnerView:
    """Track the load and health of a runner as estimated by this entry."""

    runner: Runner
    load: RunnerLoad = field(factory=lambda: RunnerLoad(lag_seconds=0))
    breaker: CircuitBreaker = field(factory=CircuitBreaker)
    pace: RunnerPace = field(factory=RunnerPace)
    # The same for the time until a prompt is read.
    reading_pace: RunnerPace = field(factory=new_reading_pace)
    # Tokens of the prompts of this entry that the runner has still to read.
    reading: dict[int, int] = field(factory=dict)
    # Set while the runner's entry is missing from the store, but may only have
    # lapsed during an outage of the store; the list is not settled yet.
    unlisted: bool = False
    # Whether the runner said in an answer that it leaves.
    leaving: bool = False
    # What the runner takes from all entries together, if it names that.
    limit: RunnerLimit | None = None


@define(eq=False)
class RunnerDirectory:
    """Track the listed runners of all targets."""

    views: dict[str, RunnerView] = field(factory=dict)
    by_target: dict[str, dict[str, RunnerView]] = field(factory=dict)
    rates: dict[str, TargetRates] = field(factory=dict)
    route_rates: dict[str, TargetRates] = field(factory=dict)
    # How current the list of runners is.
    contact: StoreContact = field(factory=StoreContact)
    # The start of each runner that said that it leaves, the latest one last.
    left_ms: dict[str, int] = field(factory=dict)

    def put(self, runner: Runner) -> None:
        """Add or update one runner; a new incarnation replaces the old one."""
        view = self.views.get(runner.runner_id)
        if view and view.runner.started_ms == runner.started_ms:
            view.unlisted = False
            if view.runner.draining != runner.draining:
                events.RUNNER_DRAINING.log(
                    _LOGGER,
                    runner=runner.runner_id,
                    draining=runner.draining,
                    revision=self.contact.revision,
                )
            if view.runner.target == runner.target:
                view.runner = runner
                return
        self.discard(runner.runner_id)
        left_ms = self.left_ms.get(runner.runner_id)
        view = RunnerView(runner, leaving=left_ms == runner.started_ms)
        self.views[runner.runner_id] = view
        self.by_target.setdefault(runner.target, {})[runner.runner_id] = view
        events.RUNNER_LISTED.log(
            _LOGGER,
            runner=runner.runner_id,
            target=runner.target,
            draining=runner.draining,
            revision=self.contact.revision,
        )

    def unlist(self, runner_id: str, now: float) -> None:
        """Remove a runner whose entry is missing from the store.

        While its entry may only have lapsed, the runner is marked as unlisted
        and stays in use.
        """
        view = self.views.get(runner_id)
        if view is None:
            return
        if self.contact.is_settled(now):
            self.remove(runner_id)
        elif not view.unlisted:
            view.unlisted = True
            events.RUNNER_RETAINED.log(
                _LOGGER,
                runner=runner_id,
                seconds=rounded_seconds(self.contact.settled_at - now),
                store_away=self.contact.lost_at is not None,
                revision=self.contact.revision,
            )

    def remove_unlisted(self, now: float) -> None:
        """Remove the unlisted runners, once the list is settled."""
        if not self.contact.is_settled(now):
            return
        missing = [one for one, view in self.views.items() if view.unlisted]
        for runner_id in missing:
            self.remove(runner_id)

    def remove(self, runner_id: str) -> None:
        """Remove a runner, and log its removal."""
        if runner_id not in self.views:
            return
        self.discard(runner_id)
        events.RUNNER_REMOVED.log(
            _LOGGER, runner=runner_id, revision=self.contact.revision
        )

    def discard(self, runner_id: str) -> None:
        """Delete the state of a runner without logging."""
        view = self.views.pop(runner_id, None)
        if view:
            self.by_target[view.runner.target].pop(runner_id, None)

    def record_leaving(self, view: RunnerView) -> None:
        """Take a runner out of use that says that it leaves.

        It stays so if the same incarnation is listed again as ready.
        """
        if view.leaving:
            return
        view.leaving = True
        runner = view.runner
        self.left_ms.pop(runner.runner_id, None)
        self.left_ms[runner.runner_id] = runner.started_ms
        if len(self.left_ms) > MAX_LEFT:
            self.left_ms.pop(next(iter(self.left_ms)))
        events.RUNNER_LEAVING.log(
            _LOGGER,
            runner=runner.runner_id,
            target=runner.target,
            draining=runner.draining,
            revision=self.contact.revision,
        )

    def usable_runners(self, target: str, now: float) -> Iterator[RunnerView]:
        """Yield the target's runners that accept new calls."""
        for view in self.by_target.get(target, {}).values():
            if self.is_usable(view, now):
                yield view

    def is_usable(self, view: RunnerView, now: float) -> bool:
        """Return whether a runner may be sent new calls."""
        removed = view.unlisted and self.contact.is_settled(now)
        return not (removed or view.leaving or view.runner.draining)

    def is_still_usable(self, view: RunnerView, now: float) -> bool:
        """Return whether a runner chosen earlier may still be sent its call."""
        listed = self.views.get(view.runner.runner_id) is view
        return listed and self.is_usable(view, now)

    def rates_of(self, target: str) -> TargetRates:
        """Return the measured rates of a target."""
        return self.rates.setdefault(target, new_rates())

    def route_rates_of(self, route: str) -> TargetRates:
        """Return the measured rates of a route's calls."""
        return self.route_rates.setdefault(route, new_rates())
