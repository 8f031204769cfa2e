"""Keep what one entry knows of each runner."""

from attrs import define, field

from jasminewheel._internal.scheduling.belief import CacheEvent, RunnerBelief
from jasminewheel._internal.scheduling.breaker import CircuitBreaker
from jasminewheel._internal.scheduling.load import LoadReport, RunnerLoad


@define(eq=False)
class RunnerState:
    """Hold the load, the believed cache and the breaker of one runner."""

    load: RunnerLoad = field(factory=RunnerLoad)
    belief: RunnerBelief = field(factory=RunnerBelief)
    breaker: CircuitBreaker = field(factory=CircuitBreaker)


class RunnerBook:
    """Keep the state of all runners by name."""

    def __init__(self) -> None:
        """Start with no runner known."""
        self.states: dict[str, RunnerState] = {}

    def state(self, runner: str) -> RunnerState:
        """Return a runner's state, new if unknown."""
        found = self.states.get(runner)
        if found is None:
            found = RunnerState()
            self.states[runner] = found
        return found

    def observe_load(self, runner: str, report: LoadReport, now: float) -> None:
        """Take in a load report."""
        state = self.state(runner)
        state.load.reported(report, now)
        state.belief.capacity_tokens = report.kv_capacity_tokens

    def observe_cache(self, runner: str, event: CacheEvent, now: float) -> None:
        """Take in a cache event."""
        self.state(runner).belief.observe(event, now)

    def forget(self, runner: str) -> bool:
        """Drop a runner's state; return whether it was known."""
        return self.states.pop(runner, None) is not None
