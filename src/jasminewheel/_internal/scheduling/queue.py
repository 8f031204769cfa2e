"""Order the waiting calls of a target by rank."""

from math import log2

from attrs import define, field, frozen
from sortedcontainers import SortedKeyList

from jasminewheel._internal.scheduling.request import PlacementRequest
from jasminewheel.models.policy import COST_RULE, Policy

TOP_PRIORITY = 9
PRIORITY_STEP_SECONDS = 6
ATTAINED_STEP_SECONDS = 1
ATTAINED_LEVELS = 5
ATTAINED_UNIT_TOKENS = 2000
MAX_WAIT_CREDIT_SECONDS = 4
# A call that has waited this much longer than another is served first, whatever
# the priorities and attained services of the two are.
STARVATION_BOUND_SECONDS = (
    TOP_PRIORITY * PRIORITY_STEP_SECONDS
    + ATTAINED_LEVELS * ATTAINED_STEP_SECONDS
    + MAX_WAIT_CREDIT_SECONDS
)


@frozen
class RankOffset:
    """Represent the parts of a call's rank beside its arrival time."""

    priority_seconds: float
    attained_seconds: float
    waited_seconds: float

    @property
    def total_seconds(self) -> float:
        """Return the seconds to add to the arrival time of the call."""
        return (
            self.priority_seconds
            + self.attained_seconds
            - (self.waited_seconds)
        )


def attained_level(tokens: int) -> int:
    """Return the level of attained service, 0 for a new program."""
    level = int(log2(1 + tokens / ATTAINED_UNIT_TOKENS))
    return min(level, ATTAINED_LEVELS)


@frozen
class ProgramOrdering:
    """Rank by priority, then attained service, then time waited."""

    by_priority: bool = True
    by_attained: bool = True
    by_age: bool = True
    attained_weight: float = 1

    def rank_offset(
        self, request: PlacementRequest, waited_seconds: float
    ) -> RankOffset:
        """Return the offset by priority, attained tokens and earlier waits."""
        steps = TOP_PRIORITY - request.priority
        level = attained_level(request.attained_tokens)
        credit = min(waited_seconds, MAX_WAIT_CREDIT_SECONDS)
        return RankOffset(
            priority_seconds=self.by_priority * steps * PRIORITY_STEP_SECONDS,
            attained_seconds=self.by_attained * self._attained(level),
            waited_seconds=self.by_age * credit,
        )

    def _attained(self, level: int) -> float:
        return self.attained_weight * level * ATTAINED_STEP_SECONDS


FIFO = ProgramOrdering(by_priority=False, by_attained=False, by_age=False)
PRIORITY_FIFO = ProgramOrdering(by_attained=False, by_age=False)


def ordering_of(policy: Policy) -> ProgramOrdering:
    """Return the ordering that a policy selects."""
    if policy.rule == COST_RULE:
        return ProgramOrdering(
            by_priority='priority' not in policy.without,
            by_attained='attained' not in policy.without,
            by_age='age' not in policy.without,
            attained_weight=policy.attained_weight,
        )
    return PRIORITY_FIFO if policy.rule == 'priority-fifo' else FIFO


@define(eq=False)
class QueuedCall:
    """Represent a waiting call and its rank; the lowest is served first."""

    request: PlacementRequest
    queued_at: float
    rank_offset: RankOffset
    rank: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Compute the rank from the arrival time and the offset."""
        self.rank = self.queued_at + self.rank_offset.total_seconds


def _sort_key(call: QueuedCall) -> tuple[float, str]:
    return (call.rank, call.request.program_id)


class ProgramQueue:
    """Keep the waiting calls of one target in order of rank."""

    def __init__(self) -> None:
        """Start empty."""
        self.calls: SortedKeyList = SortedKeyList(key=_sort_key)

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self.calls)

    def push(self, call: QueuedCall) -> None:
        """Add a call."""
        self.calls.add(call)

    def remove(self, call: QueuedCall) -> bool:
        """Remove a call; return whether it was queued."""
        position = self.calls.bisect_key_left(_sort_key(call))
        while position < len(self.calls):
            found = self.calls[position]
            if found is call:
                self.calls.pop(position)
                return True
            if found.rank > call.rank:
                break
            position += 1
        return False

    def at(self, position: int) -> QueuedCall:
        """Return the call at a position, 0 for the one served next."""
        return self.calls[position]

    def last(self) -> QueuedCall | None:
        """Return the call to be served last."""
        return self.calls[-1] if self.calls else None

    def count_ahead(self, call: QueuedCall) -> int:
        """Return how many calls are served before this one."""
        return self.calls.bisect_key_left(_sort_key(call))
