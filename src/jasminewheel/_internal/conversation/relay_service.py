"""Relay messages of other entries to the replicas."""

import trio
from attrs import frozen

from jasminewheel._internal.conversation.quorum import QuorumClient
from jasminewheel._internal.conversation.relay import RELAYABLE_MESSAGES
from jasminewheel._internal.conversation.replica_set import Replica
from jasminewheel._internal.peer.server import Exchange, Handler
from jasminewheel._internal.wire.codec import decode, encode
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import PeerError


@frozen
class RelayService:
    """Forward messages to replicas, on the direct path only."""

    quorum: QuorumClient

    def handlers(self) -> dict[type, Handler]:
        """Return the handlers by message type."""
        return {wire.RelayQuestion: self.relay}

    async def relay(
        self, exchange: Exchange, request: wire.RelayQuestion
    ) -> wire.RelayAnswer:
        """Forward one message; return the replica's reply unchanged."""
        replica = self.find_reachable(request.replica)
        if request.message_name not in RELAYABLE_MESSAGES:
            raise PeerError(f'{request.message_name} cannot be relayed')
        message_kind, reply_kind = RELAYABLE_MESSAGES[request.message_name]
        reply = await self.quorum.pool.ask(
            replica.address,
            decode(message_kind, request.message),
            reply_kind,
            timeout_seconds=request.timeout_seconds,
        )
        return wire.RelayAnswer(message=encode(reply))

    def find_reachable(self, disk_id: str) -> Replica:
        """Return a replica; raise PeerError if it is not reachable here."""
        replica = self.quorum.sets.current.replica(disk_id)
        if replica is None:
            raise PeerError(f'no replica {disk_id} in the current set')
        if self.quorum.health.is_unavailable(replica, trio.current_time()):
            raise PeerError(f'{replica.vm} is not reachable from here either')
        return replica
