"""Ask as few replicas as suffice, the near ones first.

Answers disks that are slow, frozen or gone, and entries whose path to the
disks is cut: the other disks are asked soon, and then other entries.
"""

import logging
from collections.abc import Callable
from functools import partial
from typing import Any

import trio
from attrs import define, field, frozen

from jasminewheel._internal.conversation.quorum_condition import (
    ReplyCollection,
    Sufficiency,
    WriteQuorum,
)
from jasminewheel._internal.conversation.relay import (
    RelayClient,
    ReplicaMessage,
)
from jasminewheel._internal.conversation.replica_health import (
    ReplicaBeliefs,
)
from jasminewheel._internal.conversation.replica_set import (
    Replica,
    ReplicaSet,
)
from jasminewheel._internal.conversation.set_holder import SetHolder
from jasminewheel._internal.events import conversation as events
from jasminewheel._internal.peer.distance import Distance
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import JasminewheelError, QuorumError

# The other replicas are asked when the near ones take longer.
HEDGE_SECONDS = 0.15
# One replica's answer is not waited for any longer.
ANSWER_SECONDS = 1.0
# A large message is given the time that a narrow link between regions takes.
LINK_BYTES_PER_SECOND = 1000000
# Another entry is given less, for its path may be cut as well.
RELAY_SECONDS = 0.4
_LOGGER = logging.getLogger(__name__)

MessageOf = Callable[[wire.ReplicaScope], Any]


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
        return ANSWER_SECONDS + self.transfer_seconds

    @property
    def relay_seconds(self) -> float:
        """Return how long an answer through another entry is waited for."""
        return RELAY_SECONDS + self.transfer_seconds

    @property
    def transfer_seconds(self) -> float:
        """Return how long the message takes on its way."""
        return self.message_bytes / LINK_BYTES_PER_SECOND


def _probe_message(scope: wire.ReplicaScope) -> wire.ReadProgramTokens:
    return wire.ReadProgramTokens(scope=scope, program_id='')


# Changes nothing, and asks for nothing that is kept.
PROBE = Question(_probe_message, wire.ProgramTokens)


@define(eq=False)
class QuorumClient:
    """Ask the replicas of the newest set.

    After too few answered, questions fail at once until one that keeps the
    replicas in view gets through.
    """

    pool: PeerPool
    sets: SetHolder
    distance: Distance
    relays: RelayClient | None = None
    beliefs: ReplicaBeliefs = field(factory=ReplicaBeliefs)
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
        """Ask the near ones, then the rest, then through other entries."""
        began = trio.current_time()
        ordered = self.ordered(collection.used)
        first = question.sufficiency.first_asked(collection.used, ordered)
        rest = [one for one in ordered if one not in first]
        async with trio.open_nursery() as nursery:
            asker = _Asker(self, nursery, question, collection)
            steps = [
                partial(asker.ask, first),
                partial(asker.ask, rest),
                partial(asker.relay_first, first, ordered, began),
                partial(asker.relay_silent, ordered, began),
            ]
            while steps and not collection.sufficient():
                steps.pop(0)()
                await collection.sufficient_within(HEDGE_SECONDS)
            await collection.done.wait()
            nursery.cancel_scope.cancel()

    async def ask_suspects(self) -> None:
        """Ask those that did not answer, so that they are trusted again."""
        used = self.sets.current
        now = trio.current_time()
        suspects = [
            one for one in used.replicas() if self.beliefs.is_suspect(one, now)
        ]
        collection = ReplyCollection(used, WriteQuorum())
        async with trio.open_nursery() as nursery:
            asker = _Asker(self, nursery, PROBE, collection)
            asker.ask_directly(suspects)

    def doubted(self) -> int:
        """Return how many replicas did not answer a moment ago."""
        now = trio.current_time()
        replicas = self.sets.current.replicas()
        return sum(self.beliefs.is_doubted(one, now) for one in replicas)

    def ordered(self, used: ReplicaSet) -> list[Replica]:
        """Return the replicas that may answer, near and trusted ones first."""
        now = trio.current_time()
        return sorted(
            (
                one
                for one in used.replicas()
                if not self.beliefs.is_gone(one, now)
            ),
            key=lambda one: (
                self.beliefs.is_suspect(one, now),
                self.distance(one.zone),
                one.disk_id,
            ),
        )

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
            by=sorted(one.vm for one in collection.answered()),
            replicas=len(used.replicas()),
            joint=bool(used.joining),
        )
        return QuorumError(
            f'only {answered} replicas answered under set {used.revision}',
            remedy='see whether the disk VMs run',
            answered=answered,
        )


@define(eq=False)
class _Asker:
    client: QuorumClient
    nursery: trio.Nursery
    question: Question
    collection: ReplyCollection
    relayed: set[str] = field(factory=set)

    def ask(self, replicas: list[Replica]) -> None:
        """Ask each replica, at once by another way if it is doubted."""
        self.ask_directly(replicas)
        now = trio.current_time()
        beliefs = self.client.beliefs
        self.relay([one for one in replicas if beliefs.is_suspect(one, now)])

    def ask_directly(self, replicas: list[Replica]) -> None:
        """Ask each replica in a task of its own."""
        self.collection.expect(len(replicas))
        for replica in replicas:
            self.nursery.start_soon(self.ask_one, replica)

    def relay(self, replicas: list[Replica]) -> None:
        """Ask those that have not answered through other entries as well."""
        relays = self.client.relays
        if relays is None:
            return
        done = self.relayed.union(self.collection.replies)
        left = [one for one in replicas if one.disk_id not in done]
        now = trio.current_time()
        for doubted in left:
            self.client.beliefs.note_silence(doubted, now)
        self.relayed.update(one.disk_id for one in left)
        self.collection.expect(len(left))
        for replica in left:
            self.nursery.start_soon(self.ask_through, relays, replica)

    def relay_first(
        self, first: list[Replica], ordered: list[Replica], since: float
    ) -> None:
        """Use other entries for those asked first, or all if none is heard."""
        beliefs = self.client.beliefs
        silent = beliefs.silent(ordered, since, trio.current_time())
        heard = len(silent) < len(ordered)
        self.relay_silent(first if heard else ordered, since)

    def relay_silent(self, replicas: list[Replica], since: float) -> None:
        """Ask those of which nothing came through other entries as well."""
        beliefs = self.client.beliefs
        self.relay(beliefs.silent(replicas, since, trio.current_time()))

    async def ask_one(self, replica: Replica) -> None:
        """Add one replica's answer."""
        sent = self.message(replica, self.question.answer_seconds)
        try:
            reply = await self.client.pool.ask(
                replica.address,
                sent.message,
                sent.reply_kind,
                timeout_seconds=sent.timeout_seconds,
            )
        except JasminewheelError as error:
            self.client.beliefs.note_failure(
                replica, error, trio.current_time()
            )
        else:
            self.client.beliefs.note_success(replica, trio.current_time())
            self.collection.add(replica, reply)
        self.collection.end_one()

    async def ask_through(self, relays: RelayClient, replica: Replica) -> None:
        """Add one replica's answer that another entry passed on."""
        sent = self.message(replica, self.question.relay_seconds)
        try:
            reply = await relays.ask(sent)
        except JasminewheelError as error:
            _LOGGER.debug('not passed on: %s', error)
        else:
            self.collection.add(replica, reply)
        self.collection.end_one()

    def message(
        self, replica: Replica, timeout_seconds: float
    ) -> ReplicaMessage:
        """Return what one replica is asked."""
        scope = wire.ReplicaScope(
            replica=replica.disk_id,
            set_revision=self.collection.used.revision,
        )
        return ReplicaMessage(
            replica,
            self.question.message_of(scope),
            self.question.reply_kind,
            timeout_seconds,
        )
