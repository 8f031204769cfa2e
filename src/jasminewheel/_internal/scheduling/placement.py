"""Choose the runner of a call, or to wait for a better one."""

from collections.abc import Iterable, Sequence
from typing import Protocol

from attrs import frozen

from jasminewheel._internal.scheduling.cost import (
    Cost,
    CostWeights,
    Situation,
    TargetRates,
    price,
)
from jasminewheel._internal.scheduling.request import Runner

WAIT_REASON = 'waits for a runner that costs less than a free one'


@frozen
class Option:
    """Hold a runner that may be chosen and what it would cost."""

    runner: Runner
    situation: Situation
    cost: Cost


@frozen
class Choice:
    """Hold the chosen option, or none to wait, and all that was weighed."""

    option: Option | None
    weighed: tuple[Option, ...]
    reason: str


class PlacementRule(Protocol):
    """Choose among the runners of a target."""

    def choose(self, options: Sequence[Option]) -> Choice:
        """Return the runner to use now, or a choice to wait."""


def price_options(
    situations: Iterable[tuple[Runner, Situation]],
    prompt_tokens: int,
    rates: TargetRates,
    weights: CostWeights,
) -> list[Option]:
    """Return the runners with what each would cost."""
    return [
        Option(
            runner,
            situation,
            price(situation, prompt_tokens, rates, weights),
        )
        for runner, situation in situations
    ]


def _total_seconds(option: Option) -> float:
    return option.cost.total_seconds


@frozen
class CheapestRunner:
    """Take the runner of the lowest cost; wait when that one is full."""

    def choose(self, options: Sequence[Option]) -> Choice:
        """Return the cheapest free runner unless waiting costs less."""
        weighed = tuple(sorted(options, key=_total_seconds))
        if not weighed:
            return Choice(None, weighed, 'no runner may be sent calls')
        best = weighed[0]
        if best.situation.free:
            return Choice(best, weighed, 'costs least')
        return Choice(None, weighed, WAIT_REASON)
