"""Place calls by simple rules, to measure the policy against them."""

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
    """Send each call to the next runner at once."""

    counter: count = field(factory=count)

    def choose(
        self, view: TargetView, request: PlacementRequest, now: float
    ) -> Choice:
        """Return the next runner that may be sent calls."""
        names = _allowed_runners(view, now)
        position = next(self.counter) % max(1, len(names))
        name = names[position] if names else None
        return _choice_of(view, request, now, name, 'is next in turn')


@frozen
class LeastLoaded:
    """Send each call at once to the runner with the fewest."""

    def choose(
        self, view: TargetView, request: PlacementRequest, now: float
    ) -> Choice:
        """Return the least loaded runner."""
        option = _least_loaded(view, request, now)
        if option is None:
            return Choice(None, (), NONE_REASON)
        return Choice(option, (option,), 'has the fewest calls')


@frozen
class SessionHash:
    """Send all calls of a program and its sub-agents to one runner."""

    def choose(
        self, view: TargetView, request: PlacementRequest, now: float
    ) -> Choice:
        """Return the runner of the highest hash with the root program."""
        root = request.program_id.partition('.')[0]
        affinity = partial(_affinity, root)
        name = max(_allowed_runners(view, now), key=affinity, default=None)
        return _choice_of(view, request, now, name, "is the program's by hash")


@frozen
class PriorityFifo:
    """Send calls by priority and age to the least loaded free runner."""

    def choose(
        self, view: TargetView, request: PlacementRequest, now: float
    ) -> Choice:
        """Return the least loaded runner if it is free."""
        option = _least_loaded(view, request, now)
        if option is None:
            return Choice(None, (), NONE_REASON)
        if option.situation.free:
            return Choice(option, (option,), 'has the fewest calls')
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
    """Return the rules by the names that the policy resource gives them."""
    return {
        'cost': cheapest,
        'round-robin': RoundRobin(),
        'least-loaded': LeastLoaded(),
        'session-hash': SessionHash(),
        'priority-fifo': PriorityFifo(),
    }
