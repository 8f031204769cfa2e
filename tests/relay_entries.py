"""Run entries that relay requests to replicas inside the test process."""

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
    """Simulate a network partition from some addresses."""

    def __init__(self, identity: PeerIdentity) -> None:
        """Start without a partition."""
        super().__init__(identity, KEY)
        self.unreachable: set[str] = set()
        self.asked: list[str] = []
        # Disks to which other entries were asked to relay requests.
        self.relayed: list[str] = []
        self.delay_seconds: float = 0

    async def ask(self, address, message, reply_kind, *, timeout_seconds):
        """Time out for unreachable addresses; delay all requests."""
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
    """Represent one entry that runs inside the test process."""

    listed: ListedEntry
    pool: PartitionedPool
    entries: EntryList
    conversations: ConversationClient

    @property
    def quorum(self) -> QuorumClient:
        """Return the entry's quorum client."""
        return self.conversations.quorum

    def partition_from(self, replica_set: ReplicaSet) -> None:
        """Make all replicas of the set unreachable from the entry."""
        self.pool.unreachable = {one.address for one in replica_set.replicas()}


async def start_entries(
    replicas: TurnReplicas, count: int
) -> list[RunningEntry]:
    """Start entries that list each other."""
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
    """Start an entry that relays requests."""
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
