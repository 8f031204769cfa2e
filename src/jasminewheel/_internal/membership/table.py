"""Keep what is known of all members and decide what overrides what."""

from enum import Enum

from attrs import define, evolve, field

from jasminewheel._internal.membership.member import Member, MemberState

SUSPICION_SECONDS = 6.0
CONFIRMED_SUSPICION_SECONDS = 2.0
CONFIRMING_ACCUSERS = 2
DEAD_RETENTION_SECONDS = 3600.0


class Merge(Enum):
    """Say what news of a member did to the table."""

    stale = 'stale'
    changed = 'changed'
    refuted = 'refuted'


@define
class TableEntry:
    """Hold a member with when and in which order it changed.

    The source is the peer that told of it, empty for this member itself.
    """

    member: Member
    sequence: int
    since: float
    accusers: set[str] = field(factory=set)
    source: str = ''


@define
class MemberTable:
    """Hold all members as this one knows them; it always knows itself.

    Sequence numbers order the changes of this table. They start at a time,
    so that those of a restarted process are above its earlier ones.
    """

    local_member: Member
    sequence: int
    entries: dict[str, TableEntry] = field(factory=dict)
    superseded: bool = False

    def __attrs_post_init__(self) -> None:
        """Enter the own member."""
        self.put(self.local_member, 0)

    def get(self, name: str) -> Member | None:
        """Return a member that is known."""
        entry = self.entries.get(name)
        return entry.member if entry else None

    def live(self) -> list[Member]:
        """Return the members that are not dead."""
        members = [entry.member for entry in self.entries.values()]
        return [member for member in members if member.live]

    def dead(self) -> list[Member]:
        """Return the members that are dead and not yet forgotten."""
        members = [entry.member for entry in self.entries.values()]
        return [member for member in members if not member.live]

    def merge(self, update: Member, now: float) -> Merge:
        """Take in news of a member unless known news override them."""
        if update.member == self.local_member.member:
            return self.refute(update, now)
        entry = self.entries.get(update.member)
        if entry is None:
            self.put(update, now)
            return Merge.changed
        if update.rank == entry.member.rank:
            return self.add_accuser(entry, update)
        if update.rank < entry.member.rank:
            return Merge.stale
        self.put(_demote_unconfirmed_death(entry.member, update), now)
        return Merge.changed

    def refute(self, update: Member, now: float) -> Merge:
        """Refute news that contradict this member."""
        if update.rank <= self.local_member.rank:
            return Merge.stale
        moved = update.peer_address != self.local_member.peer_address
        if moved and update.state is MemberState.alive:
            # A process that replaced this one has its name.
            self.superseded = True
            return Merge.stale
        self.local_member = evolve(
            self.local_member, incarnation=update.incarnation + 1
        )
        self.put(self.local_member, now)
        return Merge.refuted

    def add_accuser(self, entry: TableEntry, update: Member) -> Merge:
        """Count one more accuser of a suspect."""
        if entry.member.state is not MemberState.suspect:
            return Merge.stale
        if update.accuser in entry.accusers:
            return Merge.stale
        entry.accusers.add(update.accuser)
        entry.member = update
        self.sequence += 1
        entry.sequence = self.sequence
        return Merge.changed

    def set_peer_address(self, peer_address: str) -> None:
        """Take the address that this member came to listen on."""
        self.local_member = evolve(self.local_member, peer_address=peer_address)
        self.put(self.local_member, 0)

    def mark_leaving(self, now: float, *, gone: bool = False) -> None:
        """Say that this member takes no new work, or that it is gone."""
        self.local_member = evolve(
            self.local_member,
            incarnation=self.local_member.incarnation + 1,
            leaving=True,
            state=MemberState.dead if gone else self.local_member.state,
        )
        self.put(self.local_member, now)

    def suspect(self, name: str, now: float) -> bool:
        """Accuse a member that does not answer; tell whether this is new."""
        entry = self.entries.get(name)
        if entry is None or not entry.member.live:
            return False
        accused = entry.member.accused(
            MemberState.suspect, self.local_member.member
        )
        return self.merge(accused, now) is Merge.changed

    def expire(self, now: float) -> list[Member]:
        """Declare dead the suspects whose time is over; return them."""
        expired = [
            entry.member.accused(MemberState.dead, self.local_member.member)
            for entry in self.entries.values()
            if _is_suspicion_expired(entry, now)
        ]
        for member in expired:
            self.put(member, now)
        for entry in tuple(self.entries.values()):
            if _is_prunable(entry, now):
                self.entries.pop(entry.member.member)
        return expired

    def restart_suspicion_timers(self, now: float) -> None:
        """Give suspects their time again after this process was paused."""
        for entry in self.entries.values():
            entry.since = now

    def changes_after(self, sequence: int) -> list[TableEntry]:
        """Return the entries that changed after a sequence number."""
        changed = [
            entry
            for entry in self.entries.values()
            if entry.sequence > sequence
        ]
        changed.sort(key=lambda entry: entry.sequence)
        return changed

    def put(self, member: Member, now: float) -> None:
        """Enter a member as changed now."""
        self.sequence += 1
        accusers = {member.accuser} if member.accuser else set()
        self.entries[member.member] = TableEntry(
            member,
            self.sequence,
            now,
            accusers,
        )


def _demote_unconfirmed_death(known: Member, update: Member) -> Member:
    """Take a death that was not suspected here as a suspicion.

    Parts of the fleet that were cut off from each other have declared each
    other dead; so the members get the time to refute it.
    """
    same = update.incarnation == known.incarnation
    unsuspected = known.state is MemberState.alive
    if same and unsuspected and update.accuser and not update.live:
        return update.accused(MemberState.suspect, update.accuser)
    return update


def _is_suspicion_expired(entry: TableEntry, now: float) -> bool:
    if entry.member.state is not MemberState.suspect:
        return False
    enough = len(entry.accusers) >= CONFIRMING_ACCUSERS
    seconds = CONFIRMED_SUSPICION_SECONDS if enough else SUSPICION_SECONDS
    return now - entry.since >= seconds


def _is_prunable(entry: TableEntry, now: float) -> bool:
    return not entry.member.live and now - entry.since >= DEAD_RETENTION_SECONDS
