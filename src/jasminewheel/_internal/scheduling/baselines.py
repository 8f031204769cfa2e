"""Place calls by simple rules, as baselines for the cost rule."""

from functools import partial
from itertools import count

import xxhash
from attrs import define, field, frozen

from jasminewheel._internal.scheduling.placement import (
    FULL_REASON,
    NONE_REASON,
    PlacementRule,
)
from jasminewheel._internal.scheduling.request import PlacementRequest
from jasminewheel._internal.scheduling.view import Choice, Option, TargetView


@define(eq=False)
class RoundRobin:
    """Place each call on the next runner at once, even if it is full."""

    counter: count = field(factory=count)

    def choose(
        self, view: TargetView, request: PlacementRequest, now: float
    ) -> Choice:
        """Return the next available runner."""
        names = _allowed_runners(view, now)
        position = next(self.counter) % max(1, len(names))
        name = names[position] if names else None
        return _choice_of(
            view, request, now, name, 'is next in round-robin order'
        )


@frozen
class LeastLoaded:
    """Place each call on the least loaded runner at once, even if full."""

    def choose(
        self, view: TargetView, request: PlacementRequest, now: float
    ) -> Choice:
        """Return the least loaded runner."""
        option = _least_loaded(view, request, now)
        if option is None:
            return Choice(None, (), NONE_REASON)
        return Choice(option, (option,), 'is the least loaded runner')


@frozen
class SessionHash:
    """Place all calls of a program and its sub-agents on one runner."""

    def choose(
        self, view: TargetView, request: PlacementRequest, now: float
    ) -> Choice:
        """Return the runner with the highest hash for the root program."""
        root = request.program_id.partition('.')[0]
        affinity = partial(_affinity, root)
        name = max(_allowed_runners(view, now), key=affinity, default=None)
        return _choice_of(
            view, request, now, name, 'has the highest hash for the program'
        )


@frozen
class PriorityFifo:
    """Place calls by priority and age on the least loaded free runner."""

    def choose(
        self, view: TargetView, request: PlacementRequest, now: float
    ) -> Choice:
        """Return the least loaded runner if it is free."""
        option = _least_loaded(view, request, now)
        if option is None:
            return Choice(None, (), NONE_REASON)
        if option.situation.free:
            return Choice(option, (option,), 'is the least loaded runner')
        return Choice(None, (option,), FULL_REASON)


def _allowed_runners(view: TargetView, now: float) -> list[str]:
    return [name for name in view.fleet.runners if view.allows(name, now)]


def _choice_of(
    view: TargetView,
    request: PlacementRequest,
    now: float,
    name: str | None,
    reason: str,
) -> Choice:
    if name is None:
        return Choice(None, (), NONE_REASON)
    option = view.option(view.fleet.runners[name], view.demand(request), now)
    return Choice(option, (option,), reason)


def _least_loaded(
    view: TargetView, request: PlacementRequest, now: float
) -> Option | None:
    found = view.fleet.least_loaded(1, partial(view.allows, now=now))
    demand = view.demand(request)
    options = [view.option(runner, demand, now) for runner in found]
    return min(options, key=_utilization, default=None)


def _utilization(option: Option) -> float:
    return option.situation.running / option.situation.limit


def _affinity(root: str, runner: str) -> int:
    return xxhash.xxh64_intdigest(f'{root} {runner}'.encode())


def make_rules(cheapest: PlacementRule) -> dict[str, PlacementRule]:
    """Return the placement rules by their names in the policy resource."""
    return {
        'cost': cheapest,
        'round-robin': RoundRobin(),
        'least-loaded': LeastLoaded(),
        'session-hash': SessionHash(),
        'priority-fifo': PriorityFifo(),
    }
