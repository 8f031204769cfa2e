"""Check which updates take precedence in the table of members."""

from jasminewheel._internal.membership.gossip import Gossip, Versions
from jasminewheel._internal.membership.member import (
    ENTRY,
    Member,
    MemberState,
)
from jasminewheel._internal.membership.membership import Membership
from jasminewheel._internal.membership.rings import RINGS, successors
from jasminewheel._internal.membership.table import (
    CONFIRMED_SUSPICION_SECONDS,
    SUSPICION_SECONDS,
    MemberTable,
    Merge,
)

NO_VERSIONS = Versions(0, 0)


def member(name, incarnation=1, **fields):
    """Return a member."""
    return Member(
        name,
        incarnation,
        'brum-a',
        'west-mids',
        f'at {name}',
        (ENTRY,),
        **fields,
    )


def suspect(name, accuser):
    """Return a member suspected by accuser."""
    return member(name, state=MemberState.suspect, accuser=accuser)


def table(name, *others):
    """Return the table of a member that knows some others."""
    made = MemberTable(member(name), 1)
    for other in others:
        made.merge(member(other), 0)
    return made


def test_suspicion_expires_after_its_timeout():
    """With one accuser the suspicion timeout is longer than with two."""
    one, two = table('own', 'a'), table('own', 'a')
    for each in (one, two):
        each.merge(suspect('a', 'x'), 10)
    two.merge(suspect('a', 'y'), 10.1)
    assert not two.expire(10 + CONFIRMED_SUSPICION_SECONDS - 0.1)
    assert two.expire(10 + CONFIRMED_SUSPICION_SECONDS)
    assert not one.expire(10 + SUSPICION_SECONDS - 0.1)
    assert one.expire(10 + SUSPICION_SECONDS)
    assert {each.member for each in one.live()} == {'own'}


def test_own_suspicion_is_refuted():
    """A member raises its incarnation when it is suspected."""
    own, other = table('own', 'a'), table('a', 'own')
    assert own.merge(suspect('own', 'a'), 1) is Merge.refuted
    other.merge(suspect('own', 'a'), 1)
    assert other.merge(own.local_member, 2) is Merge.changed
    assert other.get('own').state is MemberState.alive
    assert other.merge(suspect('own', 'x'), 3) is Merge.stale


def test_a_replaced_process_does_not_refute():
    """A resumed process detects that another one has taken its name."""
    own = table('own')
    newer = Member('own', 9, 'brum-a', 'west-mids', 'elsewhere', (ENTRY,))
    assert own.merge(newer, 1) is Merge.stale
    assert own.superseded


def test_unsuspected_death_becomes_a_suspicion():
    """After a partition, members reported dead get time to refute it."""
    own = table('own', 'a')
    dead = member('a', state=MemberState.dead, accuser='x')
    own.merge(dead, 5)
    assert own.get('a').state is MemberState.suspect
    own.merge(dead, 6)
    assert own.get('a').state is MemberState.dead


def test_leaving_takes_effect_at_once():
    """A member that announces that it left is dead without a timeout."""
    own, other = table('own', 'a'), table('a', 'own')
    own.mark_leaving(1, gone=True)
    other.merge(own.local_member, 2)
    assert other.get('own').left
    assert not other.get('own').live


def test_pause_restarts_suspicion_timers():
    """A process that was paused restarts the timeouts of suspects."""
    own = table('own', 'a')
    own.merge(suspect('a', 'own'), 1)
    own.restart_suspicion_timers(100)
    assert not own.expire(101)


def test_changes_cross_a_link_once():
    """A second heartbeat carries only what changed since."""
    left = Gossip(table('left', 'a', 'b'))
    right = Gossip(table('right'))
    right.apply_heartbeat(left.build_heartbeat('right', NO_VERSIONS), 1)
    left.apply_heartbeat(right.build_heartbeat('left', NO_VERSIONS), 1)
    assert left.build_heartbeat('right', NO_VERSIONS).changes == []
    left.table.merge(member('c'), 2)
    sent = left.build_heartbeat('right', NO_VERSIONS).changes
    assert [record.member for record in sent] == ['c']


def test_a_restarted_peer_gets_all():
    """A peer that lost its table receives the whole one again."""
    left = Gossip(table('left', 'a', 'b'))
    right = Gossip(table('right'))
    right.apply_heartbeat(left.build_heartbeat('right', NO_VERSIONS), 1)
    left.apply_heartbeat(right.build_heartbeat('left', NO_VERSIONS), 1)
    restarted = Gossip(MemberTable(member('right', 5000), 5000))
    heartbeat = left.build_heartbeat('right', NO_VERSIONS)
    restarted.apply_heartbeat(heartbeat, 2)
    left.apply_heartbeat(restarted.build_heartbeat('left', NO_VERSIONS), 2)
    restarted.apply_heartbeat(left.build_heartbeat('right', NO_VERSIONS), 3)
    assert restarted.table.get('a')


def test_rings_join_all_in_few_steps():
    """Updates reach all members over the rings in few steps."""
    names = [f'vm-{number}' for number in range(350)]
    peers = {name: successors(name, names) for name in names}
    assert all(len(set(peers[name])) == RINGS for name in names)
    reached, steps = {'vm-0'}, 0
    while len(reached) < len(names):
        reached |= {peer for name in reached for peer in peers[name]}
        steps += 1
    assert steps <= 10


def test_preferred_owners_move_little():
    """Only the slots of a dead member change their preferred owner."""
    own = table('own', 'a', 'b', 'c')
    membership = Membership(own)
    before = [membership.preferred_owner(slot) for slot in range(200)]
    own.merge(suspect('b', 'own'), 1)
    own.expire(100)
    after = [membership.preferred_owner(slot) for slot in range(200)]
    for earlier, later in zip(before, after, strict=True):
        assert earlier.member == 'b' or earlier == later
    membership.set_leaving_hint(frozenset(('a',)))
    owners = {membership.preferred_owner(slot).member for slot in range(200)}
    assert owners == {'own', 'c'}
