"""Keep the state of all members and decide which updates take precedence."""

from enum import Enum

from attrs import define, evolve, field

from jasminewheel._internal.membership.member import Member, MemberState

SUSPICION_SECONDS = 6.0
CONFIRMED_SUSPICION_SECONDS = 2.0
CONFIRMING_ACCUSERS = 2
DEAD_RETENTION_SECONDS = 3600.0


class Merge(Enum):
    """Report the effect of an update on the table."""

    stale = 'stale'
    changed = 'changed'
    refuted = 'refuted'


@define
class TableEntry:
    """Represent a member with the time and order of its last change.

    The source is the peer that reported the change; it is empty for changes
    that this member made.
    """

    member: Member
    sequence: int
    since: float
    accusers: set[str] = field(factory=set)
    source: str = ''


@define
class MemberTable:
    """Store the known state of all members, including the local one.

    Sequence numbers order the changes of this table. They start at a
    timestamp, so that a restarted process continues above its earlier ones.
    """

    local_member: Member
    sequence: int
    entries: dict[str, TableEntry] = field(factory=dict)
    superseded: bool = False

    def __attrs_post_init__(self) -> None:
        """Add the local member."""
        self.put(self.local_member, 0)

    def get(self, name: str) -> Member | None:
        """Return a member by name, or None."""
        entry = self.entries.get(name)
        return entry.member if entry else None

    def live(self) -> list[Member]:
        """Return the members that are not dead."""
        members = [entry.member for entry in self.entries.values()]
        return [member for member in members if member.live]

    def dead(self) -> list[Member]:
        """Return the dead members that are still retained."""
        members = [entry.member for entry in self.entries.values()]
        return [member for member in members if not member.live]

    def merge(self, update: Member, now: float) -> Merge:
        """Apply an update of a member unless the known state overrides it."""
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
        """Refute an update that contradicts the local member's state."""
        if update.rank <= self.local_member.rank:
            return Merge.stale
        moved = update.peer_address != self.local_member.peer_address
        if moved and update.state is MemberState.alive:
            # Another process has replaced this one under the same name.
            self.superseded = True
            return Merge.stale
        self.local_member = evolve(
            self.local_member, incarnation=update.incarnation + 1
        )
        self.put(self.local_member, now)
        return Merge.refuted

    def add_accuser(self, entry: TableEntry, update: Member) -> Merge:
        """Record a further accuser of a suspected member."""
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
        """Set the address on which the local member listens."""
        self.local_member = evolve(self.local_member, peer_address=peer_address)
        self.put(self.local_member, 0)

    def mark_leaving(self, now: float, *, gone: bool = False) -> None:
        """Mark the local member as leaving, or as gone."""
        self.local_member = evolve(
            self.local_member,
            incarnation=self.local_member.incarnation + 1,
            leaving=True,
            state=MemberState.dead if gone else self.local_member.state,
        )
        self.put(self.local_member, now)

    def suspect(self, name: str, now: float) -> bool:
        """Suspect an unresponsive member; return whether the table changed."""
        entry = self.entries.get(name)
        if entry is None or not entry.member.live:
            return False
        accused = entry.member.accused(
            MemberState.suspect, self.local_member.member
        )
        return self.merge(accused, now) is Merge.changed

    def expire(self, now: float) -> list[Member]:
        """Declare dead and return the members whose suspicion timed out.

        Also drop dead members at the end of their retention time.
        """
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
        """Restart all timeouts, since this process was paused itself."""
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
        """Store a member as changed now."""
        self.sequence += 1
        accusers = {member.accuser} if member.accuser else set()
        self.entries[member.member] = TableEntry(
            member,
            self.sequence,
            now,
            accusers,
        )


def _demote_unconfirmed_death(known: Member, update: Member) -> Member:
    """Turn a reported death into a suspicion unless it was suspected here.

    After a partition both sides have declared each other dead; this gives the
    members time to refute it.
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
