"""Describe a member of the fleet."""

from enum import IntEnum

from attrs import evolve, frozen

from jasminewheel._internal.wire.gen.membership.ttypes import MemberRecord

ENTRY = 'entry'
HISTORY = 'history'


class MemberState(IntEnum):
    """Order the states of one incarnation; a higher one overrides."""

    alive = 0
    suspect = 1
    dead = 2


@frozen
class Member:
    """Represent a member with its address, roles and state.

    Only the member itself raises its incarnation, to refute a suspicion of an
    earlier one or to announce that it is leaving. The accuser is the member
    that suspects this one or declared it dead; it is empty if the state comes
    from the member itself.
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
        """Return the precedence of this state among updates of the member."""
        return (self.incarnation, self.state.value)

    @property
    def left(self) -> bool:
        """Return whether the member itself announced that it left."""
        return not self.live and not self.accuser

    def accused(self, state: MemberState, accuser: str) -> 'Member':
        """Return the member in a state that another member reports."""
        return evolve(self, state=state, accuser=accuser)


def write_member(member: Member) -> MemberRecord:
    """Return the record of the member for peers."""
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
    """Return the member of a record; raise KeyError for unknown states."""
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
