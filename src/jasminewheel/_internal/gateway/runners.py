"""Know the runners of each target, and what this entry saw of them."""

import logging
from collections.abc import Iterator

from attrs import define, field, frozen

from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.scheduling.breaker import CircuitBreaker
from jasminewheel._internal.scheduling.load import RunnerLoad
from jasminewheel._internal.scheduling.rates import TargetRates, new_rates
from jasminewheel._internal.store.contact import StoreContact, rounded_seconds

_LOGGER = logging.getLogger(__name__)


@frozen
class Runner:
    """Hold one incarnation of a runner as it lists itself."""

    runner_id: str
    target: str
    address: str
    zone: str
    draining: bool
    slots: int
    started_ms: int = 0


@define(eq=False)
class RunnerView:
    """Hold a runner with what this entry believes of it."""

    runner: Runner
    load: RunnerLoad = field(factory=lambda: RunnerLoad(lag_seconds=0))
    breaker: CircuitBreaker = field(factory=CircuitBreaker)
    # Its entry is missing and may have lapsed, until the list is settled.
    unlisted: bool = False


@define(eq=False)
class RunnerDirectory:
    """Hold all runners that are listed."""

    views: dict[str, RunnerView] = field(factory=dict)
    by_target: dict[str, dict[str, RunnerView]] = field(factory=dict)
    rates: dict[str, TargetRates] = field(factory=dict)
    # What the list of runners is as of.
    contact: StoreContact = field(factory=StoreContact)

    def put(self, runner: Runner) -> None:
        """Add or update one runner."""
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
        self.forget(runner.runner_id)
        view = RunnerView(runner)
        self.views[runner.runner_id] = view
        self.by_target.setdefault(runner.target, {})[runner.runner_id] = view
        events.RUNNER_LISTED.log(
            _LOGGER,
            runner=runner.runner_id,
            target=runner.target,
            draining=runner.draining,
            revision=self.contact.revision,
        )

    def remove(self, runner_id: str, now: float) -> None:
        """Use a runner no more, unless its entry may have lapsed."""
        view = self.views.get(runner_id)
        if view is None:
            return
        if self.contact.is_settled(now):
            self.drop(runner_id)
        elif not view.unlisted:
            view.unlisted = True
            events.RUNNER_KEPT.log(
                _LOGGER,
                runner=runner_id,
                seconds=rounded_seconds(self.contact.settled_at - now),
                store_away=self.contact.lost_at is not None,
                revision=self.contact.revision,
            )

    def drop_unlisted(self, now: float) -> None:
        """Drop the runners that are missing in a settled list."""
        if not self.contact.is_settled(now):
            return
        missing = [one for one, view in self.views.items() if view.unlisted]
        for runner_id in missing:
            self.drop(runner_id)

    def drop(self, runner_id: str) -> None:
        """Use a runner no more."""
        if runner_id not in self.views:
            return
        self.forget(runner_id)
        events.RUNNER_GONE.log(
            _LOGGER, runner=runner_id, revision=self.contact.revision
        )

    def forget(self, runner_id: str) -> None:
        """Drop what is known of a runner."""
        view = self.views.pop(runner_id, None)
        if view:
            self.by_target[view.runner.target].pop(runner_id, None)

    def usable(self, target: str, now: float) -> Iterator[RunnerView]:
        """Yield the target's runners that may be sent new calls."""
        for view in self.by_target.get(target, {}).values():
            if self.may_use(view, now):
                yield view

    def may_use(self, view: RunnerView, now: float) -> bool:
        """Tell whether a runner may be sent new calls."""
        gone = view.unlisted and self.contact.is_settled(now)
        return not (gone or view.runner.draining)

    def still_usable(self, view: RunnerView, now: float) -> bool:
        """Tell whether a runner chosen before may still be sent its call."""
        listed = self.views.get(view.runner.runner_id) is view
        return listed and self.may_use(view, now)

    def rates_of(self, target: str) -> TargetRates:
        """Return the learned rates of a target."""
        return self.rates.setdefault(target, new_rates())
