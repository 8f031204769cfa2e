"""Measure the cost per member of membership and configuration."""

import sys
import tempfile
import time
from pathlib import Path

from jasminewheel._internal.capacity.callers import (
    caller_changes,
    commit_and_wait,
    measure_callers,
)
from jasminewheel._internal.capacity.member_cost import mean_cost
from jasminewheel._internal.capacity.member_fleet import (
    MemberFleet,
    member_fleet,
    wait_for,
)
from jasminewheel._internal.capacity.points import Points
from jasminewheel._internal.capacity.slope import Measurement
from jasminewheel._internal.membership.lease import START_JITTER_SECONDS

COMMAND = 'scripts/capacity-membership'
MEMBERS = (8, 16, 32, 64)
CALLERS = (3500, 7000, 14000, 28000)
CALM_SECONDS = 20.0
SETTLE_SECONDS = 5.0


def measure(result: Path) -> Measurement:
    """Measure all slopes and write the result file."""
    points = Points()
    with tempfile.TemporaryDirectory() as folder:
        with member_fleet(Path(folder)) as fleet:
            measure_members(fleet, points)
    for callers in CALLERS:
        measure_callers(callers, points)
    measurement = Measurement(COMMAND, points.slopes())
    measurement.write(result)
    return measurement


def measure_members(fleet: MemberFleet, points: Points) -> None:
    """Measure fleets of increasing size, idle and while a third restarts."""
    for count in MEMBERS:
        fleet.grow_to(count)
        time.sleep(SETTLE_SECONDS)
        earlier = fleet.samples()
        time.sleep(CALM_SECONDS)
        cost = mean_cost(earlier, fleet.samples())
        points.add('membership.messages', count, cost.messages_per_second)
        points.add('membership.bytes', count, cost.byte_rate)
        points.add('membership.processor', count, cost.processor_share)
        points.add('membership.resident', count, cost.resident_bytes)
        times = commit_and_wait(fleet, caller_changes(count))
        points.add('membership.spread', count, times.in_force_seconds)
        measure_storm(fleet, points)


def measure_storm(fleet: MemberFleet, points: Points) -> None:
    """Restart a third of the members at once and measure the recovery."""
    count = len(fleet.processes)
    third = tuple(fleet.processes)[::3]
    earlier = fleet.store_counts()
    fleet.kill(third)
    fleet.start(third)
    seconds = wait_for(fleet.has_converged, 'joining again')
    # Members request their leases after a random delay of up to this long.
    time.sleep(START_JITTER_SECONDS)
    later = fleet.store_counts()
    points.add('membership.rejoin', count, seconds)
    for kind in ('reads', 'writes', 'refused'):
        increase = later.get(kind, 0) - earlier.get(kind, 0)
        points.add(f'membership.storm_{kind}', count, increase)


def main() -> None:
    """Measure, write the result file and print the slopes."""
    measurement = measure(Path(sys.argv[1]))
    for slope in measurement.slopes:
        sys.stdout.write(f'{slope.name}: {slope.points}\n')


if __name__ == '__main__':
    main()
