"""Order a target's runners by load, so that only a few are weighed."""

from collections.abc import Callable, Iterator

import xxhash
from sortedcontainers import SortedList

from jasminewheel.models.target import Runner, Target

# Runners per region that may be skipped, for example for an open breaker.
MAX_SKIPPED_RUNNERS = 32
# Lower bound of the usable share: every priority may use an idle runner.
MIN_USABLE_SHARE = 0.000001


class TargetFleet:
    """Index the serving runners of one target by region and utilization."""

    def __init__(self, target: Target, salt: str) -> None:
        """Break ties by the salt, so that entries prefer different runners."""
        self.runners = {
            runner.name: runner for runner in target.serving_runners()
        }
        self.regions: dict[str, SortedList] = {}
        self.keys: dict[str, tuple[float, int, str]] = {}
        self.tie_breakers = {
            name: _tie_breaker(salt, name) for name in self.runners
        }

    def update(self, name: str, running: int) -> None:
        """Update the position of a runner for its current load."""
        runner = self.runners.get(name)
        if runner is None:
            return
        keys = self.regions.setdefault(runner.region, SortedList())
        current_key = self.keys.get(name)
        if current_key is not None:
            keys.remove(current_key)
        key = (running / runner.max_running, self.tie_breakers[name], name)
        self.keys[name] = key
        keys.add(key)

    def has_capacity(self, headroom_share: float) -> bool:
        """Return whether any runner has more than the given share free."""
        return any(
            keys and keys[0][0] < max(1 - headroom_share, MIN_USABLE_SHARE)
            for keys in self.regions.values()
        )

    def least_loaded(
        self, count: int, allows: Callable[[str], bool]
    ) -> Iterator[Runner]:
        """Yield up to `count` allowed runners per region, by load."""
        for keys in self.regions.values():
            remaining = count
            for _, _, name in keys.islice(0, count + MAX_SKIPPED_RUNNERS):
                if remaining and allows(name):
                    remaining -= 1
                    yield self.runners[name]


class FleetRegistry:
    """Cache the fleet of each target for the current configuration."""

    def __init__(
        self, salt: str, estimate: Callable[[str, float], int]
    ) -> None:
        """Order by `estimate`, which returns a runner's calls at a time."""
        self.salt = salt
        self.estimate = estimate
        self.fleets: dict[str, TargetFleet] = {}
        self.declared: dict[str, Target] = {}
        self.target_by_runner: dict[str, str] = {}

    def fleet(self, target: Target, now: float) -> TargetFleet:
        """Return the fleet of a target, rebuilt if the target was changed."""
        if self.declared.get(target.name) is not target:
            self._build(target, now)
        return self.fleets[target.name]

    def update(self, runner: str, now: float) -> None:
        """Update the position of a runner for its current load."""
        target = self.target_by_runner.get(runner)
        if target is not None:
            load = self.estimate(runner, now)
            self.fleets[target].update(runner, load)

    def _build(self, target: Target, now: float) -> None:
        fleet = TargetFleet(target, self.salt)
        for name in fleet.runners:
            fleet.update(name, self.estimate(name, now))
            self.target_by_runner[name] = target.name
        self.fleets[target.name] = fleet
        self.declared[target.name] = target


def _tie_breaker(salt: str, runner: str) -> int:
    return xxhash.xxh32_intdigest(f'{salt} {runner}'.encode())
