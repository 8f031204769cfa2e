"""Check when the owner of a slot counts as stalled."""

from attrs import evolve

from jasminewheel._internal.replication.fence import Fence
from jasminewheel._internal.replication.replicas import ReplicaSets
from jasminewheel._internal.replication.stall_detector import (
    StallDetector,
    SlotCopyStatus,
)
from jasminewheel._internal.wire.gen.history.ttypes import SlotDescribed

STALL_TIMEOUT_SECONDS = 10
SETS = ReplicaSets(2, ('h4', 'h2', 'h3'), ('h1', 'h2', 'h3'))
FORMER = Fence(1, 1, 'a', 'a-1')
MOVED = Fence(2, 1, 'a', 'a-1')


def reported_status(slot, fence, steps=0, copied_epoch=0):
    """Return the status of a slot with the reports of three replicas."""
    status = SlotCopyStatus(slot, SETS)
    for replica in ('h1', 'h2', 'h4'):
        status.add(
            replica,
            SlotDescribed(fence.to_wire(), 0, copied_epoch, steps),
        )
    return status


def test_progress_with_one_slot_counts_for_all_of_the_owner():
    """An owner that copies its slots one after the other is not stalled."""
    detector = StallDetector(STALL_TIMEOUT_SECONDS)
    waiting = reported_status(1, FORMER)
    for status in (waiting, reported_status(2, FORMER)):
        detector.update(status, 0)
    detector.update(reported_status(2, MOVED), 8)
    assert not detector.is_stalled(waiting, 17)
    detector.update(reported_status(2, MOVED, steps=3), 17)
    assert not detector.is_stalled(waiting, 26)
    assert detector.is_stalled(waiting, 27)


def test_owner_without_progress_is_stalled():
    """Repeated reports of the same fence and steps are no progress."""
    detector = StallDetector(STALL_TIMEOUT_SECONDS)
    for now in (0, 5, 10):
        detector.update(reported_status(1, MOVED, steps=3), now)
    assert detector.is_stalled(reported_status(1, MOVED, steps=3), 10)


def test_owners_that_alternate_are_stalled():
    """A takeover is no progress, so that owners cannot alternate forever."""
    detector = StallDetector(STALL_TIMEOUT_SECONDS)
    for now in range(STALL_TIMEOUT_SECONDS + 1):
        member = 'ab'[now % 2]
        fence = evolve(MOVED, term=now + 1, member=member)
        detector.update(reported_status(1, fence), now)
    assert detector.is_stalled(reported_status(1, MOVED), STALL_TIMEOUT_SECONDS)


def test_unseen_progress_is_no_stall():
    """A status without a majority of the replicas is not stalled."""
    detector = StallDetector(STALL_TIMEOUT_SECONDS)
    detector.update(reported_status(1, MOVED), 0)
    unconfirmed = SlotCopyStatus(1, SETS)
    detector.update(unconfirmed, STALL_TIMEOUT_SECONDS)
    assert not detector.is_stalled(unconfirmed, STALL_TIMEOUT_SECONDS)
    assert detector.is_stalled(reported_status(1, MOVED), STALL_TIMEOUT_SECONDS)


def test_replica_that_answers_again_is_no_progress():
    """Progress that was reported before does not count again."""
    detector = StallDetector(STALL_TIMEOUT_SECONDS)
    for now in range(STALL_TIMEOUT_SECONDS + 1):
        detector.update(reported_status(1, MOVED, steps=now % 2), now)
    assert detector.is_stalled(
        reported_status(1, MOVED), STALL_TIMEOUT_SECONDS + 1
    )


def test_copied_slot_has_the_mark_at_both_majorities():
    """A mark of an earlier epoch does not count."""
    assert not reported_status(1, MOVED, copied_epoch=1).is_copied
    assert reported_status(1, MOVED, copied_epoch=2).is_copied
    partly = SlotCopyStatus(1, SETS)
    partly.add('h2', SlotDescribed(MOVED.to_wire(), 0, 2, 0))
    assert not partly.is_copied


def test_steps_of_an_older_fence_do_not_count():
    """Only the steps reported with the highest fence count."""
    status = reported_status(1, FORMER, steps=9)
    status.add('h3', SlotDescribed(MOVED.to_wire(), 0, 0, 1))
    assert status.progress == (MOVED, 1)
