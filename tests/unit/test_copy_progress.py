"""Check that only work that advances a copy counts as progress."""

import trio
from attrs import define, field
from trio.testing import MockClock

from jasminewheel._internal.replication.fence import Fence
from jasminewheel._internal.replication.copy_progress import (
    REPORT_SECONDS,
    CopyProgress,
    LogProgress,
)
from jasminewheel._internal.replication.replicas import ReplicaSets, SlotTarget

CHANGING = ReplicaSets(2, ('h4', 'h2', 'h3'), ('h1', 'h2', 'h3'))
SETTLED = ReplicaSets(2, ('h1', 'h2', 'h3'), ('h1', 'h2', 'h3'))


@define
class ReportRecorder:
    """Record the steps reported to the replicas."""

    steps: list = field(factory=list)

    def ask_all(self, sets, request_of, reply_kind):
        """Record the steps of a report."""
        self.steps.append(request_of('h2').steps)


def progress_of(sets):
    """Return the progress of an owner that has copied nothing."""
    target = SlotTarget(0, Fence(2, 1, 'a', 'a-1'), sets)
    return CopyProgress(ReportRecorder(), target)


def run(scenario):
    """Run a scenario in virtual time."""
    trio.run(scenario, clock=MockClock(autojump_threshold=0))


def test_recovery_done_again_is_no_progress():
    """A recovery that fails at the same place each time is no progress."""

    async def scenario():
        copying = progress_of(CHANGING)
        LogProgress(copying, 'p').advance(5)
        known = copying.steps
        LogProgress(copying, 'p').advance(5)
        assert copying.steps == known
        LogProgress(copying, 'p').advance(6)
        assert copying.steps > known

    run(scenario)


def test_nothing_of_a_whole_log_counts():
    """Records that slow replicas receive after completion do not count."""

    async def scenario():
        copying = progress_of(CHANGING)
        late = LogProgress(copying, 'p')
        copying.finish_log('p')
        known = copying.steps
        late.advance(100)
        assert copying.steps == known

    run(scenario)


def test_reports_are_rare():
    """Reports are limited in rate and carry the newest count."""

    async def scenario():
        copying = progress_of(CHANGING)
        for number in range(100):
            copying.finish_log(f'log-{number}')
        await trio.sleep(REPORT_SECONDS)
        copying.finish_log('last')
        assert copying.replicas.steps == [1, 101]

    run(scenario)


def test_nothing_is_reported_without_a_change():
    """Recoveries outside a change of replica sets are not reported."""

    async def scenario():
        copying = progress_of(SETTLED)
        copying.finish_log('p')
        assert not copying.replicas.steps

    run(scenario)
