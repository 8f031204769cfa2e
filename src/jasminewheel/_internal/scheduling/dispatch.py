"""Give waiting calls runners as these become free."""

from typing import Protocol

from jasminewheel._internal.configuration.snapshot import Snapshot
from jasminewheel._internal.scheduling.baselines import make_rules
from jasminewheel._internal.scheduling.breaker import BreakerLimits
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
    WAIT_REASON,
    CheapestRunner,
)
from jasminewheel._internal.scheduling.queue import QueuedCall
from jasminewheel._internal.scheduling.request import PlacementRequest
from jasminewheel._internal.scheduling.retention import RetentionKeeper
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

from jasminewheel.models.policy import COST_RULE
from jasminewheel.models.target import Target

# Calls behind the first may pass it when it waits for a certain runner.
LOOKAHEAD_CALLS = 8
# However many calls wait, a target is looked at this often without cause.
RECHECK_INTERVAL_SECONDS = 0.25
# When no runner is free for one call, none is for those behind it.
BLOCKING_REASONS = frozenset((FULL_REASON, NONE_REASON))


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
        self.keeper = RetentionKeeper(self.explanations)
        self.ledger = OutcomeLedger(
            self.runners,
            self.fleets,
            self.targets,
            self.pump,
            self._retain,
            self._breaker_limits,
        )

    def pump(self, target: str, now: float, freed: str = '') -> None:
        """Place as many waiting calls of a target as runners allow.

        `freed` is a runner on which a call just ended.
        """
        state = self.targets.state(target)
        state.pumped_at = now
        passed = 0
        while passed < min(LOOKAHEAD_CALLS, len(state.queue)):
            call = state.queue.at(passed)
            waiter = state.waiters[call]
            if waiter.rests(freed, now):
                passed += 1
                continue
            if self._stays_full(waiter):
                return
            choice = self._try_place(state, call, now)
            if choice.reason in BLOCKING_REASONS:
                return
            passed += choice.option is None

    def recheck(self, target: str, now: float) -> None:
        """Place waiting calls unless that was tried a moment ago."""
        if (
            now - self.targets.state(target).pumped_at
            >= RECHECK_INTERVAL_SECONDS
        ):
            self.pump(target, now)

    def pump_runner(self, runner: str, now: float) -> None:
        """Place the waiting calls of the target that a runner serves."""
        self.fleets.update(runner, now)
        target = self.fleets.targets_of.get(runner)
        if target is not None:
            self.pump(target, now)

    def choose(
        self, request: PlacementRequest, now: float, waited_seconds: float = 0
    ) -> Choice:
        """Weigh the runners for a call without placing it."""
        snapshot = self.configuration.current
        target = snapshot.targets.get(request.target)
        if target is None:
            return Choice(None, (), NONE_REASON)
        policy = snapshot.policy
        self.runners.prefixes.half_life_seconds = policy.prefix_belief_seconds
        state = self.targets.state(request.target)
        view = TargetView(
            self.fleets.fleet(target, now),
            self.runners,
            state.rates,
            policy,
            self.region,
            weights_of(policy),
            waited_seconds,
            state.wanted,
            self._avoided(state, target, request),
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

    def _retain(self, decision: PlacementDecision, now: float) -> None:
        policy = self.configuration.current.policy
        cache = self.runners.prefixes.cache(decision.runner)
        wanted = policy.rule == COST_RULE and 'retention' not in policy.without
        if wanted and cache.capacity_tokens and decision.request.blocks:
            rates = self.targets.state(decision.request.target).rates
            seconds = rates.prefill_seconds_per_token
            self.keeper.longest_seconds = policy.prefix_hold_seconds
            self.keeper.paused(decision, cache, seconds, now)

    def _avoided(
        self, state: TargetState, target: Target, request: PlacementRequest
    ) -> frozenset[str]:
        failed = state.retries.failed_at(request.program_id, request.request_id)
        # When all have failed the call, any may be tried again.
        return failed if len(failed) < len(target.runners) else frozenset()

    def _breaker_limits(self) -> BreakerLimits:
        policy = self.configuration.current.policy
        return BreakerLimits(policy.breaker_failures, policy.breaker_seconds)

    def _estimate(self, runner: str, now: float) -> int:
        return self.runners.state(runner).load.estimate(now)

    def _try_place(
        self, state: TargetState, call: QueuedCall, now: float
    ) -> Choice:
        waiter = state.waiters[call]
        state.want(waiter, '')
        choice = self.choose(call.request, now, now - call.queued_at)
        waiter.choice = choice
        waiter.weighed_at = now
        if choice.reason == WAIT_REASON:
            state.want(waiter, choice.weighed[0].runner.name)
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
