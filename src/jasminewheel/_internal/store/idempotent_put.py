"""Settle writes whose answers get lost."""

from uuid import uuid4

from jasminewheel._internal.store.client import Store, StoredValue
from jasminewheel.errors import StoreConflictError, StoreUnavailableError

_ATTEMPTS = 3


def new_writer_mark() -> str:
    """Return a mark that makes one write's value unlike any other's."""
    return uuid4().hex


async def idempotent_put(
    store: Store,
    key: str,
    marked_value: str,
    expected_revision: int,
    lease: str | None = None,
) -> int:
    """Write a value that holds a writer mark; return its revision.

    A lost answer is settled by reading back; the write is tried again only
    under the same expected revision, so it takes effect at most once. Raise
    StoreConflictError if it certainly did not, StoreUnavailableError if that
    stays unknown.
    """
    try:
        return await store.put(key, marked_value, expected_revision, lease)
    except StoreUnavailableError:
        return await _put_again(
            store,
            StoredValue(key, marked_value, expected_revision),
            lease,
            _ATTEMPTS - 1,
        )


async def _put_again(
    store: Store, wanted: StoredValue, lease: str | None, attempts: int
) -> int:
    """Write again after a lost answer; a conflict may be with ourselves."""
    key = wanted.key
    try:
        return await store.put(key, wanted.value, wanted.revision, lease)
    except StoreConflictError:
        return _resolve_conflict(await store.get(key), wanted.value)
    except StoreUnavailableError:
        if attempts == 1:
            raise
    return await _put_again(store, wanted, lease, attempts - 1)


def _resolve_conflict(found: StoredValue | None, marked_value: str) -> int:
    if found and found.value == marked_value:
        return found.revision
    # Another writer may have built upon ours before we could read it back.
    raise StoreUnavailableError(
        'the key moved on after a lost answer',
        remedy='read the key and decide anew',
    )
