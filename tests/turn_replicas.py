"""Run replicas of turns and budgets inside the test process."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from pathlib import Path
from types import MappingProxyType

import trio
from attrs import define, field

from jasminewheel._internal.conversation.catch_up import CatchUp
from jasminewheel._internal.conversation.client import (
    ConversationClient,
    Reservation,
)
from jasminewheel._internal.conversation.journal import Journal
from jasminewheel._internal.conversation.quorum import QuorumClient
from jasminewheel._internal.conversation.replica_set import (
    Replica,
    ReplicaSet,
)
from jasminewheel._internal.conversation.service import ReplicaService
from jasminewheel._internal.conversation.set_holder import SetHolder
from jasminewheel._internal.conversation.state import ConversationState
from jasminewheel._internal.peer.distance import ZoneDistance
from jasminewheel._internal.peer.identity import PeerIdentity
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.peer.server import PeerServer
from jasminewheel._internal.wire.gen.conversation.ttypes import TurnRecord

KEY = b'k' * 32
REGIONS = MappingProxyType(
    {
        'east-a': 'east',
        'east-b': 'east',
        'west-a': 'west',
        'west-b': 'west',
        'west-c': 'west',
    }
)
ZONES = ('east-a', 'east-b', 'west-a', 'west-b', 'west-c')


@define(eq=False)
class RunningReplica:
    """Represent one replica that runs inside the test process."""

    replica: Replica
    journal: Journal
    scope: trio.CancelScope

    @property
    def state(self) -> ConversationState:
        """Return the replica's turns and budgets."""
        return self.journal.state

    def stop(self) -> None:
        """Stop serving the replica."""
        self.scope.cancel()


@define(eq=False)
class TurnReplicas:
    """Start replicas and clients for them."""

    folder: Path
    nursery: trio.Nursery
    pool: PeerPool
    stack: AsyncExitStack
    running: list[RunningReplica] = field(factory=list)

    async def start_all(self, count: int) -> None:
        """Start replicas until this many run."""
        while len(self.running) < count:
            await self.start(len(self.running))

    async def lose_disk(self, lost: RunningReplica) -> None:
        """Serve an empty disk with another ID at a replica's address."""
        lost.stop()
        folder = self.folder / 'empty'
        folder.mkdir()
        port = int(lost.replica.address.rpartition(':')[2])
        journal = Journal(folder, ConversationState())
        serve = partial(serve_replica, journal, 'empty', port=port)
        await self.nursery.start(serve)

    async def start(self, number: int, disk_id: str = '') -> RunningReplica:
        """Start a replica on the disk with this number."""
        folder = self.folder / f'disk-{number}-{disk_id}'
        folder.mkdir(exist_ok=True)
        journal = Journal(folder, ConversationState())
        journal.load(trio.current_time())
        name = disk_id or f'd{number}'
        serve = partial(serve_replica, journal, name)
        port, scope = await self.nursery.start(serve)
        replica = Replica(
            name, f'vm{number}', f'127.0.0.1:{port}', ZONES[number]
        )
        started = RunningReplica(replica, journal, scope)
        self.running.append(started)
        return started

    def client(self, replica_set: ReplicaSet) -> ConversationClient:
        """Return a client in the first zone."""
        holder = SetHolder()
        holder.adopt(replica_set)
        quorum = QuorumClient(self.pool, holder, ZONES.index)
        return ConversationClient(quorum, self.nursery)

    def set_of(self, revision: int = 1) -> ReplicaSet:
        """Return the replica set of all replicas started."""
        members = tuple(one.replica for one in self.running)
        return ReplicaSet(revision, members)

    async def catch_up(
        self, replica: RunningReplica, replica_set: ReplicaSet
    ) -> None:
        """Copy records to a replica for a change of the set."""
        own_id = replica.replica.disk_id
        distance = ZoneDistance(replica.replica.zone, REGIONS)
        copying = CatchUp(own_id, replica.journal, self.pool, distance)
        await copying.run(replica_set)


@asynccontextmanager
async def turn_replicas(folder: Path) -> AsyncIterator[TurnReplicas]:
    """Provide replicas for the duration of the context."""
    identity = PeerIdentity('entry', 'i1', ZONES[0])
    async with AsyncExitStack() as stack:
        stack.enter_context(trio.fail_after(30))
        nursery = await stack.enter_async_context(trio.open_nursery())
        pool = await stack.enter_async_context(PeerPool(identity, KEY))
        yield TurnReplicas(folder, nursery, pool, stack)
        nursery.cancel_scope.cancel()


async def serve_replica(
    journal: Journal,
    disk_id: str,
    task_status: trio.TaskStatus,
    port: int = 0,
) -> None:
    """Serve one replica until its scope is cancelled."""
    identity = PeerIdentity(disk_id, 'i1', ZONES[0])
    service = ReplicaService(disk_id, journal)
    server = PeerServer(identity, KEY, service.handlers())
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(journal.run)
            port = await nursery.start(server.serve, '127.0.0.1', port)
            task_status.started((port, scope))


def turn(turn_id: str, previous_id: str = '', ancestors=()) -> TurnRecord:
    """Return a finished turn."""
    return TurnRecord(
        turn_id=turn_id,
        previous_id=previous_id,
        program_id='p1',
        prompt=f'ask {turn_id} '.encode(),
        output=f'said {turn_id}\n'.encode(),
        runner='r1',
        tokens=10,
        retention_seconds=60,
        ancestors=list(ancestors),
    )


def reservation(turn_id: str, tokens: int) -> Reservation:
    """Return a reservation of the turn's tokens."""
    return Reservation(turn_id, 'p1', tokens, 60)
