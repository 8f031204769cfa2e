"""Record why calls were placed, queued or refused, in bounded memory."""

from collections import OrderedDict, deque
from collections.abc import Sequence
from itertools import chain
from typing import Protocol

from attrs import define, field, frozen

from jasminewheel._internal.scheduling.request import PlacementRequest
from jasminewheel._internal.scheduling.view import Choice, Option

MAX_PROGRAMS = 1024
MAX_DECISIONS_PER_PROGRAM = 8
MAX_DECISIONS_PER_TARGET = 128
MAX_OPTIONS = 4


@frozen
class Weighed:
    """Represent one runner's part in a decision; costs are in seconds.

    `trust` is the confidence in `held_tokens`, the tokens of the cached prefix.
    """

    runner: str
    region: str
    running: int
    limit: int
    held_tokens: int
    trust: float
    recompute_seconds: float
    crowding_seconds: float
    wait_seconds: float
    link_seconds: float
    total_seconds: float


@frozen
class Explanation:
    """Represent one decision; `at` is Unix time in seconds."""

    at: float
    program_id: str
    request_id: str
    target: str
    decision: str
    runner: str
    reason: str
    waited_seconds: float
    calls_ahead: int
    options: tuple[Option, ...]

    @property
    def weighed(self) -> tuple[Weighed, ...]:
        """Return the figures of the weighed runners, the best first."""
        return tuple(map(_weighed, self.options))


class Explainer(Protocol):
    """Provide the explanations of recent decisions."""

    def explain_program(self, program_id: str) -> Sequence[Explanation]:
        """Return a program's recent decisions, the oldest first."""

    def explain_target(self, target: str) -> Sequence[Explanation]:
        """Return a target's recent decisions, the oldest first."""

    def explain_request(self, request_id: str) -> Sequence[Explanation]:
        """Return a request's recent decisions, the oldest first."""


def _new_ring() -> deque[Explanation]:
    return deque(maxlen=MAX_DECISIONS_PER_TARGET)


@define(eq=False)
class ExplanationLog:
    """Keep the latest decisions by program and by target."""

    programs: OrderedDict[str, deque[Explanation]] = field(factory=OrderedDict)
    targets: dict[str, deque[Explanation]] = field(factory=dict)

    def record(self, explanation: Explanation) -> None:
        """Record a decision and evict the oldest beyond the limits."""
        ring = self.programs.get(explanation.program_id)
        if ring is None:
            ring = deque(maxlen=MAX_DECISIONS_PER_PROGRAM)
            self.programs[explanation.program_id] = ring
        ring.append(explanation)
        self.programs.move_to_end(explanation.program_id)
        if len(self.programs) > MAX_PROGRAMS:
            self.programs.popitem(last=False)
        self.targets.setdefault(explanation.target, _new_ring()).append(
            explanation
        )

    def explain_program(self, program_id: str) -> Sequence[Explanation]:
        """Return a program's recent decisions, the oldest first."""
        return tuple(self.programs.get(program_id, ()))

    def explain_target(self, target: str) -> Sequence[Explanation]:
        """Return a target's recent decisions, the oldest first."""
        return tuple(self.targets.get(target, ()))

    def explain_request(self, request_id: str) -> Sequence[Explanation]:
        """Return a request's recent decisions, the oldest first."""
        rings = self.programs.values()
        kept = chain.from_iterable(rings)
        return tuple(one for one in kept if one.request_id == request_id)


def explain_choice(
    request: PlacementRequest,
    choice: Choice,
    now: float,
    waited_seconds: float,
    calls_ahead: int,
) -> Explanation:
    """Return the explanation of a placement or a wait."""
    option = choice.option
    return Explanation(
        at=now,
        program_id=request.program_id,
        request_id=request.request_id,
        target=request.target,
        decision='placed' if option else 'waits',
        runner=option.runner.name if option else '',
        reason=choice.reason,
        waited_seconds=waited_seconds,
        calls_ahead=calls_ahead,
        options=choice.weighed[:MAX_OPTIONS],
    )


def explain_refusal(
    request: PlacementRequest, reason: str, now: float, calls_ahead: int
) -> Explanation:
    """Return the explanation of an early refusal."""
    return Explanation(
        at=now,
        program_id=request.program_id,
        request_id=request.request_id,
        target=request.target,
        decision='refused',
        runner='',
        reason=reason,
        waited_seconds=0,
        calls_ahead=calls_ahead,
        options=(),
    )


def _weighed(option: Option) -> Weighed:
    situation, cost = option.situation, option.cost
    return Weighed(
        runner=option.runner.name,
        region=option.runner.region,
        running=situation.running,
        limit=situation.limit,
        held_tokens=situation.cached_prefix.tokens,
        trust=situation.cached_prefix.confidence,
        recompute_seconds=cost.recompute_seconds,
        crowding_seconds=cost.crowding_seconds,
        wait_seconds=cost.wait_seconds,
        link_seconds=cost.link_seconds,
        total_seconds=cost.total_seconds,
    )
