"""Reach the limiters at the replicas, and serve as one."""

from collections.abc import Iterator

import trio
from attrs import define, frozen

from jasminewheel._internal.conversation.set_holder import SetHolder
from jasminewheel._internal.organisations.rate_client import Limiter
from jasminewheel._internal.organisations.rate_limiter import (
    Grant,
    RateLimiter,
)
from jasminewheel._internal.peer.distance import Distance
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.peer.server import Exchange, Handler
from jasminewheel._internal.store.proof import ContentsProof, boot_seconds
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import PeerError

# Beside the round trip; a limiter decides at once.
REPLY_SECONDS = 0.25


@frozen
class PeerLimiters:
    """Ask the members of the replica set."""

    pool: PeerPool
    sets: SetHolder
    distance: Distance

    def limiters(self) -> Iterator[Limiter]:
        """Yield the members, which share each rate."""
        for member in self.sets.current.members:
            yield Limiter(member.address, self.distance(member.zone))

    async def ask(
        self, limiter: Limiter, name: str, wanted: int, returned: int
    ) -> Grant:
        """Return what a limiter grants; raise PeerError if it cannot say."""
        reply = await self.pool.ask(
            limiter.address,
            wire.AskCalls(organisation=name, wanted=wanted, returned=returned),
            wire.CallGrant,
            timeout_seconds=REPLY_SECONDS + limiter.distance_seconds,
        )
        if not reply.current:
            raise PeerError(f'{limiter.address} may know outdated rates')
        return Grant(reply.granted, reply.retry_after_seconds)


@define(eq=False)
class LimiterService:
    """Grant calls to entries while the known rates are the newest."""

    limiter: RateLimiter
    proof: ContentsProof
    disk_id: str
    sets: SetHolder
    # How old the proof of the known rates may be; as long, a replica that was
    # replaced may still grant.
    max_age_seconds: float
    # The set by which the limiter counts the replicas.
    followed_revision: int = 0

    def handlers(self) -> dict[type, Handler]:
        """Return the handlers by message type."""
        return {wire.AskCalls: self.ask}

    async def ask(
        self, exchange: Exchange, request: wire.AskCalls
    ) -> wire.CallGrant:
        """Grant calls of one organisation."""
        now = trio.current_time()
        is_member = bool(self.limiter.replicas)
        is_current = self.proof.age(boot_seconds()) <= self.max_age_seconds
        if not (is_member and is_current and now >= self.limiter.begins_at):
            return wire.CallGrant(
                granted=0,
                retry_after_seconds=0,
                current=False,
            )
        grant = self.limiter.grant(
            request.organisation or '',
            max(0, request.wanted or 0),
            max(0, request.returned or 0),
            now,
        )
        return wire.CallGrant(
            granted=grant.calls,
            retry_after_seconds=grant.retry_after_seconds,
            current=True,
        )

    def follow_set(self, now: float) -> None:
        """Apply a changed replica set.

        A disk that joins a set waits until the one that it replaces has
        certainly stopped; one that has just started was a member before.
        """
        current = self.sets.current
        if current.revision == self.followed_revision:
            return
        is_member = any(one.disk_id == self.disk_id for one in current.members)
        begins_at = self.limiter.begins_at
        if not self.limiter.replicas:
            begins_at = now
            if self.followed_revision:
                begins_at += self.max_age_seconds
        self.followed_revision = current.revision
        replicas = len(current.members) if is_member else 0
        self.limiter.apply_share(replicas, begins_at)
