"""Send requests to all replicas of a slot and count their answers."""

from collections.abc import Callable, Iterable, Mapping
from contextlib import ExitStack
from typing import Any

import trio
from attrs import define, field, frozen

from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.replication.fence import Fence
from jasminewheel._internal.wire.gen.history.ttypes import Scope
from jasminewheel.errors import (
    DiskFullError,
    FencedError,
    JasminewheelError,
    NotFoundError,
    PeerError,
    QuorumError,
)

REPLICA_TIMEOUT_SECONDS = 3.0
# Unanswered requests to one replica before further ones fail at once.
MAX_PENDING_REQUESTS = 512


@frozen
class ReplicaSets:
    """Represent the sets of one slot, equal unless the slot is moving."""

    epoch: int
    current: tuple[str, ...]
    previous: tuple[str, ...]

    def members(self) -> tuple[str, ...]:
        """Return the replicas of both sets without duplicates."""
        return tuple(dict.fromkeys((*self.current, *self.previous)))

    def has_majority(self, names: Iterable[str]) -> bool:
        """Return whether the names include a majority of each set."""
        held = set(names)
        return all(
            2 * len(held.intersection(group)) > len(group)
            for group in (self.current, self.previous)
        )

    def joined_epoch(self, replica: str) -> int:
        """Return the epoch before which the replica's records are void."""
        is_new = replica in self.current and replica not in self.previous
        return self.epoch if is_new else 0

    @property
    def is_changing(self) -> bool:
        """Return whether the slot moves between disks."""
        return set(self.current) != set(self.previous)


@frozen
class SlotTarget:
    """Identify one slot with its fence and replica sets."""

    slot: int
    fence: Fence
    sets: ReplicaSets

    def scope(self, replica: str) -> Scope:
        """Return the scope that each request to the replica carries."""
        return Scope(
            replica=replica,
            slot=self.slot,
            fence=self.fence.to_wire(),
            joined_epoch=self.sets.joined_epoch(replica),
        )

    def voiding_scope(self, replica: str) -> Scope:
        """Return the scope that makes a former replica void the slot."""
        scope = self.scope(replica)
        scope.joined_epoch = self.fence.epoch
        return scope


@define
class Votes:
    """Collect the replicas' answers to one request."""

    sets: ReplicaSets
    accepted: dict[str, Any] = field(factory=dict)
    refused: dict[str, Fence] = field(factory=dict)
    failed: dict[str, JasminewheelError] = field(factory=dict)
    change: trio.Event = field(factory=trio.Event)

    def add(self, replica: str, answer: Any) -> None:
        """Record an answer."""
        if answer.accepted:
            self.accepted[replica] = answer
        else:
            self.refused[replica] = Fence.from_wire(answer.promised)
        self.change.set()

    def fail(self, replica: str, error: JasminewheelError) -> None:
        """Record that the request to a replica failed."""
        self.failed[replica] = error
        self.change.set()

    @property
    def has_majority(self) -> bool:
        """Return whether a majority of each set accepted."""
        return self.sets.has_majority(self.accepted)

    @property
    def is_complete(self) -> bool:
        """Return whether every replica answered or failed."""
        count = len(self.accepted) + len(self.refused) + len(self.failed)
        return count == len(self.sets.members())

    async def wait_majority(self) -> None:
        """Wait for a majority; raise if all replicas ended without one."""
        while not self.has_majority:
            if self.is_complete:
                raise self.failure()
            self.change = trio.Event()
            await self.change.wait()

    async def wait_all(self) -> None:
        """Wait for all replicas; raise unless a majority accepted."""
        while not self.is_complete:
            self.change = trio.Event()
            await self.change.wait()
        if not self.has_majority:
            raise self.failure()

    def failure(self) -> JasminewheelError:
        """Return the error that explains the missing majority."""
        if self.refused:
            highest = max(self.refused.values())
            return FencedError(
                f'the slot was taken over by {highest.member}',
            )
        ended = [
            error
            for error in self.failed.values()
            if isinstance(error, NotFoundError)
        ]
        if ended:
            return ended[0]
        names = sorted(self.failed)
        full = [
            error
            for error in self.failed.values()
            if isinstance(error, DiskFullError)
        ]
        # Only if every disk is full is it certain that none stored the record.
        if full and len(full) == len(self.sets.members()):
            return full[0]
        causes = '; '.join(f'{name}: {self.failed[name]}' for name in names)
        return QuorumError(
            f'no majority of the replicas: {causes}',
            remedy='check the history processes named',
        )


class Replicas:
    """Send requests to replicas by name and limit the pending ones."""

    def __init__(
        self,
        pool: PeerPool,
        address_of: Callable[[str], str],
    ) -> None:
        """Start without requests; address_of gets the part before the `#`."""
        self.pool = pool
        self.address_of = address_of
        self.pending_requests: dict[str, int] = {}

    def address(self, replica: str) -> str:
        """Return the address of the replica."""
        return self.address_of(replica.partition('#')[0])

    def ask_all(
        self,
        sets: ReplicaSets,
        request_of: Callable[[str], Any],
        reply_kind: type,
    ) -> Votes:
        """Ask every replica; slow requests continue in the background."""
        requests = {name: request_of(name) for name in sets.members()}
        return self.ask_each(sets, requests, reply_kind)

    def ask_each(
        self,
        sets: ReplicaSets,
        requests: Mapping[str, Any],
        reply_kind: type,
    ) -> Votes:
        """Send each replica its own request."""
        votes = Votes(sets)
        for replica, request in requests.items():
            self.pool.nursery.start_soon(
                self.collect_vote, votes, replica, request, reply_kind
            )
        return votes

    async def collect_vote(
        self, votes: Votes, replica: str, request: Any, reply_kind: type
    ) -> None:
        """Add the answer or failure of one replica to the votes."""
        try:
            answer = await self.ask(replica, request, reply_kind)
        except JasminewheelError as error:
            votes.fail(replica, error)
            return
        votes.add(replica, answer)

    async def ask(self, replica: str, request: Any, reply_kind: type) -> Any:
        """Return one replica's answer."""
        pending = self.pending_requests.get(replica, 0)
        if pending >= MAX_PENDING_REQUESTS:
            raise PeerError(
                f'too many pending requests to {replica}', sent=False
            )
        with ExitStack() as stack:
            self.pending_requests[replica] = pending + 1
            stack.callback(self.release_pending, replica)
            return await self.pool.ask(
                self.address(replica),
                request,
                reply_kind,
                timeout_seconds=REPLICA_TIMEOUT_SECONDS,
            )

    def release_pending(self, replica: str) -> None:
        """Count a request as no longer pending."""
        self.pending_requests[replica] -= 1
