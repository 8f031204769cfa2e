"""Know the runners of each target, and what this entry saw of them."""

import logging
from collections.abc import Iterator

from attrs import define, field, frozen

from jasminewheel._internal.events import gateway as events
from jasminewheel._internal.scheduling.breaker import CircuitBreaker
from jasminewheel._internal.scheduling.load import RunnerLoad
from jasminewheel._internal.scheduling.rates import TargetRates, new_rates
from jasminewheel._internal.store.contact import StoreContact

# After the store was away, runners it no longer lists have this long to list
# themselves again; they are used meanwhile.
RELIST_SECONDS = 2.0
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
    # Until when a runner that is not listed any more is used.
    unlisted_until: float | None = None

    def usable(self, now: float) -> bool:
        """Tell whether the runner may be sent new calls."""
        listed = self.unlisted_until is None or now < self.unlisted_until
        return listed and not self.runner.draining


@define(eq=False)
class RunnerDirectory:
    """Hold all runners that are listed."""

    views: dict[str, RunnerView] = field(factory=dict)
    by_target: dict[str, dict[str, RunnerView]] = field(factory=dict)
    rates: dict[str, TargetRates] = field(factory=dict)
    # What the list of runners is as of.
    contact: StoreContact = field(factory=StoreContact)
    store_away: bool = False
    relist_until: float = 0

    def put(self, runner: Runner) -> None:
        """Add or update one runner."""
        view = self.views.get(runner.runner_id)
        if view and view.runner.started_ms == runner.started_ms:
            view.unlisted_until = None
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
        """Use a runner no more, or not for long if it may list itself."""
        view = self.views.get(runner_id)
        if view is None:
            return
        if not self.store_away and now >= self.relist_until:
            self.forget(runner_id)
            events.RUNNER_GONE.log(
                _LOGGER, runner=runner_id, revision=self.contact.revision
            )
        elif view.unlisted_until is None:
            view.unlisted_until = max(now, self.relist_until) + RELIST_SECONDS
            events.RUNNER_KEPT.log(
                _LOGGER,
                runner=runner_id,
                seconds=round(view.unlisted_until - now, 3),
                store_away=self.store_away,
                revision=self.contact.revision,
            )

    def forget(self, runner_id: str) -> None:
        """Drop what is known of a runner."""
        view = self.views.pop(runner_id, None)
        if view:
            self.by_target[view.runner.target].pop(runner_id, None)

    def note_store(self, *, away: bool, now: float) -> None:
        """Note whether the list can be followed."""
        if self.store_away and not away:
            self.relist_until = now + RELIST_SECONDS
        self.store_away = away

    def usable(self, target: str, now: float) -> Iterator[RunnerView]:
        """Yield the target's runners that may be sent new calls."""
        for view in self.by_target.get(target, {}).values():
            if view.usable(now):
                yield view

    def rates_of(self, target: str) -> TargetRates:
        """Return the learned rates of a target."""
        return self.rates.setdefault(target, new_rates())
