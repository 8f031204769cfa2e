"""Give waiting calls runners as these become free."""

from typing import Protocol

from jasminewheel._internal.configuration.snapshot import Snapshot
from jasminewheel._internal.scheduling.baselines import make_rules
from jasminewheel._internal.scheduling.decision import PlacementDecision
from jasminewheel._internal.scheduling.explanations import (
    ExplanationBook,
    explain_choice,
)
from jasminewheel._internal.scheduling.fleet import FleetBook
from jasminewheel._internal.scheduling.outcomes import OutcomeLedger
from jasminewheel._internal.scheduling.placement import (
    FULL_REASON,
    NONE_REASON,
    CheapestRunner,
)
from jasminewheel._internal.scheduling.queue import QueuedCall
from jasminewheel._internal.scheduling.request import PlacementRequest
from jasminewheel._internal.scheduling.runners import RunnerBook
from jasminewheel._internal.scheduling.view import (
    Choice,
    Option,
    TargetView,
    kept_free_share,
    weights_of,
)
from jasminewheel._internal.scheduling.waited import WaitedBook
from jasminewheel._internal.scheduling.waiting import (
    TargetBook,
    TargetState,
    Waiter,
)

# Calls behind the first may pass it when it waits for a certain runner.
LOOK_AHEAD = 8
# When no runner is free for one call, none is for those behind it.
ENDING_REASONS = frozenset((FULL_REASON, NONE_REASON))


class ConfigurationSource(Protocol):
    """Give the configuration in force."""

    current: Snapshot


class Dispatcher:
    """Place the waiting calls of each target in order of rank."""

    def __init__(
        self, configuration: ConfigurationSource, region: str, salt: str
    ) -> None:
        """Place from the given region."""
        self.configuration = configuration
        self.region = region
        self.runners = RunnerBook()
        self.targets = TargetBook()
        self.fleets = FleetBook(salt, self._estimate)
        self.rules = make_rules(CheapestRunner())
        self.explanations = ExplanationBook()
        self.waited = WaitedBook()
        self.ledger = OutcomeLedger(
            self.runners, self.fleets, self.targets, self.pump
        )

    def pump(self, target: str, now: float) -> None:
        """Place as many waiting calls of a target as runners allow."""
        state = self.targets.state(target)
        passed = 0
        while passed < min(LOOK_AHEAD, len(state.queue)):
            call = state.queue.at(passed)
            if self._stays_full(state.waiters[call]):
                return
            choice = self._try_place(state, call, now)
            if choice.reason in ENDING_REASONS:
                return
            passed += choice.option is None

    def pump_runner(self, runner: str, now: float) -> None:
        """Place the waiting calls of the target that a runner serves."""
        self.fleets.update(runner, now)
        target = self.fleets.targets_of.get(runner)
        if target is not None:
            self.pump(target, now)

    def choose(self, request: PlacementRequest, now: float) -> Choice:
        """Weigh the runners for a call without placing it."""
        snapshot = self.configuration.current
        target = snapshot.targets.get(request.target)
        if target is None:
            return Choice(None, (), NONE_REASON)
        view = TargetView(
            self.fleets.fleet(target, now),
            self.runners,
            self.targets.state(request.target).rates,
            snapshot.policy,
            self.region,
            weights_of(snapshot.policy),
        )
        return self.rules[snapshot.policy.rule].choose(view, request, now)

    def _stays_full(self, waiter: Waiter) -> bool:
        # A call that was weighed before need not be weighed again for this.
        fleet = self.fleets.fleets.get(waiter.call.request.target)
        if waiter.choice is None or fleet is None:
            return False
        policy = self.configuration.current.policy
        priority = waiter.call.request.priority
        return not fleet.has_room(kept_free_share(priority, policy))

    def _estimate(self, runner: str, now: float) -> int:
        return self.runners.state(runner).load.estimate(now)

    def _try_place(
        self, state: TargetState, call: QueuedCall, now: float
    ) -> Choice:
        choice = self.choose(call.request, now)
        waiter = state.waiters[call]
        waiter.choice = choice
        if choice.option is not None:
            state.remove(waiter)
            waiter.place(self._decide(call, choice, choice.option, now))
        return choice

    def _decide(
        self, call: QueuedCall, choice: Choice, option: Option, now: float
    ) -> PlacementDecision:
        request = call.request
        decision = PlacementDecision(request, option, choice, now, self.ledger)
        self.ledger.placed(decision, now)
        waited = now - call.queued_at
        self.waited.add(request.program_id, waited)
        explanation = explain_choice(request, choice, now, waited, 0)
        self.explanations.record(explanation)
        return decision
