"""Check by model that no committed turn is lost or reported as absent.

The quorum rules are those of the real replica sets. Messages are delivered one
by one, in any order, from clients that may use any recent set.
"""

from attrs import define, evolve, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from jasminewheel._internal.conversation.replica_set import (
    Replica,
    ReplicaSet,
)

SIZE = 3
PICK = st.integers(0, 63)


@define(eq=False)
class Disk:
    """Model one disk; a lost disk rejects all requests."""

    revision: int = 0
    turns: set[int] = field(factory=set)
    lost: bool = False

    def answers(self, revision: int) -> bool:
        """Return whether the disk accepts requests under this revision."""
        return not self.lost and revision >= self.revision

    def admits(self, revision: int) -> bool:
        """Accept a request and store its revision, unless outdated."""
        if not self.answers(revision):
            return False
        self.revision = revision
        return True


@define(eq=False)
class Write:
    """Model a turn that is being written to the replicas of a set."""

    turn: int
    used: ReplicaSet
    accepted: set[str] = field(factory=set)


class DisksAndSets(RuleBasedStateMachine):
    """Track the disks, all sets so far and the committed turns."""

    def __init__(self) -> None:
        """Start with three empty disks."""
        super().__init__()
        self.disks: dict[str, Disk] = {}
        members = tuple(self.new_disk(f'vm{number}') for number in range(SIZE))
        self.sets = [ReplicaSet(1, members)]
        self.writes: list[Write] = []
        self.committed: set[int] = set()
        self.copied: dict[str, set[str]] = {}

    @property
    def current(self) -> ReplicaSet:
        """Return the set in the store."""
        return self.sets[-1]

    def new_disk(self, vm: str) -> Replica:
        """Add an empty disk."""
        disk_id = f'{vm}-{len(self.disks)}'
        self.disks[disk_id] = Disk()
        return Replica(disk_id, vm, vm, 'z')

    def any_set(self, pick: int) -> ReplicaSet:
        """Return one of the last sets, which a client may still use."""
        return self.sets[-1 - pick % min(3, len(self.sets))]

    def propose(self, changed: ReplicaSet) -> None:
        """Put a set into the store."""
        self.sets.append(evolve(changed, revision=len(self.sets) + 1))
        self.copied = {}

    def check_read(self, used: ReplicaSet, skipped: Replica) -> None:
        """Check a read of the committed turns with one replica down."""
        answering = {
            one.disk_id: self.disks[one.disk_id].turns
            for one in used.replicas()
            if one != skipped and self.disks[one.disk_id].answers(used.revision)
        }
        found = set().union(*answering.values())
        unknown = not used.proves_absence(answering)
        assert unknown or self.committed <= found


class ReplicaSetModel(DisksAndSets):
    """Interleave writes, reads, lost disks and changes of the set."""

    @rule(pick=PICK)
    def start_write(self, pick: int) -> None:
        """Start writing a turn under one of the last sets."""
        self.writes.append(Write(len(self.writes), self.any_set(pick)))

    @precondition(lambda model: model.writes)
    @rule(pick=PICK, to=PICK)
    def deliver(self, pick: int, to: int) -> None:
        """Deliver one write to one replica."""
        write = self.writes[-1 - pick % min(4, len(self.writes))]
        replicas = write.used.replicas()
        replica = replicas[to % len(replicas)]
        disk = self.disks[replica.disk_id]
        if disk.admits(write.used.revision):
            disk.turns.add(write.turn)
            write.accepted.add(replica.disk_id)
        if write.used.has_quorum(write.accepted):
            self.committed.add(write.turn)

    @rule(pick=PICK, left_out=PICK)
    def write(self, pick: int, left_out: int) -> None:
        """Write a turn to all replicas of a set but one."""
        self.start_write(pick)
        replicas = self.writes[-1].used.replicas()
        for number, _ in enumerate(replicas):
            if number != left_out % len(replicas):
                self.deliver(0, number)

    @invariant()
    def committed_turns_are_never_called_absent(self) -> None:
        """Reads under recent sets are correct with any one replica down."""
        for used in self.sets[-3:]:
            for skipped in used.replicas():
                self.check_read(used, skipped)

    @precondition(lambda model: not model.current.joining)
    @rule(pick=PICK)
    def lose_disk(self, pick: int) -> None:
        """Lose one disk, if no other is lost; its VM joins with a new one."""
        members = self.current.members
        if any(self.disks[one.disk_id].lost for one in members):
            return
        gone = members[pick % len(members)]
        self.disks[gone.disk_id].lost = True
        others = [one for one in members if one != gone]
        fresh = self.new_disk(gone.vm)
        self.propose(self.current.changed([*others, fresh]))

    @precondition(lambda model: not model.current.joining)
    @rule(pick=PICK)
    def replace_live(self, pick: int) -> None:
        """Replace a member that may still answer."""
        members = self.current.members
        gone = members[pick % len(members)]
        others = [one for one in members if one != gone]
        fresh = self.new_disk(f'new{len(self.disks)}')
        self.propose(self.current.changed([*others, fresh]))

    @precondition(lambda model: not model.current.joining)
    @rule(pick=PICK)
    def empty_vm(self, pick: int) -> None:
        """Remove a member without a replacement, if the set is full."""
        members = self.current.members
        if len(members) < SIZE:
            return
        gone = members[pick % len(members)]
        others = [one for one in members if one != gone]
        self.propose(self.current.changed(others))

    @precondition(lambda model: not model.current.joining)
    @rule()
    def grow(self) -> None:
        """Add a member to a set below its size."""
        if len(self.current.members) < SIZE:
            fresh = self.new_disk(f'new{len(self.disks)}')
            joining = [*self.current.members, fresh]
            self.propose(self.current.changed(joining))

    @precondition(lambda model: model.current.joining)
    @rule(to=PICK, source=PICK)
    def copy(self, to: int, source: int) -> None:
        """Copy from one member to one replica that has to catch up."""
        waiting = self.current.replicas_to_catch_up()
        target = waiting[to % len(waiting)]
        member = self.current.members[source % len(self.current.members)]
        disk = self.disks[member.disk_id]
        own = self.disks[target.disk_id]
        revision = self.current.revision
        if own.admits(revision) and disk.admits(revision):
            own.turns |= disk.turns
            self.copied.setdefault(target.disk_id, set()).add(member.disk_id)

    @precondition(lambda model: model.current.joining)
    @rule()
    def finish(self) -> None:
        """Finish a change once its replicas have caught up."""
        ready = all(
            self.current.is_read_quorum(self.copied.get(one.disk_id, set()))
            for one in self.current.replicas_to_catch_up()
        )
        if ready:
            self.propose(self.current.finished())


TestReplicaSetModel = ReplicaSetModel.TestCase
TestReplicaSetModel.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None
)
