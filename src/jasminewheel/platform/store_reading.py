"""Build how a process reads the store, and lets others follow it."""

from collections.abc import Mapping

from jasminewheel._internal.conversation.set_holder import SetHolder
from jasminewheel._internal.conversation.set_readers import SetReaders
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.peer.server import Handler
from jasminewheel._internal.store.change_log import ChangeLog
from jasminewheel._internal.store.contact import StoreContact
from jasminewheel._internal.store.followed_store import (
    FOLLOW_SECONDS,
    READER_WATCH_SECONDS,
    FollowedStore,
)
from jasminewheel._internal.store.known_items import KnownItemsService
from jasminewheel._internal.store.large_values import LargeValues
from jasminewheel._internal.store.mirror import StoreMirror
from jasminewheel._internal.store.reader_choice import ReaderChoice
from jasminewheel._internal.store.reader_service import ReaderService
from jasminewheel._internal.wire.gen.conversation.ttypes import (
    AwaitChanges,
    ReadKnownItems,
)
from jasminewheel.platform.settings import NodeSettings
from jasminewheel.platform.store_client import PlatformStore

# Of the time for which a withdrawn key may be accepted, each wait for news of
# the store takes so much, so that most of it is left when the store is away.
PROOF_SHARE = 0.1


def followed_store(
    settings: NodeSettings,
    store: PlatformStore,
    pool: PeerPool,
    sets: SetHolder,
    contact: StoreContact,
    values: LargeValues,
    *,
    seeds: tuple[str, ...] = (),
) -> FollowedStore:
    """Return the store as this process reads it, mostly through a reader.

    Until there is a replica set, the seeds are the readers.
    """
    store.on_arrival = contact.record_arrival
    listed = SetReaders(sets, seeds)
    readers = ReaderChoice(settings.peer_address, settings.distance, listed)
    proof_seconds = settings.revocation_seconds * PROOF_SHARE
    return FollowedStore(
        store,
        pool,
        readers,
        contact,
        values,
        follow_seconds=min(FOLLOW_SECONDS, proof_seconds),
        watch_seconds=min(READER_WATCH_SECONDS, proof_seconds),
    )


def reader_handlers(
    mirror: StoreMirror, values: LargeValues
) -> Mapping[type, Handler]:
    """Return the handlers by which other processes read the mirror's items."""
    log = ChangeLog(mirror)
    mirror.listeners.append(log)
    return {
        ReadKnownItems: KnownItemsService(mirror, values).read,
        AwaitChanges: ReaderService(log, values).await_changes,
    }
