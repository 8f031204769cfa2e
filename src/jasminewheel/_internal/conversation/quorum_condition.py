"""Collect the replies of replicas until a quorum condition is met."""

from collections.abc import Mapping
from typing import Any, Protocol

import trio
from attrs import define, field

from jasminewheel._internal.conversation.replica_set import (
    Replica,
    ReplicaSet,
)


class QuorumCondition(Protocol):
    """Decide when the replies to a request suffice."""

    def initial_replicas(
        self, replica_set: ReplicaSet, ranked: list[Replica]
    ) -> list[Replica]:
        """Return the replicas to ask before any hedging."""

    def is_met(
        self, replica_set: ReplicaSet, replies: Mapping[str, Any]
    ) -> bool:
        """Return whether the replies, by disk, suffice."""


class WriteQuorum:
    """Require a majority of each configuration of the set."""

    def initial_replicas(
        self, replica_set: ReplicaSet, ranked: list[Replica]
    ) -> list[Replica]:
        """Return the shortest prefix of the ranking that is a quorum."""
        chosen: list[Replica] = []
        for replica in ranked:
            if replica_set.has_quorum({one.disk_id for one in chosen}):
                break
            chosen.append(replica)
        return chosen

    def is_met(
        self, replica_set: ReplicaSet, replies: Mapping[str, Any]
    ) -> bool:
        """Return whether a quorum replied."""
        return replica_set.has_quorum(replies)


class FoundOrAbsent:
    """Require one replica that has the turn, or proof that none has it."""

    def initial_replicas(
        self, replica_set: ReplicaSet, ranked: list[Replica]
    ) -> list[Replica]:
        """Return the nearest replica."""
        return ranked[:1]

    def is_met(
        self, replica_set: ReplicaSet, replies: Mapping[str, Any]
    ) -> bool:
        """Return whether the turn was found or is proven absent."""
        found = any(reply.turns for reply in replies.values())
        return found or replica_set.proves_absence(replies)


@define(eq=False)
class ReplyCollection:
    """Collect the replies to one request until they suffice."""

    replica_set: ReplicaSet
    condition: QuorumCondition
    replies: dict[str, Any] = field(factory=dict)
    newest_revision: int = 0
    pending: int = 0
    done: trio.Event = field(factory=trio.Event)

    def expect(self, count: int) -> None:
        """Expect this many more replies."""
        self.pending += count
        self.done = trio.Event()
        self.check()

    def add(self, replica: Replica, reply: Any) -> None:
        """Add a reply; one that rejects the set's revision does not count."""
        if reply.accepted:
            self.replies[replica.disk_id] = reply
        self.newest_revision = max(self.newest_revision, reply.set_revision)

    def responders(self) -> list[Replica]:
        """Return the replicas whose replies count."""
        return [
            one
            for one in self.replica_set.replicas()
            if one.disk_id in self.replies
        ]

    def note_finished(self) -> None:
        """Record that one expected reply arrived or failed."""
        self.pending -= 1
        self.check()

    def check(self) -> None:
        """Signal completion if the replies suffice or none is pending."""
        if self.is_sufficient() or not self.pending:
            self.done.set()

    def is_sufficient(self) -> bool:
        """Return whether the replies suffice."""
        return self.condition.is_met(self.replica_set, self.replies)

    async def wait_sufficient(self, seconds: float) -> bool:
        """Wait for replies up to a time limit; return whether they suffice."""
        with trio.move_on_after(seconds):
            await self.done.wait()
        return self.is_sufficient()
