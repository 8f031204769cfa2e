"""Estimate pauses of programs by tool, and decide prefix retention."""

from bisect import bisect_right
from collections import OrderedDict
from enum import Enum

from attrs import define, field, frozen

MAX_TOOLS = 1000
# Upper bounds of the histogram buckets; the last bucket has none.
PAUSE_BOUNDS_SECONDS = (0.25, 0.5, 1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024)
DECAY = 0.99
PRIOR_COUNT = 0.1
# Bounds how long memory is held for a program whose owner failed.
MAX_HOLD_SECONDS = 64
CACHE_PRESSURE_THRESHOLD = 0.8


class Retention(Enum):
    """Represent what is done with a program's prefix during a pause."""

    keep = 'keep'
    demote = 'demote'
    drop = 'drop'


@frozen
class PauseDecision:
    """Represent the retention of a prefix and the figures it is based on."""

    retention: Retention
    hold_seconds: float
    return_probability: float
    saved_seconds: float
    memory_cost_seconds: float


def _initial_counts() -> list[float]:
    return [PRIOR_COUNT for _ in range(len(PAUSE_BOUNDS_SECONDS) + 1)]


@define(eq=False)
class PauseHistogram:
    """Count pauses by duration, with exponential decay."""

    counts: list[float] = field(factory=_initial_counts)

    def learn(self, seconds: float) -> None:
        """Record one pause."""
        self.counts = [count * DECAY for count in self.counts]
        self.counts[bisect_right(PAUSE_BOUNDS_SECONDS, seconds)] += 1

    def probability_within(self, seconds: float) -> float:
        """Return the probability that a pause ends within the given time."""
        buckets = bisect_right(PAUSE_BOUNDS_SECONDS, seconds)
        return sum(self.counts[:buckets]) / sum(self.counts)


class PauseLearner:
    """Keep a histogram of pauses by tool, with LRU eviction."""

    def __init__(self) -> None:
        """Start without histograms."""
        self.tools: OrderedDict[str, PauseHistogram] = OrderedDict()

    def learn(self, tool: str, seconds: float) -> None:
        """Record how long a program paused at a tool."""
        self.histogram(tool).learn(seconds)

    def histogram(self, tool: str) -> PauseHistogram:
        """Return the histogram of a tool, created if absent."""
        found = self.tools.setdefault(tool, PauseHistogram())
        self.tools.move_to_end(tool)
        if len(self.tools) > MAX_TOOLS:
            self.tools.popitem(last=False)
        return found


@frozen
class PauseSituation:
    """Represent the inputs of a retention decision."""

    tool: str
    prefix_tokens: int
    rebuild_seconds: float
    priority_weight: float
    cache_utilization: float
    cache_capacity_tokens: int


def decide_retention(
    learner: PauseLearner,
    situation: PauseSituation,
    max_hold_seconds: float = MAX_HOLD_SECONDS,
) -> PauseDecision:
    """Return the hold with the largest saving net of its memory cost."""
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
    # Memory costs nothing below the threshold; in a full cache, holding it
    # makes other programs recompute their prefixes.
    pressure = max(
        0, situation.cache_utilization - CACHE_PRESSURE_THRESHOLD
    ) / (1 - CACHE_PRESSURE_THRESHOLD)
    retention = Retention.keep if pressure else Retention.demote
    return PauseDecision(
        retention=retention,
        hold_seconds=hold,
        return_probability=probability,
        saved_seconds=weight * probability * situation.rebuild_seconds,
        memory_cost_seconds=pressure * share * hold,
    )
