"""Log changes of the store that many bytes tell."""

import logging

import trio

from jasminewheel._internal.events import store as events
from jasminewheel._internal.store.port import ReadableStore, StoreChanges

# Changes of this size are logged with the time that they took.
LOGGED_BYTES = 65536
# The source of changes that no reader told.
STORE_NAME = 'store'
_LOGGER = logging.getLogger(__name__)


def log_large(
    source: str, changes: StoreChanges, asked_at: float, now: float
) -> None:
    """Log changes that are large enough to be held up on a link."""
    size_bytes = sum(len(one.value) for one in changes.written)
    if size_bytes < LOGGED_BYTES:
        return
    events.LARGE_CHANGES.log(
        _LOGGER,
        source=source,
        size_bytes=size_bytes,
        seconds=round(now - asked_at, 3),
        revision=changes.revision,
        complete=changes.complete,
        read_age=round(changes.age_seconds, 3),
    )


async def watch_store(
    store: ReadableStore, after_revision: int, wait_seconds: float
) -> StoreChanges:
    """Watch the store, and log large changes."""
    asked_at = trio.current_time()
    changes = await store.changes(after_revision, wait_seconds)
    log_large(STORE_NAME, changes, asked_at, trio.current_time())
    return changes
