"""Say when the answers of replicas suffice, and collect them until then."""

from collections.abc import Mapping
from typing import Any, Protocol

import trio
from attrs import define, field

from jasminewheel._internal.conversation.replica_set import (
    Replica,
    ReplicaSet,
)


class QuorumCondition(Protocol):
    """Say when the answers to one message suffice."""

    def initial_replicas(
        self, replica_set: ReplicaSet, ranked: list[Replica]
    ) -> list[Replica]:
        """Return the replicas whose answers should suffice."""

    def is_met(
        self, replica_set: ReplicaSet, replies: Mapping[str, Any]
    ) -> bool:
        """Tell whether the answers, by disk, suffice."""


class WriteQuorum:
    """Need a majority of each set in force."""

    def initial_replicas(
        self, replica_set: ReplicaSet, ranked: list[Replica]
    ) -> list[Replica]:
        """Return the shortest beginning that is a quorum."""
        chosen: list[Replica] = []
        for replica in ranked:
            if replica_set.has_quorum({one.disk_id for one in chosen}):
                break
            chosen.append(replica)
        return chosen

    def is_met(
        self, replica_set: ReplicaSet, replies: Mapping[str, Any]
    ) -> bool:
        """Tell whether a quorum answered."""
        return replica_set.has_quorum(replies)


class FoundOrAbsent:
    """Need one replica that has a turn, or enough that it is nowhere."""

    def initial_replicas(
        self, replica_set: ReplicaSet, ranked: list[Replica]
    ) -> list[Replica]:
        """Return the nearest replica."""
        return ranked[:1]

    def is_met(
        self, replica_set: ReplicaSet, replies: Mapping[str, Any]
    ) -> bool:
        """Tell whether the turn is found or certainly absent."""
        found = any(reply.turns for reply in replies.values())
        return found or replica_set.proves_absence(replies)


@define(eq=False)
class ReplyCollection:
    """Hold the answers to one message until they suffice."""

    replica_set: ReplicaSet
    condition: QuorumCondition
    replies: dict[str, Any] = field(factory=dict)
    newest_revision: int = 0
    pending: int = 0
    done: trio.Event = field(factory=trio.Event)

    def expect(self, count: int) -> None:
        """Wait for so many answers more."""
        self.pending += count
        self.done = trio.Event()
        self.check()

    def add(self, replica: Replica, reply: Any) -> None:
        """Take an answer."""
        if reply.accepted:
            self.replies[replica.disk_id] = reply
        self.newest_revision = max(self.newest_revision, reply.set_revision)

    def responders(self) -> list[Replica]:
        """Return the replicas whose answers count."""
        return [
            one
            for one in self.replica_set.replicas()
            if one.disk_id in self.replies
        ]

    def note_finished(self) -> None:
        """Note that a replica answered or failed."""
        self.pending -= 1
        self.check()

    def check(self) -> None:
        """Wake who waits if the answers suffice or no more will come."""
        if self.is_sufficient() or not self.pending:
            self.done.set()

    def is_sufficient(self) -> bool:
        """Tell whether the answers suffice."""
        return self.condition.is_met(self.replica_set, self.replies)

    async def wait_sufficient(self, seconds: float) -> bool:
        """Wait for the answers; tell whether they suffice."""
        with trio.move_on_after(seconds):
            await self.done.wait()
        return self.is_sufficient()
