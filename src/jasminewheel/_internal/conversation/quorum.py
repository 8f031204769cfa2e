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
    QuorumCondition,
    ReplyCollection,
    WriteQuorum,
)
from jasminewheel._internal.conversation.relay import (
    RelayClient,
    ReplicaMessage,
)
from jasminewheel._internal.conversation.replica_health import (
    ReplicaHealth,
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
HEDGE_DELAY_SECONDS = 0.15
# One replica's answer is not waited for any longer.
REPLY_TIMEOUT_SECONDS = 1.0
# A large message is given the time that a narrow link between regions takes.
LINK_BYTES_PER_SECOND = 1000000
# Another entry is given less, for its path may be cut as well.
RELAY_TIMEOUT_SECONDS = 0.4
_LOGGER = logging.getLogger(__name__)

MessageBuilder = Callable[[wire.ReplicaScope], Any]


@frozen
class QuorumRequest:
    """Hold a message for each replica and the kind of its answer."""

    build_message: MessageBuilder
    reply_kind: type
    condition: QuorumCondition = WriteQuorum()
    message_bytes: int = 0

    @property
    def reply_timeout_seconds(self) -> float:
        """Return how long one replica's answer is waited for."""
        return REPLY_TIMEOUT_SECONDS + self.transfer_seconds

    @property
    def relay_timeout_seconds(self) -> float:
        """Return how long an answer through another entry is waited for."""
        return RELAY_TIMEOUT_SECONDS + self.transfer_seconds

    @property
    def transfer_seconds(self) -> float:
        """Return how long the message takes on its way."""
        return self.message_bytes / LINK_BYTES_PER_SECOND


def _probe_message(scope: wire.ReplicaScope) -> wire.ReadProgramTokens:
    return wire.ReadProgramTokens(scope=scope, program_id='')


# Changes nothing, and asks for nothing that is kept.
PROBE_REQUEST = QuorumRequest(_probe_message, wire.ProgramTokens)


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
    health: ReplicaHealth = field(factory=ReplicaHealth)
    quorum_lost_since: float | None = None
    # Replicas that answered when a majority was last missed.
    last_reply_count: int = 0

    async def ask(self, request: QuorumRequest) -> list[Any]:
        """Return sufficient answers; raise QuorumError if too few come."""
        if self.quorum_lost_since is not None:
            raise QuorumError(
                'too few replicas answered a moment ago',
                answered=self.last_reply_count,
            )
        return await self.ask_now(request)

    async def ask_now(self, request: QuorumRequest) -> list[Any]:
        """Ask even if too few replicas answered a moment ago."""
        while True:
            used = self.sets.current
            collection = ReplyCollection(used, request.condition)
            await self.collect(request, collection)
            if collection.is_sufficient():
                self.quorum_lost_since = None
                return list(collection.replies.values())
            if collection.newest_revision > used.revision:
                await self.sets.wait_for_newer(used.revision)
            if self.sets.current.revision <= used.revision:
                raise self.quorum_failure(collection)

    async def collect(
        self, request: QuorumRequest, collection: ReplyCollection
    ) -> None:
        """Ask the near ones, then the rest, then through other entries."""
        began = trio.current_time()
        ranked = self.rank_replicas(collection.replica_set)
        first = request.condition.initial_replicas(
            collection.replica_set, ranked
        )
        rest = [one for one in ranked if one not in first]
        async with trio.open_nursery() as nursery:
            sender = _RequestSender(self, nursery, request, collection)
            steps = [
                partial(sender.ask, first),
                partial(sender.ask, rest),
                partial(sender.relay_first, first, ranked, began),
                partial(sender.relay_unresponsive, ranked, began),
            ]
            while steps and not collection.is_sufficient():
                steps.pop(0)()
                await collection.wait_sufficient(HEDGE_DELAY_SECONDS)
            await collection.done.wait()
            nursery.cancel_scope.cancel()

    async def probe_suspects(self) -> None:
        """Ask those that did not answer, so that they are trusted again."""
        used = self.sets.current
        now = trio.current_time()
        suspects = [
            one for one in used.replicas() if self.health.is_suspect(one, now)
        ]
        collection = ReplyCollection(used, WriteQuorum())
        async with trio.open_nursery() as nursery:
            sender = _RequestSender(self, nursery, PROBE_REQUEST, collection)
            sender.ask_directly(suspects)

    def unavailable_count(self) -> int:
        """Return how many replicas did not answer a moment ago."""
        now = trio.current_time()
        replicas = self.sets.current.replicas()
        return sum(self.health.is_unavailable(one, now) for one in replicas)

    def rank_replicas(self, used: ReplicaSet) -> list[Replica]:
        """Return the replicas that may answer, near and trusted ones first."""
        now = trio.current_time()
        return sorted(
            (
                one
                for one in used.replicas()
                if not self.health.is_replaced(one, now)
            ),
            key=lambda one: (
                self.health.is_suspect(one, now),
                self.distance(one.zone),
                one.disk_id,
            ),
        )

    def quorum_failure(self, collection: ReplyCollection) -> QuorumError:
        """Return the error for too few answers."""
        used = collection.replica_set
        outdated = collection.newest_revision > used.revision
        if self.quorum_lost_since is None and not outdated:
            self.quorum_lost_since = trio.current_time()
        answered = len(collection.replies)
        self.last_reply_count = answered
        events.QUORUM_LOST.log(
            _LOGGER,
            revision=used.revision,
            answered=answered,
            by=sorted(one.vm for one in collection.responders()),
            replicas=len(used.replicas()),
            joint=bool(used.joining),
        )
        return QuorumError(
            f'only {answered} replicas answered under set {used.revision}',
            remedy='see whether the disk VMs run',
            answered=answered,
        )


@define(eq=False)
class _RequestSender:
    client: QuorumClient
    nursery: trio.Nursery
    request: QuorumRequest
    collection: ReplyCollection
    relayed: set[str] = field(factory=set)

    def ask(self, replicas: list[Replica]) -> None:
        """Ask each replica, at once by another way if it is doubted."""
        self.ask_directly(replicas)
        now = trio.current_time()
        health = self.client.health
        self.relay([one for one in replicas if health.is_suspect(one, now)])

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
        for unanswered in left:
            self.client.health.note_no_reply(unanswered, now)
        self.relayed.update(one.disk_id for one in left)
        self.collection.expect(len(left))
        for replica in left:
            self.nursery.start_soon(self.ask_through, relays, replica)

    def relay_first(
        self, first: list[Replica], ranked: list[Replica], since: float
    ) -> None:
        """Use other entries for those asked first, or all if none is heard."""
        health = self.client.health
        unresponsive = health.unresponsive(ranked, since, trio.current_time())
        any_reply = len(unresponsive) < len(ranked)
        self.relay_unresponsive(first if any_reply else ranked, since)

    def relay_unresponsive(self, replicas: list[Replica], since: float) -> None:
        """Ask those of which nothing came through other entries as well."""
        health = self.client.health
        self.relay(health.unresponsive(replicas, since, trio.current_time()))

    async def ask_one(self, replica: Replica) -> None:
        """Add one replica's answer."""
        sent = self.message(replica, self.request.reply_timeout_seconds)
        try:
            reply = await self.client.pool.ask(
                replica.address,
                sent.message,
                sent.reply_kind,
                timeout_seconds=sent.timeout_seconds,
            )
        except JasminewheelError as error:
            self.client.health.note_failure(replica, error, trio.current_time())
        else:
            self.client.health.note_success(replica, trio.current_time())
            self.collection.add(replica, reply)
        self.collection.note_finished()

    async def ask_through(self, relays: RelayClient, replica: Replica) -> None:
        """Add one replica's answer that another entry passed on."""
        sent = self.message(replica, self.request.relay_timeout_seconds)
        try:
            reply = await relays.ask(sent)
        except JasminewheelError as error:
            _LOGGER.debug('not passed on: %s', error)
        else:
            self.collection.add(replica, reply)
        self.collection.note_finished()

    def message(
        self, replica: Replica, timeout_seconds: float
    ) -> ReplicaMessage:
        """Return what one replica is asked."""
        scope = wire.ReplicaScope(
            replica=replica.disk_id,
            set_revision=self.collection.replica_set.revision,
        )
        return ReplicaMessage(
            replica,
            self.request.build_message(scope),
            self.request.reply_kind,
            timeout_seconds,
        )
