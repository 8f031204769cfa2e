"""Build and apply heartbeats so that each change crosses a link once."""

from attrs import define, field, frozen

from jasminewheel._internal.membership.member import (
    Member,
    read_member,
    write_member,
)
from jasminewheel._internal.membership.table import MemberTable, Merge
from jasminewheel._internal.wire.gen.membership.ttypes import Heartbeat

MAX_CHANGES = 400


@define
class PeerProgress:
    """Track how far a peer and this member have exchanged their tables.

    acknowledged: the last sequence number of this table that the peer merged.
    merged: the last sequence number of the peer's table merged here.
    """

    acknowledged: int = 0
    merged: int = 0


@frozen
class Versions:
    """Represent the versions that a heartbeat carries."""

    configuration: int
    placement: int


@define
class Gossip:
    """Build heartbeats for peers and apply received ones."""

    table: MemberTable
    progress: dict[str, PeerProgress] = field(factory=dict)

    def build_heartbeat(self, peer: str, versions: Versions) -> Heartbeat:
        """Return the heartbeat for a peer; a new peer gets the whole table."""
        progress = self.progress.setdefault(peer, PeerProgress())
        base = progress.acknowledged
        if base > self.table.sequence:
            base = 0
        entries = [
            entry
            for entry in self.table.changes_after(base)
            if entry.source != peer or not base
        ]
        sequence = self.table.sequence
        if len(entries) > MAX_CHANGES:
            entries = entries[:MAX_CHANGES]
            sequence = entries[-1].sequence
        return Heartbeat(
            sender=write_member(self.table.local_member),
            base=base,
            sequence=sequence,
            merged=progress.merged,
            changes=[write_member(entry.member) for entry in entries],
            configuration_version=versions.configuration,
            placement_epoch=versions.placement,
        )

    def apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> list[Member]:
        """Merge a peer's heartbeat; return the changed members."""
        sender = read_member(heartbeat.sender)
        progress = self.progress.setdefault(sender.member, PeerProgress())
        progress.acknowledged = heartbeat.merged
        if heartbeat.base <= progress.merged:
            progress.merged = heartbeat.sequence
        else:
            progress.merged = 0
        updates = [sender, *map(read_member, heartbeat.changes or ())]
        return [
            member
            for member in updates
            if self.merge(sender.member, member, now) is not Merge.stale
        ]

    def merge(self, source: str, member: Member, now: float) -> Merge:
        """Merge an update; record its source, which needs no copy of it."""
        outcome = self.table.merge(member, now)
        if outcome is Merge.changed:
            self.table.entries[member.member].source = source
        return outcome

    def prune_progress(self) -> None:
        """Drop the progress of peers that are no longer members."""
        for name in self.progress.keys() - self.table.entries.keys():
            self.progress.pop(name)
