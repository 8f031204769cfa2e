"""Build the server of a history from its components."""

from jasminewheel._internal.conversation.service import ReplicaService
from jasminewheel._internal.crashes.crash_exchange import CrashService
from jasminewheel._internal.gateway.load_exchange import LoadBoardService
from jasminewheel._internal.peer.server import PeerServer
from jasminewheel._internal.store.mirror import StoreMirror
from jasminewheel.platform.history_parts import HistoryParts
from jasminewheel.platform.roles import peer_server
from jasminewheel.platform.store_reading import reader_handlers


def history_server(parts: HistoryParts, mirror: StoreMirror) -> PeerServer:
    """Return the server that answers entries and other replicas."""
    service = ReplicaService(parts.disk_id, parts.journal)
    return peer_server(
        parts.settings,
        {
            **service.handlers(),
            **reader_handlers(mirror, parts.values),
            **parts.limits.handlers(),
            **LoadBoardService().handlers(),
            **CrashService().handlers(),
        },
    )
