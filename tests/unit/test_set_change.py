"""Check the proposed changes of the replica set."""

from attrs import evolve

from jasminewheel._internal.conversation.replica_set import (
    NO_SET,
    Replica,
    ReplicaSet,
)
from jasminewheel._internal.conversation.set_change import (
    ABSENCE_TIMEOUT_SECONDS,
    BOOTSTRAP_TIMEOUT_SECONDS,
    Candidate,
    SetView,
    next_set,
)

NOW = 100.0


def _replica(vm: str, disk: str = '', zone: str = 'z') -> Replica:
    return Replica(disk or f'disk-{vm}', vm, f'{vm}:1', zone)


ONE, TWO, THREE, FOUR = map(_replica, 'abcd')
SET = ReplicaSet(7, (ONE, TWO, THREE))


def _view(replica_set=SET, live=(ONE, TWO, THREE), **changes) -> SetView:
    candidates = {one.vm: Candidate(one) for one in live}
    view = SetView(replica_set, candidates, {}, frozenset(), 3, True, NOW - 1)
    return evolve(view, **changes)


def test_whole_set_stays():
    """No change is proposed while all members are listed."""
    assert next_set(_view(), NOW) is None
    assert next_set(_view(live=(ONE, TWO, THREE, FOUR)), NOW) is None


def test_set_forms_once_enough_disks_are_there():
    """The first start waits for all disks up to a time limit."""
    early = _view(NO_SET, (ONE, TWO))
    assert next_set(early, NOW) is None
    assert next_set(early, NOW + BOOTSTRAP_TIMEOUT_SECONDS).members == (
        ONE,
        TWO,
    )
    assert next_set(_view(NO_SET), NOW).members == (ONE, TWO, THREE)
    assert next_set(_view(NO_SET, may_bootstrap=False), NOW) is None


def test_set_forms_across_zones():
    """Disks of different availability zones are preferred."""
    one, two = _replica('a', zone='x'), _replica('b', zone='x')
    three, four = _replica('c', zone='y'), _replica('d', zone='w')
    formed = next_set(_view(NO_SET, (one, two, three, four)), NOW)
    assert {member.zone for member in formed.members} == {'x', 'y', 'w'}


def test_empty_disk_on_the_same_vm_replaces_the_lost_one():
    """A VM that lost its disk rejoins with its new one."""
    fresh = _replica('a', 'fresh')
    proposed = next_set(_view(live=(fresh, TWO, THREE)), NOW)
    assert proposed.members == (ONE, TWO, THREE)
    assert proposed.joining == (TWO, THREE, fresh)
    assert proposed.replicas_to_catch_up() == (fresh,)


def test_absent_member_is_replaced_by_a_free_disk():
    """A disk is replaced only after the absence timeout."""
    short = {ONE.disk_id: NOW - ABSENCE_TIMEOUT_SECONDS / 2}
    long = {ONE.disk_id: NOW - ABSENCE_TIMEOUT_SECONDS}
    live = (TWO, THREE, FOUR)
    assert next_set(_view(live=live, absent_since=short), NOW) is None
    proposed = next_set(_view(live=live, absent_since=long), NOW)
    assert proposed.joining == (TWO, THREE, FOUR)
    assert next_set(_view(live=(TWO, THREE), absent_since=long), NOW) is None


def test_change_ends_when_newcomers_have_copied():
    """A change finishes only after its joining replica copied for it."""
    change = ReplicaSet(8, (ONE, TWO, THREE), (TWO, THREE, FOUR))
    view = _view(change, (TWO, THREE, FOUR))
    assert next_set(view, NOW) is None
    older = {**view.candidates, 'd': Candidate(FOUR, 7)}
    assert next_set(evolve(view, candidates=older), NOW) is None
    copied = {**view.candidates, 'd': Candidate(FOUR, 8)}
    finished = next_set(evolve(view, candidates=copied), NOW)
    assert finished.members == (TWO, THREE, FOUR)
    assert not finished.joining


def test_change_is_given_up_when_its_newcomer_goes():
    """A change is abandoned if its joining replica is absent or replaced."""
    change = ReplicaSet(8, (ONE, TWO, THREE), (TWO, THREE, FOUR))
    gone = _view(change, (TWO, THREE), absent_since={FOUR.disk_id: NOW - 5})
    assert next_set(gone, NOW) == ReplicaSet(8, (ONE, TWO, THREE))
    wiped = _view(change, (TWO, THREE, _replica('d', 'fresh')))
    assert next_set(wiped, NOW) == ReplicaSet(8, (ONE, TWO, THREE))


def test_retiring_vm_is_replaced_or_dropped():
    """A retiring VM is removed from the set and not added again."""
    retiring = frozenset('a')
    swapped = next_set(
        _view(live=(ONE, TWO, THREE, FOUR), retiring=retiring), NOW
    )
    assert swapped.joining == (TWO, THREE, FOUR)
    shrunk = next_set(_view(retiring=retiring), NOW)
    assert shrunk.joining == (TWO, THREE)
    assert shrunk.replicas_to_catch_up() == (TWO, THREE)
    after = ReplicaSet(9, (TWO, THREE))
    assert next_set(_view(after, retiring=retiring), NOW) is None


def test_small_set_grows():
    """A free disk is added to a set below its size."""
    small = ReplicaSet(9, (TWO, THREE))
    proposed = next_set(_view(small, (TWO, THREE, FOUR)), NOW)
    assert proposed.joining == (TWO, THREE, FOUR)


def test_quorum_needs_both_sets_during_a_change():
    """A majority of only one of the two configurations is no quorum."""
    change = ReplicaSet(8, (ONE, TWO, THREE), (TWO, THREE, FOUR))
    assert change.has_quorum({'disk-b', 'disk-c'})
    assert not change.has_quorum({'disk-a', 'disk-b'})
    assert not NO_SET.has_quorum(set())


def test_stored_set_reads_back():
    """A set is unchanged after encoding and decoding."""
    change = ReplicaSet(8, (ONE, TWO, THREE), (TWO, THREE, FOUR))
    assert ReplicaSet.from_text(change.to_text(), 8) == change


def test_last_disks_that_bear_a_loss_are_not_emptied():
    """A retiring VM stays if the loss of one more disk could lose data."""
    pair = ReplicaSet(9, (TWO, THREE))
    live = (TWO, THREE)
    assert next_set(_view(pair, live, retiring=frozenset('b')), NOW) is None
    more = _view(pair, (TWO, THREE, FOUR), retiring=frozenset('b'))
    assert next_set(more, NOW).joining == (THREE, FOUR)


def test_as_many_as_meet_every_write_suffice_to_read():
    """One of two members, or two of three, intersect every majority."""
    pair = ReplicaSet(9, (TWO, THREE))
    assert pair.is_read_quorum({'disk-b'})
    assert not pair.has_quorum({'disk-b'})
    assert not SET.is_read_quorum({'disk-b'})
    assert SET.is_read_quorum({'disk-b', 'disk-c'})
    assert not NO_SET.is_read_quorum(set())


def test_absence_is_known_from_both_sets_of_a_change():
    """Absence needs the joining disks too: the change may have finished."""
    change = ReplicaSet(8, (ONE, TWO, THREE), (TWO, THREE, FOUR))
    assert not change.proves_absence({'disk-a', 'disk-c'})
    assert change.proves_absence({'disk-a', 'disk-c', 'disk-d'})
    assert change.proves_absence({'disk-b', 'disk-c'})


def test_successor_keeps_the_spread_over_zones():
    """A free disk in an unused availability zone is preferred."""
    left, middle = _replica('a', zone='x'), _replica('b', zone='y')
    lost = _replica('c', zone='w')
    same, other = _replica('d', zone='x'), _replica('e', zone='w')
    view = _view(
        ReplicaSet(7, (left, middle, lost)),
        (left, middle, same, other),
        absent_since={lost.disk_id: NOW - 5},
    )
    assert next_set(view, NOW).joining == (left, middle, other)


def test_disks_lost_together_are_replaced_in_one_change():
    """Disks lost together are replaced at once.

    The set cannot tolerate a further loss until they are, so that period lasts
    for one copy rather than two.
    """
    five = tuple(map(_replica, 'abcde'))
    fresh = (_replica('a', 'fresh-a'), _replica('b', 'fresh-b'))
    view = _view(ReplicaSet(7, five), (*fresh, *five[2:]), wanted_size=5)
    proposed = next_set(view, NOW)
    assert set(proposed.joining) == {*fresh, *five[2:]}
    assert set(proposed.replicas_to_catch_up()) == set(fresh)


def test_no_more_are_replaced_at_once_than_may_be_lost():
    """The remaining members are a majority of the next set."""
    five = tuple(map(_replica, 'abcde'))
    fresh = tuple(_replica(vm, f'fresh-{vm}') for vm in 'abc')
    view = _view(ReplicaSet(7, five), (*fresh, *five[3:]), wanted_size=5)
    assert len(next_set(view, NOW).replicas_to_catch_up()) == 2


def test_only_disk_can_be_replaced():
    """The only member moves to a free disk if its VM is retiring."""
    view = _view(ReplicaSet(7, (ONE,)), (ONE, TWO), wanted_size=1)
    moved = next_set(evolve(view, retiring=frozenset('a')), NOW)
    assert moved.joining == (TWO,)
