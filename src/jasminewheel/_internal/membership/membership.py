"""Look up live members, their addresses and preferred slot owners."""

from attrs import define, field

from jasminewheel._internal.membership.member import ENTRY, Member
from jasminewheel._internal.membership.rendezvous import rank_members
from jasminewheel._internal.membership.rings import successors
from jasminewheel._internal.membership.table import MemberTable
from jasminewheel.errors import UnavailableError


@define
class Membership:
    """Query the table of members; cache rankings until it changes.

    Members that the platform lists as leaving are ranked last as owners, like
    members that have announced it themselves.
    """

    table: MemberTable
    listed_leaving: frozenset[str] = frozenset()
    cached_sequence: int = -1
    rankings: dict[str, list[Member]] = field(factory=dict)

    @property
    def local_member(self) -> Member:
        """Return the member that this process is."""
        return self.table.local_member

    def live(self, role: str = '') -> list[Member]:
        """Return the members of a role that are not dead, or of any role."""
        return [
            member
            for member in self.table.live()
            if not role or role in member.roles
        ]

    def address_of(self, member: str) -> str:
        """Return `ip:port` of a member; raise UnavailableError if unknown."""
        found = self.table.get(member)
        if found is None:
            raise UnavailableError(f'no member named {member}')
        return found.peer_address

    def preferred_owner(self, slot: int) -> Member:
        """Return the live entry that should own the slot."""
        ranked = self.preferred(f'slot-{slot}')
        if not ranked:
            raise UnavailableError('no live entry')
        return ranked[0]

    def preferred(self, subject: str) -> list[Member]:
        """Return the live entries by preference for a subject."""
        if self.cached_sequence != self.table.sequence:
            self.rankings.clear()
            self.cached_sequence = self.table.sequence
        if subject not in self.rankings:
            ranked = rank_members(subject, self.live(ENTRY))
            ranked.sort(key=self.is_leaving)
            self.rankings[subject] = ranked
        return self.rankings[subject]

    def is_leaving(self, member: Member) -> bool:
        """Return whether a member is leaving or listed as leaving."""
        return member.leaving or member.member in self.listed_leaving

    def set_leaving_hint(self, members: frozenset[str]) -> None:
        """Set the members that the platform lists as leaving."""
        if members != self.listed_leaving:
            self.listed_leaving = members
            self.rankings.clear()

    def successors(self) -> list[Member]:
        """Return the peers to which this member sends heartbeats."""
        live = {member.member: member for member in self.table.live()}
        return [
            live[name] for name in successors(self.local_member.member, live)
        ]
