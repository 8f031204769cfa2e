"""Send requests to a quorum of replicas, nearest first, with hedging.

Tolerates slow, frozen and lost disks, and a broken network path between this
entry and the disks: after a hedge delay the remaining replicas are asked, then
other entries are asked to relay the request.
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

# Delay before each next step: remaining replicas first, relays after that.
HEDGE_DELAY_SECONDS = 0.15
# Time limit for the reply of one replica.
REPLY_TIMEOUT_SECONDS = 1.0
# Extends the timeouts of large messages by the transfer time over a narrow
# link between regions.
LINK_BYTES_PER_SECOND = 1000000
# Shorter than a direct request, since the path of the relay may be broken too.
RELAY_TIMEOUT_SECONDS = 0.4
_LOGGER = logging.getLogger(__name__)

MessageBuilder = Callable[[wire.ReplicaScope], Any]


@frozen
class QuorumRequest:
    """Represent a request to the replicas and the type of its replies."""

    build_message: MessageBuilder
    reply_kind: type
    condition: QuorumCondition = WriteQuorum()
    message_bytes: int = 0

    @property
    def reply_timeout_seconds(self) -> float:
        """Return the time limit for a direct reply."""
        return REPLY_TIMEOUT_SECONDS + self.transfer_seconds

    @property
    def relay_timeout_seconds(self) -> float:
        """Return the time limit for a relayed reply."""
        return RELAY_TIMEOUT_SECONDS + self.transfer_seconds

    @property
    def transfer_seconds(self) -> float:
        """Return the estimated transfer time of the message."""
        return self.message_bytes / LINK_BYTES_PER_SECOND


def _probe_message(scope: wire.ReplicaScope) -> wire.ReadProgramTokens:
    return wire.ReadProgramTokens(scope=scope, program_id='')


# Reads an empty program ID: no effect on the replica, and an empty reply.
PROBE_REQUEST = QuorumRequest(_probe_message, wire.ProgramTokens)


@define(eq=False)
class QuorumClient:
    """Send requests to the replicas of the current set.

    Works as a circuit breaker: once a quorum is missing, requests fail
    immediately until a probe by QuorumWatch reaches a quorum again.
    """

    pool: PeerPool
    sets: SetHolder
    distance: Distance
    relays: RelayClient | None = None
    health: ReplicaHealth = field(factory=ReplicaHealth)
    quorum_lost_since: float | None = None
    # Number of replies to the last request that missed its quorum.
    last_reply_count: int = 0

    async def ask(self, request: QuorumRequest) -> list[Any]:
        """Return replies that meet the request's condition, one per replica.

        Raise QuorumError if too few arrive, at once while the quorum is lost.
        """
        if self.quorum_lost_since is not None:
            raise QuorumError(
                'too few replicas answered a moment ago',
                answered=self.last_reply_count,
            )
        return await self.ask_now(request)

    async def ask_now(self, request: QuorumRequest) -> list[Any]:
        """Send a request even while the quorum is considered lost."""
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
        """Ask the nearest replicas, then the others, then through relays."""
        started_at = trio.current_time()
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
                partial(sender.relay_first, first, ranked, started_at),
                partial(sender.relay_unresponsive, ranked, started_at),
            ]
            while steps and not collection.is_sufficient():
                steps.pop(0)()
                await collection.wait_sufficient(HEDGE_DELAY_SECONDS)
            await collection.done.wait()
            nursery.cancel_scope.cancel()

    async def probe_suspects(self) -> None:
        """Probe suspected replicas directly to detect their recovery."""
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
        """Return how many replicas are suspected or replaced."""
        now = trio.current_time()
        replicas = self.sets.current.replicas()
        return sum(self.health.is_unavailable(one, now) for one in replicas)

    def rank_replicas(self, used: ReplicaSet) -> list[Replica]:
        """Return the replicas not known as replaced, best candidates first.

        Suspected replicas come last; within both groups nearer ones come first.
        """
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
        """Record and log the lost quorum, and return the error to raise.

        A quorum missed only because this set is outdated is not recorded.
        """
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
        """Ask each replica directly, and suspected ones also via a relay."""
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
        """Ask replicas without a reply through other entries, once each."""
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
        """Relay to unresponsive replicas among the first ones asked.

        If no replica replied at all, relay to every replica.
        """
        health = self.client.health
        unresponsive = health.unresponsive(ranked, since, trio.current_time())
        any_reply = len(unresponsive) < len(ranked)
        self.relay_unresponsive(first if any_reply else ranked, since)

    def relay_unresponsive(self, replicas: list[Replica], since: float) -> None:
        """Relay to the replicas without any direct reply since then."""
        health = self.client.health
        self.relay(health.unresponsive(replicas, since, trio.current_time()))

    async def ask_one(self, replica: Replica) -> None:
        """Ask one replica directly and add its reply."""
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
        """Ask one replica through another entry and add its reply."""
        sent = self.message(replica, self.request.relay_timeout_seconds)
        try:
            reply = await relays.ask(sent)
        except JasminewheelError as error:
            _LOGGER.debug('relayed request failed: %s', error)
        else:
            self.collection.add(replica, reply)
        self.collection.note_finished()

    def message(
        self, replica: Replica, timeout_seconds: float
    ) -> ReplicaMessage:
        """Build the message to one replica."""
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
