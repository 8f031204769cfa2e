"""Choose a runner for a call, or let it wait for a cheaper one."""

from collections.abc import Iterator
from functools import partial
from itertools import islice
from typing import Protocol

from attrs import frozen

from jasminewheel._internal.scheduling.cost import priority_weight
from jasminewheel._internal.scheduling.prefixes import (
    NO_CACHED_PREFIX,
    CachedPrefix,
)
from jasminewheel._internal.scheduling.request import PlacementRequest
from jasminewheel._internal.scheduling.view import Choice, Option, TargetView

WAIT_REASON = 'waits for a runner that costs less than a free one'
FULL_REASON = 'waits because all runners are full'
NONE_REASON = 'no runner is available'
# Longest wait for the cheapest runner, as a multiple of the expected wait.
MAX_WAIT_FACTOR = 4
MAX_PREFIX_RUNNERS = 4
LEAST_LOADED_PER_REGION = 2


class PlacementRule(Protocol):
    """Choose among the runners of a target."""

    def choose(
        self, view: TargetView, request: PlacementRequest, now: float
    ) -> Choice:
        """Return the runner to use now, or a choice to wait."""


@frozen
class CheapestRunner:
    """Choose the runner with the lowest cost; wait if it is full.

    Only runners with a cached part of the prompt and the least loaded runners
    of each region are weighed, so the fleet's size hardly matters.
    """

    def choose(
        self, view: TargetView, request: PlacementRequest, now: float
    ) -> Choice:
        """Return the cheapest runner if free, or else a bounded wait for it."""
        weighed = tuple(
            sorted(weigh_runners(view, request, now), key=_total_seconds)
        )
        if not weighed:
            return Choice(None, weighed, NONE_REASON)
        best = weighed[0]
        if best.situation.free:
            return Choice(best, weighed, 'has the lowest cost')
        weight = priority_weight(request.priority)
        max_wait_seconds = MAX_WAIT_FACTOR * best.cost.wait_seconds / weight
        if (
            'waiting' in view.policy.without
            or view.waited_seconds > max_wait_seconds
        ):
            return _first_free(weighed)
        free = any(option.situation.free for option in weighed)
        return Choice(None, weighed, WAIT_REASON if free else FULL_REASON)


def weigh_runners(
    view: TargetView, request: PlacementRequest, now: float
) -> Iterator[Option]:
    """Yield the candidate runners with their costs."""
    allows = partial(view.allows, now=now)
    demand = view.demand(request)
    seen = set()
    for runner, cached_prefix in islice(
        _find_prefixes(view, request, now), MAX_PREFIX_RUNNERS
    ):
        if allows(runner):
            seen.add(runner)
            declared = view.fleet.runners[runner]
            yield view.option(declared, demand, now, cached_prefix)
    for declared in view.fleet.least_loaded(LEAST_LOADED_PER_REGION, allows):
        if declared.name not in seen:
            shared_prefix = _find_shared_prefix(
                view, declared.name, request, now
            )
            yield view.option(declared, demand, now, shared_prefix)


def _find_prefixes(
    view: TargetView, request: PlacementRequest, now: float
) -> Iterator[tuple[str, CachedPrefix]]:
    if 'prefix' in view.policy.without:
        return iter(())
    return view.runners.prefixes.find_prefixes(request.blocks, now)


def _find_shared_prefix(
    view: TargetView, runner: str, request: PlacementRequest, now: float
) -> CachedPrefix:
    if 'prefix' in view.policy.without:
        return NO_CACHED_PREFIX
    return view.runners.prefixes.find_shared_prefix(runner, request.blocks, now)


def _total_seconds(option: Option) -> float:
    return option.cost.total_seconds


def _first_free(weighed: tuple[Option, ...]) -> Choice:
    free = (option for option in weighed if option.situation.free)
    option = next(free, None)
    reason = (
        'has the lowest cost of the free runners' if option else FULL_REASON
    )
    return Choice(option, weighed, reason)
