"""Measure the cost of configurations with many callers."""

import tempfile
import time
from pathlib import Path

import trio
from attrs import frozen

from jasminewheel._internal.capacity.member_cost import mean_cost
from jasminewheel._internal.capacity.member_fleet import (
    MemberFleet,
    member_fleet,
    wait_for,
)
from jasminewheel._internal.capacity.points import Points
from jasminewheel._internal.configuration.change import ResourceChange
from jasminewheel._internal.configuration.configuration import Configuration
from jasminewheel._internal.configuration.repository import (
    ConfigurationRepository,
)
from jasminewheel._internal.configuration.snapshot import hash_key
from jasminewheel._internal.store.client import HttpStore
from jasminewheel.models.caller import Budget, Caller, KeyHash
from jasminewheel.models.resource import ResourceKey
from jasminewheel.models.target import Target

MEMBERS = 8
SETTLE_SECONDS = 5.0
CHANGE_SECONDS = 5.0


@frozen
class CommitTimes:
    """Represent the time to commit, and from then to be in force on all."""

    commit_seconds: float
    in_force_seconds: float


def measure_callers(callers: int, points: Points) -> None:
    """Measure a configuration with the given number of callers."""
    with tempfile.TemporaryDirectory() as folder:
        with member_fleet(Path(folder)) as fleet:
            fleet.grow_to(MEMBERS)
            changes = caller_changes(callers)
            commit_all = commit_and_wait(fleet, changes)
            points.add(
                'configuration.commit', callers, commit_all.commit_seconds
            )
            points.add(
                'configuration.in_force', callers, commit_all.in_force_seconds
            )
            time.sleep(SETTLE_SECONDS)
            measure_change(fleet, callers, points)


def measure_change(fleet: MemberFleet, callers: int, points: Points) -> None:
    """Measure the change of one caller among the given number."""
    earlier = fleet.samples()
    time.sleep(CHANGE_SECONDS)
    baseline = mean_cost(earlier, fleet.samples())
    earlier = fleet.samples()
    commit_one = commit_and_wait(fleet, [caller_change(0, 2)])
    time.sleep(CHANGE_SECONDS)
    cost = mean_cost(earlier, fleet.samples())
    seconds = (
        CHANGE_SECONDS + commit_one.commit_seconds + commit_one.in_force_seconds
    )
    extra_bytes = max(0, cost.byte_rate - baseline.byte_rate) * seconds
    points.add('configuration.change', callers, commit_one.in_force_seconds)
    points.add('configuration.change_bytes', callers, extra_bytes)
    points.add('configuration.resident', callers, cost.resident_bytes)


def commit_and_wait(
    fleet: MemberFleet,
    changes: list[ResourceChange],
) -> CommitTimes:
    """Commit changes and wait until they are in force on all members."""
    started_at = time.time()
    version = trio.run(commit, fleet.store_url, changes)
    committed = time.time()
    wait_for(
        lambda: is_in_force(fleet, version), 'bringing a version into force'
    )
    last = max(one.version_at for one in fleet.samples().values())
    return CommitTimes(committed - started_at, max(0, last - committed))


def is_in_force(fleet: MemberFleet, version: int) -> bool:
    """Return whether all members have the version in force."""
    samples = fleet.samples().values()
    return all(one.version >= version for one in samples)


async def commit(store_url: str, changes: list[ResourceChange]) -> int:
    """Commit changes as an operator and return the new version."""
    async with HttpStore(store_url) as store:
        repository = ConfigurationRepository(store, 'operator')
        committed = await repository.commit(changes, Configuration())
        return committed.version


def caller_changes(count: int) -> list[ResourceChange]:
    """Return changes that declare callers and the target they call."""
    target = Target('desk', 'service', ())
    key = ResourceKey('target', target.name)
    callers = [caller_change(number, 1) for number in range(count)]
    return [ResourceChange(key, target), *callers]


def caller_change(number: int, tokens: int) -> ResourceChange:
    """Return a change that declares one caller."""
    name = f'caller-{number}'
    spec = Caller(name, (KeyHash(hash_key(name)),), Budget(tokens), ('desk',))
    return ResourceChange(ResourceKey('caller', name), spec)
