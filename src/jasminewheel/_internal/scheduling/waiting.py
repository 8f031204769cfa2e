"""Track the waiting calls of targets and wake each when it is placed."""

from collections import Counter

import trio
from attrs import define, field

from jasminewheel._internal.scheduling.admission import Throughput
from jasminewheel._internal.scheduling.rates import TargetRates, new_rates
from jasminewheel._internal.scheduling.retry_budget import RetryBudget
from jasminewheel._internal.scheduling.view import Choice
from jasminewheel._internal.scheduling.decision import PlacementDecision
from jasminewheel._internal.scheduling.queue import ProgramQueue, QueuedCall

# A call that waits for one runner is weighed again after this interval, or when
# a call ends on that runner.
REWEIGH_INTERVAL_SECONDS = 0.1


@define(eq=False)
class Waiter:
    """Represent a queued call until it is placed or displaced."""

    call: QueuedCall
    wakeup: trio.Event = field(factory=trio.Event)
    decision: PlacementDecision | None = None
    choice: Choice | None = None
    # Runner that the call waits for although others are free.
    waiting_for: str = ''
    weighed_at: float = 0
    displaced: bool = False

    def can_skip_reweigh(self, freed_runner: str, now: float) -> bool:
        """Return whether the last weighing of the call is still valid."""
        if not self.waiting_for or self.waiting_for == freed_runner:
            return False
        return now - self.weighed_at < REWEIGH_INTERVAL_SECONDS

    def place(self, decision: PlacementDecision) -> None:
        """Wake the waiting task with its runner."""
        self.decision = decision
        self.wakeup.set()

    def displace(self) -> None:
        """Wake the waiting task with a refusal."""
        self.displaced = True
        self.wakeup.set()


@define(eq=False)
class TargetState:
    """Represent the queue, rates and throughput of one target."""

    queue: ProgramQueue = field(factory=ProgramQueue)
    waiters: dict[QueuedCall, Waiter] = field(factory=dict)
    rates: TargetRates = field(factory=new_rates)
    dispatched_at: float = 0
    throughput: Throughput = field(factory=Throughput)
    waiting_by_runner: Counter[str] = field(factory=Counter)
    retries: RetryBudget = field(factory=RetryBudget)

    def push(self, waiter: Waiter) -> None:
        """Queue a waiter."""
        self.queue.push(waiter.call)
        self.waiters[waiter.call] = waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter if it is queued."""
        if self.queue.remove(waiter.call):
            self.waiters.pop(waiter.call, None)
            self.set_waiting_for(waiter, '')

    def set_waiting_for(self, waiter: Waiter, runner: str) -> None:
        """Set the runner that the call waits for; empty for none."""
        if waiter.waiting_for:
            self.waiting_by_runner[waiter.waiting_for] -= 1
        if runner:
            self.waiting_by_runner[runner] += 1
        waiter.waiting_for = runner

    def displace_last(self, before: QueuedCall) -> bool:
        """Refuse the last call if it ranks behind the given one."""
        last = self.queue.last()
        if last is None or last.rank <= before.rank:
            return False
        waiter = self.waiters[last]
        self.remove(waiter)
        waiter.displace()
        return True


class TargetRegistry:
    """Track the state of all targets by name."""

    def __init__(self) -> None:
        """Start without targets."""
        self.states: dict[str, TargetState] = {}

    def state(self, target: str) -> TargetState:
        """Return a target's state, created if absent."""
        found = self.states.get(target)
        if found is None:
            found = TargetState()
            self.states[target] = found
        return found
