"""Check when the owner of a slot is no longer waited for."""

from attrs import evolve

from jasminewheel._internal.replication.fence import Fence
from jasminewheel._internal.replication.replicas import ReplicaSets
from jasminewheel._internal.replication.stall_detector import (
    StallDetector,
    SlotCopyStatus,
)
from jasminewheel._internal.wire.gen.history.ttypes import SlotDescribed

PATIENCE_SECONDS = 10
SETS = ReplicaSets(2, ('h4', 'h2', 'h3'), ('h1', 'h2', 'h3'))
FORMER = Fence(1, 1, 'a', 'a-1')
MOVED = Fence(2, 1, 'a', 'a-1')


def seen(slot, fence, steps=0, copied_epoch=0):
    """Return a slot as three replicas tell of it."""
    view = SlotCopyStatus(slot, SETS)
    for replica in ('h1', 'h2', 'h4'):
        view.add(
            replica,
            SlotDescribed(fence.to_wire(), 0, copied_epoch, steps),
        )
    return view


def test_progress_with_one_slot_counts_for_all_of_the_owner():
    """An owner that copies its slots in turn is waited for at each."""
    watch = StallDetector(PATIENCE_SECONDS)
    waiting = seen(1, FORMER)
    for view in (waiting, seen(2, FORMER)):
        watch.update(view, 0)
    watch.update(seen(2, MOVED), 8)
    assert not watch.is_stalled(waiting, 17)
    watch.update(seen(2, MOVED, steps=3), 17)
    assert not watch.is_stalled(waiting, 26)
    assert watch.is_stalled(waiting, 27)


def test_owner_without_progress_is_stalled():
    """The same fence and the same steps again are no progress."""
    watch = StallDetector(PATIENCE_SECONDS)
    for now in (0, 5, 10):
        watch.update(seen(1, MOVED, steps=3), now)
    assert watch.is_stalled(seen(1, MOVED, steps=3), 10)


def test_owners_that_alternate_are_stalled():
    """A take-over is no progress, so that owners cannot alternate forever."""
    watch = StallDetector(PATIENCE_SECONDS)
    for now in range(PATIENCE_SECONDS + 1):
        member = 'ab'[now % 2]
        fence = evolve(MOVED, term=now + 1, member=member)
        watch.update(seen(1, fence), now)
    assert watch.is_stalled(seen(1, MOVED), PATIENCE_SECONDS)


def test_unseen_progress_is_no_stall():
    """A carrier that reaches no majority of the replicas does not judge."""
    watch = StallDetector(PATIENCE_SECONDS)
    watch.update(seen(1, MOVED), 0)
    blind = SlotCopyStatus(1, SETS)
    watch.update(blind, PATIENCE_SECONDS)
    assert not watch.is_stalled(blind, PATIENCE_SECONDS)
    assert watch.is_stalled(seen(1, MOVED), PATIENCE_SECONDS)


def test_replica_that_answers_again_is_no_progress():
    """What was known before counts once, however often it is missed."""
    watch = StallDetector(PATIENCE_SECONDS)
    for now in range(PATIENCE_SECONDS + 1):
        watch.update(seen(1, MOVED, steps=now % 2), now)
    assert watch.is_stalled(seen(1, MOVED), PATIENCE_SECONDS + 1)


def test_copied_slot_has_the_mark_at_both_majorities():
    """A mark of an earlier epoch does not count."""
    assert not seen(1, MOVED, copied_epoch=1).is_copied
    assert seen(1, MOVED, copied_epoch=2).is_copied
    partly = SlotCopyStatus(1, SETS)
    partly.add('h2', SlotDescribed(MOVED.to_wire(), 0, 2, 0))
    assert not partly.is_copied


def test_steps_of_an_older_fence_do_not_count():
    """The replica with the highest fence says how far its owner is."""
    view = seen(1, FORMER, steps=9)
    view.add('h3', SlotDescribed(MOVED.to_wire(), 0, 0, 1))
    assert view.progress == (MOVED, 1)
