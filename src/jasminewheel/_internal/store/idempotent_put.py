"""Write to the store at most once, although answers may get lost."""

from uuid import uuid4

from jasminewheel._internal.store.client import Store, StoredValue
from jasminewheel._internal.store.key_writer import KeyWriter
from jasminewheel.errors import StoreConflictError, StoreUnavailableError

_ATTEMPTS = 3


def new_writer_mark() -> str:
    """Return a unique mark that identifies the value of one write."""
    return uuid4().hex


async def idempotent_put(
    store: Store, key: str, marked_value: str, expected_revision: int
) -> int:
    """Write a value that contains a writer mark; return its revision.

    After a lost answer the write is retried under the same expected revision,
    so it takes effect at most once; on a conflict the key is read to find out
    whose value it has. Raise StoreConflictError if the write certainly had no
    effect, StoreUnavailableError if that stays unknown.
    """
    writer = KeyWriter(store, key, expected_revision)
    try:
        return await writer.put(marked_value)
    except StoreUnavailableError:
        return await _put_again(writer, marked_value, _ATTEMPTS - 1)


async def _put_again(
    writer: KeyWriter, marked_value: str, attempts: int
) -> int:
    """Retry after a lost answer; a conflict may be with the first attempt."""
    try:
        return await writer.put(marked_value)
    except StoreConflictError:
        return _resolve_conflict(await writer.read(), marked_value)
    except StoreUnavailableError:
        if attempts == 1:
            raise
    return await _put_again(writer, marked_value, attempts - 1)


def _resolve_conflict(found: StoredValue | None, marked_value: str) -> int:
    if found and found.value == marked_value:
        return found.revision
    # Another writer may have replaced this value before it was read back.
    raise StoreUnavailableError(
        'the key changed after a lost answer; the outcome is unknown',
        remedy='read the key again before another attempt',
    )
