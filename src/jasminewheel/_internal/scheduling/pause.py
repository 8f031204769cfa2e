"""Learn how long programs pause at each tool, and what to keep meanwhile."""

from bisect import bisect_right
from collections import OrderedDict
from enum import Enum

from attrs import define, field, frozen

MAX_TOOLS = 1000
# Bounds of the pause classes; the last class has no upper bound.
PAUSE_BOUNDS_SECONDS = (0.25, 0.5, 1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024)
DECAY = 0.99
PRIOR_COUNT = 0.1
# Bounds how long memory is held for a program whose owner died.
MAX_HOLD_SECONDS = 64
CACHE_PRESSURE_THRESHOLD = 0.8


class Retention(Enum):
    """Say what becomes of a program's prefix while it pauses."""

    keep = 'keep'
    demote = 'demote'
    drop = 'drop'


@frozen
class PauseDecision:
    """Hold what becomes of a prefix, for how long, and the numbers weighed."""

    retention: Retention
    hold_seconds: float
    return_probability: float
    saved_seconds: float
    memory_cost_seconds: float


def _initial_counts() -> list[float]:
    return [PRIOR_COUNT for _ in range(len(PAUSE_BOUNDS_SECONDS) + 1)]


@define(eq=False)
class PauseHistogram:
    """Count pauses by class, recent ones more."""

    counts: list[float] = field(factory=_initial_counts)

    def learn(self, seconds: float) -> None:
        """Take in one pause."""
        self.counts = [count * DECAY for count in self.counts]
        self.counts[bisect_right(PAUSE_BOUNDS_SECONDS, seconds)] += 1

    def probability_within(self, seconds: float) -> float:
        """Return how likely a pause ends within the given time."""
        classes = bisect_right(PAUSE_BOUNDS_SECONDS, seconds)
        return sum(self.counts[:classes]) / sum(self.counts)


class PauseLearner:
    """Keep a histogram for each tool, least recently used ones dropped."""

    def __init__(self) -> None:
        """Start with no tool known."""
        self.tools: OrderedDict[str, PauseHistogram] = OrderedDict()

    def learn(self, tool: str, seconds: float) -> None:
        """Take in how long a program was at a tool."""
        self.histogram(tool).learn(seconds)

    def histogram(self, tool: str) -> PauseHistogram:
        """Return the histogram of a tool."""
        found = self.tools.setdefault(tool, PauseHistogram())
        self.tools.move_to_end(tool)
        if len(self.tools) > MAX_TOOLS:
            self.tools.popitem(last=False)
        return found


@frozen
class PauseSituation:
    """Hold what is weighed when a program starts to pause."""

    tool: str
    prefix_tokens: int
    rebuild_seconds: float
    priority_weight: float
    cache_occupied: float
    cache_capacity_tokens: int


def decide_retention(
    learner: PauseLearner,
    situation: PauseSituation,
    max_hold_seconds: float = MAX_HOLD_SECONDS,
) -> PauseDecision:
    """Return the hold whose saved rebuild outweighs the memory it takes."""
    histogram = learner.histogram(situation.tool)
    best = PauseDecision(Retention.drop, 0, 0, 0, 0)
    for hold in PAUSE_BOUNDS_SECONDS:
        if hold > min(max_hold_seconds, MAX_HOLD_SECONDS):
            break
        candidate = _evaluate_hold(histogram, situation, hold)
        if _net_gain_seconds(candidate) > _net_gain_seconds(best):
            best = candidate
    return best


def _net_gain_seconds(decision: PauseDecision) -> float:
    return decision.saved_seconds - decision.memory_cost_seconds


def _evaluate_hold(
    histogram: PauseHistogram, situation: PauseSituation, hold: float
) -> PauseDecision:
    probability = histogram.probability_within(hold)
    weight = situation.priority_weight
    share = situation.prefix_tokens / max(1, situation.cache_capacity_tokens)
    # A full cache makes others recompute; a half empty one costs nothing.
    pressure = max(0, situation.cache_occupied - CACHE_PRESSURE_THRESHOLD) / (
        1 - CACHE_PRESSURE_THRESHOLD
    )
    retention = Retention.keep if pressure else Retention.demote
    return PauseDecision(
        retention=retention,
        hold_seconds=hold,
        return_probability=probability,
        saved_seconds=weight * probability * situation.rebuild_seconds,
        memory_cost_seconds=pressure * share * hold,
    )
