"""Define the interface of a store that can be watched."""

from typing import Protocol

from attrs import frozen

from jasminewheel.errors import StoreError

# Begins the keys that this product writes: one for each of its processes, and
# the replica set.
STORE_PREFIX = 'jasminewheel/'


class StoreHistoryLostError(StoreError):
    """Report that the store no longer has the changes since a revision."""

    code = 'store-history-lost'


@frozen
class StoreItem:
    """Represent one value and the revision that wrote it."""

    key: str
    value: bytes
    revision: int


@frozen
class LeasedItem:
    """Represent one value, its revision and the lease that it is bound to."""

    value: bytes
    revision: int
    # Empty for a value that is not bound to a lease.
    lease: str


@frozen
class StoreSnapshot:
    """Represent all values as of a revision."""

    items: tuple[StoreItem, ...]
    revision: int
    # How long before the question these were certainly the newest.
    proof_age_seconds: float = 0


@frozen
class StoreChanges:
    """Represent the keys written and removed up to a revision."""

    written: tuple[StoreItem, ...]
    removed: tuple[str, ...]
    revision: int
    # Whether all items were written here; any other key was removed then.
    complete: bool = False
    # Whether the process that read these says that missing keys were removed;
    # None if it does not say, or this process read them itself.
    settled: bool | None = None
    # How many processes watch the store as this one does, and so share the
    # rate of its calls; None if all listed processes do.
    watchers: int | None = None
    # How long ago the store answered the process that read these.
    age_seconds: float = 0
    # How long before the question these were certainly the newest.
    proof_age_seconds: float = 0


class ReadableStore(Protocol):
    """Read and watch keys.

    Each method raises StoreUnavailableError if no answer came.
    """

    async def snapshot(self) -> StoreSnapshot:
        """Return all values."""

    async def changes(
        self, after_revision: int, wait_seconds: float
    ) -> StoreChanges:
        """Return changes after a revision; wait at most wait_seconds.

        Raise StoreHistoryLostError if the store no longer has them.
        """


class WatchedStore(ReadableStore, Protocol):
    """Read, write and watch keys.

    Each method raises StoreUnavailableError if no answer came; a change may
    then have taken effect, or may still do so while its condition holds. No
    value is written without a condition: executed late, such a write would
    undo a newer one.
    """

    async def get(self, key: str) -> LeasedItem | None:
        """Return what is stored under a key now, or None."""

    async def put(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease: str = '',
    ) -> int:
        """Write a value and return its revision.

        Raise StoreConflictError if the key is at another revision (0 stands
        for no value), LeaseEndedError if the lease has ended.
        """

    async def grant_lease(self, ttl_seconds: float) -> str:
        """Return a new lease."""

    async def renew_lease(self, lease: str) -> None:
        """Extend a lease; raise LeaseEndedError if it has ended."""

    async def end_lease(self, lease: str) -> None:
        """End a lease and delete its keys."""
