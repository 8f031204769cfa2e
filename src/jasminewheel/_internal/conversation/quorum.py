"""Ask as few replicas as suffice, the near ones first."""

import logging
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import trio
from attrs import define, field, frozen

from jasminewheel._internal.conversation.replica_set import (
    NO_SET,
    Replica,
    ReplicaSet,
)
from jasminewheel._internal.events import conversation as events
from jasminewheel._internal.peer.distance import Distance
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.wire.gen.conversation.ttypes import ReplicaScope
from jasminewheel.errors import JasminewheelError, QuorumError

# The other replicas are asked when the near ones take longer.
HEDGE_SECONDS = 0.15
# One replica's answer is not waited for any longer.
ANSWER_SECONDS = 1.0
# A large message is given the time that a narrow link between regions takes.
LINK_BYTES_PER_SECOND = 1000000
# A replica that failed is asked last for this long.
SUSPECT_SECONDS = 2.0
# How long to wait for a newer replica set after being refused.
SET_WAIT_SECONDS = 1.0
_LOGGER = logging.getLogger(__name__)

MessageOf = Callable[[ReplicaScope], Any]


@define(eq=False)
class SetHolder:
    """Hold the newest replica set and wake who waits for a newer one."""

    current: ReplicaSet = NO_SET
    changed: trio.Event = field(factory=trio.Event)

    def adopt(self, replica_set: ReplicaSet) -> None:
        """Use the set if it is newer."""
        if replica_set.revision <= self.current.revision:
            return
        self.current = replica_set
        self.changed.set()
        self.changed = trio.Event()
        events.SET_ADOPTED.log(
            _LOGGER,
            revision=replica_set.revision,
            members=[one.vm for one in replica_set.members],
            joining=[one.vm for one in replica_set.joining],
        )

    async def wait_newer(self, revision: int) -> None:
        """Wait a while for a set newer than the revision."""
        with trio.move_on_after(SET_WAIT_SECONDS):
            while self.current.revision <= revision:
                await self.changed.wait()


class Sufficiency(Protocol):
    """Say when the answers to one message suffice."""

    def first_asked(
        self, used: ReplicaSet, ordered: list[Replica]
    ) -> list[Replica]:
        """Return the replicas whose answers should suffice."""

    def met(self, used: ReplicaSet, replies: Mapping[str, Any]) -> bool:
        """Tell whether the answers, by disk, suffice."""


class WriteQuorum:
    """Need a majority of each set in force."""

    def first_asked(
        self, used: ReplicaSet, ordered: list[Replica]
    ) -> list[Replica]:
        """Return the shortest beginning that is a quorum."""
        chosen: list[Replica] = []
        for replica in ordered:
            if used.has_quorum({one.disk_id for one in chosen}):
                break
            chosen.append(replica)
        return chosen

    def met(self, used: ReplicaSet, replies: Mapping[str, Any]) -> bool:
        """Tell whether a quorum answered."""
        return used.has_quorum(replies)


class FoundOrAbsent:
    """Need one replica that has a turn, or enough that it is nowhere."""

    def first_asked(
        self, used: ReplicaSet, ordered: list[Replica]
    ) -> list[Replica]:
        """Return the nearest replica."""
        return ordered[:1]

    def met(self, used: ReplicaSet, replies: Mapping[str, Any]) -> bool:
        """Tell whether the turn is found or certainly absent."""
        found = any(reply.turns for reply in replies.values())
        return found or used.knows_absence(replies)


@define(eq=False)
class ReplyCollection:
    """Hold the answers to one message until they suffice."""

    used: ReplicaSet
    sufficiency: Sufficiency
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

    def end_one(self) -> None:
        """Note that a replica answered or failed."""
        self.pending -= 1
        self.check()

    def check(self) -> None:
        """Wake who waits if the answers suffice or no more will come."""
        if self.sufficient() or not self.pending:
            self.done.set()

    def sufficient(self) -> bool:
        """Tell whether the answers suffice."""
        return self.sufficiency.met(self.used, self.replies)


@frozen
class Question:
    """Hold a message for each replica and the kind of its answer."""

    message_of: MessageOf
    reply_kind: type
    sufficiency: Sufficiency = WriteQuorum()
    message_bytes: int = 0

    @property
    def answer_seconds(self) -> float:
        """Return how long one replica's answer is waited for."""
        return ANSWER_SECONDS + self.message_bytes / LINK_BYTES_PER_SECOND


@define(eq=False)
class QuorumClient:
    """Ask the replicas of the newest set.

    After too few answered, questions fail at once until one that keeps the
    replicas in view gets through.
    """

    pool: PeerPool
    sets: SetHolder
    distance: Distance
    suspects: dict[str, float] = field(factory=dict)
    missed_since: float | None = None
    # Replicas that answered when a majority was last missed.
    last_answered: int = 0

    async def ask(self, question: Question) -> list[Any]:
        """Return sufficient answers; raise QuorumError if too few come."""
        if self.missed_since is not None:
            raise QuorumError(
                'too few replicas answered a moment ago',
                answered=self.last_answered,
            )
        return await self.ask_now(question)

    async def ask_now(self, question: Question) -> list[Any]:
        """Ask even if too few replicas answered a moment ago."""
        while True:
            used = self.sets.current
            collection = ReplyCollection(used, question.sufficiency)
            await self.collect(question, collection)
            if collection.sufficient():
                self.missed_since = None
                return list(collection.replies.values())
            if collection.newest_revision > used.revision:
                await self.sets.wait_newer(used.revision)
            if self.sets.current.revision <= used.revision:
                raise self.missed(collection)

    async def collect(
        self, question: Question, collection: ReplyCollection
    ) -> None:
        """Ask the near ones, then the rest if that is late or fails."""
        ordered = self.ordered(collection.used)
        first = question.sufficiency.first_asked(collection.used, ordered)
        rest = [one for one in ordered if one not in first]
        async with trio.open_nursery() as nursery:
            asker = _Asker(self, nursery, question, collection)
            asker.start(first)
            with trio.move_on_after(HEDGE_SECONDS):
                await collection.done.wait()
            if not collection.sufficient():
                asker.start(rest)
            await collection.done.wait()
            nursery.cancel_scope.cancel()

    def ordered(self, used: ReplicaSet) -> list[Replica]:
        """Return the replicas, near and trusted ones first."""
        now = trio.current_time()
        return sorted(
            used.replicas(),
            key=lambda one: (
                self.suspects.get(one.disk_id, 0) > now,
                self.distance(one.zone),
                one.disk_id,
            ),
        )

    def note_failure(self, replica: Replica, error: JasminewheelError) -> None:
        """Ask a replica last for a while."""
        now = trio.current_time()
        if self.suspects.get(replica.disk_id, 0) < now:
            events.REPLICA_LOST.log(_LOGGER, vm=replica.vm, problem=error)
        self.suspects[replica.disk_id] = now + SUSPECT_SECONDS

    def note_success(self, replica: Replica) -> None:
        """Trust a replica that answered."""
        if self.suspects.pop(replica.disk_id, None):
            events.REPLICA_BACK.log(_LOGGER, vm=replica.vm)

    def missed(self, collection: ReplyCollection) -> QuorumError:
        """Return the error for too few answers."""
        used = collection.used
        outdated = collection.newest_revision > used.revision
        if self.missed_since is None and not outdated:
            self.missed_since = trio.current_time()
        answered = len(collection.replies)
        self.last_answered = answered
        events.QUORUM_MISSED.log(
            _LOGGER,
            revision=used.revision,
            answered=answered,
            replicas=len(used.replicas()),
        )
        return QuorumError(
            f'only {answered} replicas answered under set {used.revision}',
            remedy='see whether the disk VMs run',
            answered=answered,
        )


@frozen
class _Asker:
    client: QuorumClient
    nursery: trio.Nursery
    question: Question
    collection: ReplyCollection

    def start(self, replicas: list[Replica]) -> None:
        """Ask each replica in a task of its own."""
        self.collection.expect(len(replicas))
        for replica in replicas:
            self.nursery.start_soon(self.ask_one, replica)

    async def ask_one(self, replica: Replica) -> None:
        """Add one replica's answer."""
        scope = ReplicaScope(
            replica=replica.disk_id,
            set_revision=self.collection.used.revision,
        )
        try:
            reply = await self.client.pool.ask(
                replica.address,
                self.question.message_of(scope),
                self.question.reply_kind,
                timeout_seconds=self.question.answer_seconds,
            )
        except JasminewheelError as error:
            self.client.note_failure(replica, error)
        else:
            self.client.note_success(replica)
            self.collection.add(replica, reply)
        self.collection.end_one()
