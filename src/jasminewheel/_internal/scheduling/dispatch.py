"""Place waiting calls on runners as capacity becomes free."""

from typing import Protocol

from jasminewheel._internal.configuration.snapshot import Snapshot
from jasminewheel._internal.scheduling.baselines import make_rules
from jasminewheel._internal.scheduling.breaker import BreakerLimits
from jasminewheel._internal.scheduling.decision import PlacementDecision
from jasminewheel._internal.scheduling.explanations import (
    ExplanationLog,
    explain_choice,
)
from jasminewheel._internal.scheduling.fleet import FleetRegistry
from jasminewheel._internal.scheduling.outcomes import OutcomeRecorder
from jasminewheel._internal.scheduling.placement import (
    FULL_REASON,
    NONE_REASON,
    WAIT_REASON,
    CheapestRunner,
)
from jasminewheel._internal.scheduling.queue import QueuedCall
from jasminewheel._internal.scheduling.request import PlacementRequest
from jasminewheel._internal.scheduling.retention import RetentionController
from jasminewheel._internal.scheduling.runners import RunnerRegistry
from jasminewheel._internal.scheduling.view import (
    Choice,
    Option,
    TargetView,
    cost_weights,
    headroom_share,
)
from jasminewheel._internal.scheduling.wait_times import WaitTimes
from jasminewheel._internal.scheduling.waiting import (
    TargetRegistry,
    TargetState,
    Waiter,
)

from jasminewheel.models.policy import COST_RULE
from jasminewheel.models.target import Target

# Calls considered from the head of the queue: a call that waits for a certain
# runner may be passed by those behind it.
LOOKAHEAD_CALLS = 8
# Interval at which a queue is rechecked when nothing triggers a dispatch,
# however many calls wait in it.
RECHECK_INTERVAL_SECONDS = 0.25
# If no runner is free for one call, none is for the calls behind it.
BLOCKING_REASONS = frozenset((FULL_REASON, NONE_REASON))


class ConfigurationSource(Protocol):
    """Provide the configuration in force."""

    current: Snapshot


class Dispatcher:
    """Place the waiting calls of each target in order of rank."""

    def __init__(
        self, configuration: ConfigurationSource, region: str, salt: str
    ) -> None:
        """Place the calls of an entry in the given region."""
        self.configuration = configuration
        self.region = region
        self.runners = RunnerRegistry()
        self.targets = TargetRegistry()
        self.fleets = FleetRegistry(salt, self._estimate)
        self.rules = make_rules(CheapestRunner())
        self.explanations = ExplanationLog()
        self.wait_times = WaitTimes()
        self.retention = RetentionController(self.explanations)
        self.recorder = OutcomeRecorder(
            self.runners,
            self.fleets,
            self.targets,
            self.dispatch,
            self._retain,
            self._breaker_limits,
        )

    def dispatch(self, target: str, now: float, freed_runner: str = '') -> None:
        """Place as many waiting calls of a target as capacity allows.

        `freed_runner` is one on which a call just ended.
        """
        state = self.targets.state(target)
        state.dispatched_at = now
        position = 0
        while position < min(LOOKAHEAD_CALLS, len(state.queue)):
            call = state.queue.at(position)
            waiter = state.waiters[call]
            if waiter.can_skip_reweigh(freed_runner, now):
                position += 1
                continue
            if self._has_no_capacity(waiter):
                return
            choice = self._try_place(state, call, now)
            if choice.reason in BLOCKING_REASONS:
                return
            position += choice.option is None

    def recheck(self, target: str, now: float) -> None:
        """Place waiting calls unless tried within the recheck interval."""
        if (
            now - self.targets.state(target).dispatched_at
            >= RECHECK_INTERVAL_SECONDS
        ):
            self.dispatch(target, now)

    def dispatch_runner(self, runner: str, now: float) -> None:
        """Place the waiting calls of the target that a runner serves."""
        self.fleets.update(runner, now)
        target = self.fleets.target_by_runner.get(runner)
        if target is not None:
            self.dispatch(target, now)

    def choose(
        self, request: PlacementRequest, now: float, waited_seconds: float = 0
    ) -> Choice:
        """Return the choice of a runner for a call, without placing it."""
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
            cost_weights(policy),
            waited_seconds,
            state.waiting_by_runner,
            self._avoided_runners(state, target, request),
        )
        return self.rules[snapshot.policy.rule].choose(view, request, now)

    def _has_no_capacity(self, waiter: Waiter) -> bool:
        # A call that was weighed before is not weighed again while no runner
        # has capacity for its priority.
        fleet = self.fleets.fleets.get(waiter.call.request.target)
        if waiter.choice is None or fleet is None:
            return False
        policy = self.configuration.current.policy
        priority = waiter.call.request.priority
        return not fleet.has_capacity(headroom_share(priority, policy))

    def _retain(self, decision: PlacementDecision, now: float) -> None:
        policy = self.configuration.current.policy
        cache = self.runners.prefixes.cache(decision.runner)
        is_enabled = (
            policy.rule == COST_RULE and 'retention' not in policy.without
        )
        if is_enabled and cache.capacity_tokens and decision.request.blocks:
            rates = self.targets.state(decision.request.target).rates
            seconds = rates.prefill_seconds_per_token
            self.retention.max_hold_seconds = policy.prefix_hold_seconds
            self.retention.handle_pause(decision, cache, seconds, now)

    def _avoided_runners(
        self, state: TargetState, target: Target, request: PlacementRequest
    ) -> frozenset[str]:
        failed = state.retries.failed_runners(
            request.program_id, request.request_id
        )
        # If all runners have failed the call, any of them may be retried.
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
        state.set_waiting_for(waiter, '')
        choice = self.choose(call.request, now, now - call.queued_at)
        waiter.choice = choice
        waiter.weighed_at = now
        if choice.reason == WAIT_REASON:
            state.set_waiting_for(waiter, choice.weighed[0].runner.name)
        if choice.option is not None:
            state.remove(waiter)
            waiter.place(self._make_decision(call, choice, choice.option, now))
        return choice

    def _make_decision(
        self, call: QueuedCall, choice: Choice, option: Option, now: float
    ) -> PlacementDecision:
        request = call.request
        decision = PlacementDecision(
            request, option, choice, now, self.recorder
        )
        self.recorder.placed(decision, now)
        waited = now - call.queued_at
        self.wait_times.add(request.program_id, waited)
        explanation = explain_choice(request, choice, now, waited, 0)
        self.explanations.record(explanation)
        return decision
