"""Describe a member of the fleet."""

from enum import IntEnum

from attrs import evolve, frozen

from jasminewheel._internal.wire.gen.membership.ttypes import MemberRecord

ENTRY = 'entry'
HISTORY = 'history'


class MemberState(IntEnum):
    """Order what is said of one incarnation; the later overrides."""

    alive = 0
    suspect = 1
    dead = 2


@frozen
class Member:
    """Hold what a member says of itself and how others find it.

    The incarnation is raised by the member only, to refute what is said of
    an earlier one or to say that it is leaving. The accuser is who suspects
    the member or declared it dead; empty for the member itself.
    """

    member: str
    incarnation: int
    zone: str
    region: str
    peer_address: str
    roles: tuple[str, ...]
    state: MemberState = MemberState.alive
    leaving: bool = False
    accuser: str = ''

    @property
    def live(self) -> bool:
        """Return whether the member is not known to be dead."""
        return self.state is not MemberState.dead

    @property
    def rank(self) -> tuple[int, int]:
        """Return the order in which news of one member override others."""
        return (self.incarnation, self.state.value)

    @property
    def left(self) -> bool:
        """Return whether the member itself said that it is gone."""
        return not self.live and not self.accuser

    def accused(self, state: MemberState, accuser: str) -> 'Member':
        """Return the member as another sees it."""
        return evolve(self, state=state, accuser=accuser)


def write_member(member: Member) -> MemberRecord:
    """Return the member as sent to peers."""
    return MemberRecord(
        member=member.member,
        incarnation=member.incarnation,
        state=member.state.name,
        zone=member.zone,
        region=member.region,
        peer_address=member.peer_address,
        roles=list(member.roles),
        accuser=member.accuser,
        leaving=member.leaving,
    )


def read_member(record: MemberRecord) -> Member:
    """Return a member as received; raise KeyError for an unknown state."""
    return Member(
        member=record.member,
        incarnation=record.incarnation,
        zone=record.zone or '',
        region=record.region or '',
        peer_address=record.peer_address,
        roles=tuple(record.roles or ()),
        state=MemberState[record.state],
        leaving=bool(record.leaving),
        accuser=record.accuser or '',
    )
