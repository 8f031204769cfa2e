"""Check what is proposed for the replica set."""

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
    """Nothing is proposed while all members live."""
    assert next_set(_view(), NOW) is None
    assert next_set(_view(live=(ONE, TWO, THREE, FOUR)), NOW) is None


def test_set_forms_once_enough_disks_are_there():
    """The first start waits for all, but not for ever."""
    early = _view(NO_SET, (ONE, TWO))
    assert next_set(early, NOW) is None
    assert next_set(early, NOW + BOOTSTRAP_TIMEOUT_SECONDS).members == (
        ONE,
        TWO,
    )
    assert next_set(_view(NO_SET), NOW).members == (ONE, TWO, THREE)
    assert next_set(_view(NO_SET, may_bootstrap=False), NOW) is None


def test_set_forms_across_zones():
    """Disks of different availability zones are taken first."""
    one, two = _replica('a', zone='x'), _replica('b', zone='x')
    three, four = _replica('c', zone='y'), _replica('d', zone='w')
    formed = next_set(_view(NO_SET, (one, two, three, four)), NOW)
    assert {member.zone for member in formed.members} == {'x', 'y', 'w'}


def test_empty_disk_on_the_same_vm_replaces_the_lost_one():
    """A VM that lost its disk joins anew in the place of its old disk."""
    fresh = _replica('a', 'fresh')
    proposed = next_set(_view(live=(fresh, TWO, THREE)), NOW)
    assert proposed.members == (ONE, TWO, THREE)
    assert proposed.joining == (TWO, THREE, fresh)
    assert proposed.replicas_to_catch_up() == (fresh,)


def test_absent_member_is_replaced_by_a_free_disk():
    """Only a disk that has been away for a while is replaced."""
    short = {ONE.disk_id: NOW - ABSENCE_TIMEOUT_SECONDS / 2}
    long = {ONE.disk_id: NOW - ABSENCE_TIMEOUT_SECONDS}
    live = (TWO, THREE, FOUR)
    assert next_set(_view(live=live, absent_since=short), NOW) is None
    proposed = next_set(_view(live=live, absent_since=long), NOW)
    assert proposed.joining == (TWO, THREE, FOUR)
    assert next_set(_view(live=(TWO, THREE), absent_since=long), NOW) is None


def test_change_ends_when_newcomers_have_copied():
    """A newcomer that has not copied this change holds it up."""
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
    """A change whose newcomer died or lost its disk is taken back."""
    change = ReplicaSet(8, (ONE, TWO, THREE), (TWO, THREE, FOUR))
    gone = _view(change, (TWO, THREE), absent_since={FOUR.disk_id: NOW - 5})
    assert next_set(gone, NOW) == ReplicaSet(8, (ONE, TWO, THREE))
    wiped = _view(change, (TWO, THREE, _replica('d', 'fresh')))
    assert next_set(wiped, NOW) == ReplicaSet(8, (ONE, TWO, THREE))


def test_retiring_vm_is_replaced_or_dropped():
    """An emptied VM leaves the set, and never comes back into it."""
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
    """A set below its size takes free disks."""
    small = ReplicaSet(9, (TWO, THREE))
    proposed = next_set(_view(small, (TWO, THREE, FOUR)), NOW)
    assert proposed.joining == (TWO, THREE, FOUR)


def test_quorum_needs_both_sets_during_a_change():
    """A majority of only one of the two is none."""
    change = ReplicaSet(8, (ONE, TWO, THREE), (TWO, THREE, FOUR))
    assert change.has_quorum({'disk-b', 'disk-c'})
    assert not change.has_quorum({'disk-a', 'disk-b'})
    assert not NO_SET.has_quorum(set())


def test_stored_set_reads_back():
    """A set survives being stored."""
    change = ReplicaSet(8, (ONE, TWO, THREE), (TWO, THREE, FOUR))
    assert ReplicaSet.from_text(change.to_text(), 8) == change


def test_last_disks_that_bear_a_loss_are_not_emptied():
    """A VM is not emptied where the loss of one more disk would lose all."""
    pair = ReplicaSet(9, (TWO, THREE))
    live = (TWO, THREE)
    assert next_set(_view(pair, live, retiring=frozenset('b')), NOW) is None
    more = _view(pair, (TWO, THREE, FOUR), retiring=frozenset('b'))
    assert next_set(more, NOW).joining == (THREE, FOUR)


def test_as_many_as_meet_every_write_suffice_to_read():
    """Of two members each holds all; of three, two meet every majority."""
    pair = ReplicaSet(9, (TWO, THREE))
    assert pair.is_read_quorum({'disk-b'})
    assert not pair.has_quorum({'disk-b'})
    assert not SET.is_read_quorum({'disk-b'})
    assert SET.is_read_quorum({'disk-b', 'disk-c'})
    assert not NO_SET.is_read_quorum(set())


def test_absence_is_known_from_both_sets_of_a_change():
    """A change may have ended unseen, so its joining disks are asked too."""
    change = ReplicaSet(8, (ONE, TWO, THREE), (TWO, THREE, FOUR))
    assert not change.proves_absence({'disk-a', 'disk-c'})
    assert change.proves_absence({'disk-a', 'disk-c', 'disk-d'})
    assert change.proves_absence({'disk-b', 'disk-c'})


def test_successor_keeps_the_spread_over_zones():
    """Of several free disks one in an unused availability zone is taken."""
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
    """The time in which no further loss is borne is that of one copy."""
    five = tuple(map(_replica, 'abcde'))
    fresh = (_replica('a', 'fresh-a'), _replica('b', 'fresh-b'))
    view = _view(ReplicaSet(7, five), (*fresh, *five[2:]), wanted_size=5)
    proposed = next_set(view, NOW)
    assert set(proposed.joining) == {*fresh, *five[2:]}
    assert set(proposed.replicas_to_catch_up()) == set(fresh)


def test_no_more_are_replaced_at_once_than_may_be_lost():
    """Those that stay hold a majority of the set to come."""
    five = tuple(map(_replica, 'abcde'))
    fresh = tuple(_replica(vm, f'fresh-{vm}') for vm in 'abc')
    view = _view(ReplicaSet(7, five), (*fresh, *five[3:]), wanted_size=5)
    assert len(next_set(view, NOW).replicas_to_catch_up()) == 2


def test_only_disk_can_be_replaced():
    """A set of one follows a VM that is to be emptied."""
    view = _view(ReplicaSet(7, (ONE,)), (ONE, TWO), wanted_size=1)
    moved = next_set(evolve(view, retiring=frozenset('a')), NOW)
    assert moved.joining == (TWO,)
