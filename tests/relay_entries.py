"""Run entries that pass questions on to replicas, inside a test."""

import trio
from attrs import define

from jasminewheel._internal.conversation.client import ConversationClient
from jasminewheel._internal.conversation.entry_list import (
    EntryList,
    ListedEntry,
)
from jasminewheel._internal.conversation.quorum import QuorumClient
from jasminewheel._internal.conversation.quorum_watch import QuorumWatch
from jasminewheel._internal.conversation.relay import RelayClient
from jasminewheel._internal.conversation.relay_service import RelayService
from jasminewheel._internal.conversation.replica_set import ReplicaSet
from jasminewheel._internal.conversation.set_holder import SetHolder
from jasminewheel._internal.peer.identity import PeerIdentity
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.peer.server import PeerServer
from jasminewheel._internal.wire.gen.conversation.ttypes import RelayQuestion
from jasminewheel.errors import PeerError
from tests.turn_replicas import KEY, ZONES, TurnReplicas


class PartitionedPool(PeerPool):
    """Hear nothing from some addresses."""

    def __init__(self, identity: PeerIdentity) -> None:
        """Hear from all at first."""
        super().__init__(identity, KEY)
        self.unreachable: set[str] = set()
        self.asked: list[str] = []
        # The disks that other entries were asked for.
        self.relayed: list[str] = []
        self.delay_seconds: float = 0

    async def ask(self, address, message, reply_kind, *, timeout_seconds):
        """Wait in vain where the way is cut, and longer where it is slow."""
        self.asked.append(address)
        if isinstance(message, RelayQuestion):
            self.relayed.append(message.replica)
        await trio.sleep(self.delay_seconds)
        if address not in self.unreachable:
            return await super().ask(
                address, message, reply_kind, timeout_seconds=timeout_seconds
            )
        await trio.sleep(timeout_seconds)
        raise PeerError(f'{address} did not answer', sent=False)


@define(eq=False)
class RunningEntry:
    """Hold what one entry uses to reach replicas."""

    listed: ListedEntry
    pool: PartitionedPool
    entries: EntryList
    conversations: ConversationClient

    @property
    def quorum(self) -> QuorumClient:
        """Return what asks the replicas."""
        return self.conversations.quorum

    def partition_from(self, replica_set: ReplicaSet) -> None:
        """Cut the entry off from all replicas."""
        self.pool.unreachable = {one.address for one in replica_set.replicas()}


async def start_entries(
    replicas: TurnReplicas, count: int
) -> list[RunningEntry]:
    """Start entries that know each other."""
    known = replicas.set_of()
    started: list[RunningEntry] = []
    while len(started) < count:
        started.append(await start_entry(replicas, len(started), known))
    for entry in started:
        others = [one.listed for one in started if one is not entry]
        entry.entries.entries = {one.vm: one for one in others}
    return started


async def start_entry(
    replicas: TurnReplicas, number: int, known: ReplicaSet
) -> RunningEntry:
    """Start an entry that passes questions on."""
    vm = f'entry-{number}'
    identity = PeerIdentity(vm, 'i1', ZONES[0])
    entries = EntryList(vm, ZONES.index)
    holder = SetHolder()
    holder.adopt(known)
    pool = await replicas.stack.enter_async_context(PartitionedPool(identity))
    quorum = QuorumClient(pool, holder, ZONES.index, RelayClient(pool, entries))
    server = PeerServer(identity, KEY, RelayService(quorum).handlers())
    port = await replicas.nursery.start(server.serve, '127.0.0.1', 0)
    replicas.nursery.start_soon(QuorumWatch(quorum).run)
    return RunningEntry(
        ListedEntry(vm, f'127.0.0.1:{port}', ZONES[0]),
        pool,
        entries,
        ConversationClient(quorum, replicas.nursery),
    )
