"""Build the components by which an entry reaches replicas and entries."""

import trio
from attrs import define, field

from jasminewheel._internal.conversation.entry_list import (
    EntryList,
    ListedEntry,
)
from jasminewheel._internal.conversation.quorum import QuorumClient
from jasminewheel._internal.conversation.quorum_watch import QuorumWatch
from jasminewheel._internal.conversation.relay import RelayClient
from jasminewheel._internal.conversation.relay_service import RelayService
from jasminewheel._internal.conversation.set_holder import SetHolder
from jasminewheel._internal.conversation.set_listener import SetListener
from jasminewheel._internal.gateway.limits import RunnerLimits
from jasminewheel._internal.peer.distance import Distance
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.store.leased_key import LeasedKey
from jasminewheel._internal.store.mirror import MirrorListener
from jasminewheel.platform.roles import peer_server
from jasminewheel.platform.settings import NodeSettings
from jasminewheel.platform.store_client import PlatformStore


@define(eq=False)
class EntryPeers:
    """Connect this entry to the replicas and to the other entries."""

    settings: NodeSettings
    pool: PeerPool
    store: PlatformStore
    sets: SetHolder = field(factory=SetHolder)
    distance: Distance = field(init=False)
    entries: EntryList = field(init=False)
    quorum: QuorumClient = field(init=False)
    # Keeps this entry listed.
    listing: LeasedKey = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the quorum client; replicas are added as they are listed."""
        node = self.settings
        self.distance = node.distance
        self.entries = EntryList(node.vm, self.distance)
        listed = ListedEntry(node.vm, node.peer_address, node.zone)
        self.listing = listed.listing(self.store)
        self.quorum = QuorumClient(
            self.pool,
            self.sets,
            self.distance,
            RelayClient(self.pool, self.entries),
        )

    async def start(self, nursery: trio.Nursery) -> QuorumWatch:
        """Serve other entries, register this one, and watch the replicas."""
        node = self.settings
        handlers = RelayService(self.quorum).handlers()
        server = peer_server(node, handlers)
        await nursery.start(server.serve, node.ip, node.peer_port)
        nursery.start_soon(self.listing.run)
        watch = QuorumWatch(self.quorum)
        nursery.start_soon(watch.run)
        return watch

    def limits(self) -> RunnerLimits:
        """Return the limits of runners, shared among the listed entries."""
        return RunnerLimits(self.entries)

    def listeners(self) -> list[MirrorListener]:
        """Return the listeners for changes of replicas and entries."""
        return [SetListener(self.sets), self.entries]

    def gauges(self) -> dict[str, float]:
        """Return the current values of the gauges on peers."""
        return {
            'replica_set_revision': self.sets.current.revision,
            'majority_missed': float(self.quorum.quorum_lost_since is not None),
            'replicas_doubted': self.quorum.unavailable_count(),
            'entries_listed': len(self.entries.entries),
        }
