"""Build the components of an entry from its settings."""

import trio
from attrs import define, field

from jasminewheel._internal.crashes.crash_guard import CrashGuard
from jasminewheel._internal.gateway.gateway import RoutesHolder
from jasminewheel._internal.gateway.runners import RunnerDirectory
from jasminewheel._internal.organisations.rate_client import RateClient
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.store.contact import StoreContact
from jasminewheel._internal.store.followed_store import FollowedStore
from jasminewheel._internal.store.large_values import LargeValues
from jasminewheel._internal.store.mirror import StoreMirror
from jasminewheel._internal.web.client_memory import ClientMemory, memory_for
from jasminewheel._internal.web.pool import ConnectionPool, pool_for_memory
from jasminewheel._internal.web.server import WebServer
from jasminewheel.platform.entry_peers import EntryPeers
from jasminewheel.platform.listener import PlatformListener
from jasminewheel.platform.settings import NodeSettings
from jasminewheel.platform.store_client import PlatformStore
from jasminewheel.platform.store_reading import followed_store


@define(eq=False)
class EntryParts:
    """Represent the components of an entry; none has persistent state."""

    settings: NodeSettings
    pool: PeerPool
    routes: RoutesHolder = field(factory=RoutesHolder)
    connections: ConnectionPool = field(init=False)
    client_memory: ClientMemory = field(init=False)
    directory: RunnerDirectory = field(init=False)
    store: PlatformStore = field(init=False)
    followed: FollowedStore = field(init=False)
    peers: EntryPeers = field(init=False)
    values: LargeValues = field(factory=LargeValues)
    crashes: CrashGuard = field(factory=CrashGuard)
    rates: RateClient | None = None

    def __attrs_post_init__(self) -> None:
        """Create the clients of the store and of the peers."""
        self.connections = pool_for_memory(self.settings.memory_bytes)
        self.client_memory = memory_for(
            self.settings.memory_bytes, self.settings.max_descriptors
        )
        contact = StoreContact(self.settings.heartbeat_seconds)
        self.directory = RunnerDirectory(contact=contact)
        self.store = PlatformStore(
            self.settings.store_address, self.connections
        )
        self.peers = EntryPeers(self.settings, self.pool, self.store)
        self.followed = followed_store(
            self.settings,
            self.store,
            self.pool,
            self.peers.sets,
            contact,
            self.values,
            seeds=self.settings.seeds,
        )
        self.followed.readers.followers = self.peers.entries.count

    def mirror(self, web: WebServer) -> StoreMirror:
        """Return the task that mirrors the store's keys."""
        listener = PlatformListener(self.routes, self.directory, web)
        mirror = StoreMirror(
            self.followed,
            [self.values, *self.peers.listeners(), listener],
            contact=self.directory.contact,
        )
        self.peers.listing.follow(mirror)
        return mirror

    def gauges(self) -> dict[str, float]:
        """Return the current values of this entry's gauges."""
        now = trio.current_time()
        views = self.directory.views.values()
        usable = sum(self.directory.is_usable(view, now) for view in views)
        return {
            **self.peers.gauges(),
            **self.store.call_counts(),
            'configuration_version': self.routes.current.version,
            'store_followed': float(bool(self.followed.followed)),
            'store_away': float(self.directory.contact.lost_at is not None),
            'runners_listed': len(self.directory.views),
            'runners_usable': usable,
            'store_told_seconds_ago': self.directory.contact.report_age(now),
            'store_read_seconds_ago': self.directory.contact.read_age(now),
            'calls_at_runners': sum(view.load.own_running for view in views),
            'connections_opened': self.connections.opened,
            'calls_barred': self.crashes.refused,
            **self.client_memory.gauges(),
            **(self.rates.gauges() if self.rates else {}),
        }
