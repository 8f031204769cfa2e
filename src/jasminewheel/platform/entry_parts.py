"""Build the parts of an entry from its settings."""

import trio
from attrs import define, field

from jasminewheel._internal.conversation.client import ConversationClient
from jasminewheel._internal.conversation.quorum import QuorumClient, SetHolder
from jasminewheel._internal.conversation.set_listener import SetListener
from jasminewheel._internal.gateway.attempts import Attempts
from jasminewheel._internal.gateway.choice import RunnerChoice
from jasminewheel._internal.gateway.gateway import Gateway, RoutesHolder
from jasminewheel._internal.gateway.plain_flow import PlainFlow
from jasminewheel._internal.gateway.runners import RunnerDirectory
from jasminewheel._internal.gateway.turn_flow import TurnFlow
from jasminewheel._internal.peer.distance import ZoneDistance
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.store.mirror import StoreMirror
from jasminewheel._internal.web.pool import ConnectionPool
from jasminewheel._internal.web.server import WebServer
from jasminewheel.platform.listener import PlatformListener
from jasminewheel.platform.runner_protocol import PlatformRunners
from jasminewheel.platform.settings import NodeSettings
from jasminewheel.platform.store_client import PlatformStore


@define(eq=False)
class EntryParts:
    """Hold what an entry knows; none of it has to last."""

    settings: NodeSettings
    pool: PeerPool
    routes: RoutesHolder = field(factory=RoutesHolder)
    directory: RunnerDirectory = field(factory=RunnerDirectory)
    sets: SetHolder = field(factory=SetHolder)
    connections: ConnectionPool = field(factory=ConnectionPool)

    distance: ZoneDistance = field(init=False)
    quorum: QuorumClient = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Know the zones, and the replicas once they are listed."""
        self.distance = ZoneDistance(
            self.settings.zone, self.settings.zone_regions
        )
        self.quorum = QuorumClient(self.pool, self.sets, self.distance)

    def gateway(self, nursery: trio.Nursery) -> Gateway:
        """Return the gateway that answers calls."""
        attempts = Attempts(
            RunnerChoice(self.directory, self.distance),
            PlatformRunners(self.connections),
        )
        conversations = ConversationClient(self.quorum, nursery)
        return Gateway(
            self.routes,
            PlainFlow(attempts),
            TurnFlow(attempts, conversations),
        )

    def mirror(self, web: WebServer) -> StoreMirror:
        """Return the task that follows the store."""
        listener = PlatformListener(self.routes, self.directory, web)
        return StoreMirror(
            PlatformStore(self.settings.store_address),
            [SetListener(self.sets), listener],
        )

    def gauges(self) -> dict[str, float]:
        """Return what the metrics show of this entry now."""
        now = trio.current_time()
        usable = sum(view.usable(now) for view in self.directory.views.values())
        return {
            'configuration_version': self.routes.current.version,
            'replica_set_revision': self.sets.current.revision,
            'majority_missed': float(self.quorum.missed_since is not None),
            'store_away': float(self.directory.store_away),
            'runners_listed': len(self.directory.views),
            'runners_usable': usable,
            'connections_opened': self.connections.opened,
        }
