"""Track the state of each runner as one entry sees it."""

from attrs import define, field

from jasminewheel._internal.scheduling.breaker import CircuitBreaker
from jasminewheel._internal.scheduling.load import RunnerLoad
from jasminewheel._internal.scheduling.prefixes import PrefixIndex
from jasminewheel._internal.targets.load_report import LoadReport


@define(eq=False)
class RunnerState:
    """Represent the load and the circuit breaker of one runner."""

    load: RunnerLoad = field(factory=RunnerLoad)
    breaker: CircuitBreaker = field(factory=CircuitBreaker)


class RunnerRegistry:
    """Track the state of all runners by name."""

    def __init__(self) -> None:
        """Start without runners."""
        self.states: dict[str, RunnerState] = {}
        self.prefixes = PrefixIndex()

    def state(self, runner: str) -> RunnerState:
        """Return a runner's state, created if absent."""
        found = self.states.get(runner)
        if found is None:
            found = RunnerState()
            self.states[runner] = found
        return found

    def observe_load(self, runner: str, report: LoadReport, now: float) -> None:
        """Apply a load report."""
        self.state(runner).load.reported(report, now)
        cache = self.prefixes.cache(runner)
        cache.capacity_tokens = report.kv_capacity_tokens
        cache.used_tokens = report.kv_used_tokens

    def forget(self, runner: str) -> bool:
        """Remove a runner's state; return whether there was one."""
        self.prefixes.forget(runner)
        return self.states.pop(runner, None) is not None
