"""Write a key so that a write executed late can't undo a newer one."""

from typing import Protocol, TypeVar

from attrs import define

from jasminewheel.errors import LeaseEndedError, StoreConflictError

Value = TypeVar('Value', str, bytes)


class Stored(Protocol):
    """Represent what the store holds under a key."""

    @property
    def revision(self) -> int:
        """Return the revision that wrote it."""


class ConditionalStore(Protocol[Value]):
    """Write a key under a condition, and read it.

    Each method raises StoreUnavailableError if no answer came; a write may
    then have taken effect, or may still do so while its condition holds.
    """

    async def put(
        self,
        key: str,
        value: Value,
        expected_revision: int,
        lease: str = '',
    ) -> int:
        """Write a value and return its revision; 0 expects no such key."""

    async def get(self, key: str) -> Stored | None:
        """Return what is stored under a key, or None."""


@define(eq=False)
class KeyWriter:
    """Write one key, each time under the revision last known of it.

    A write without an answer may still be executed, so the next one has the
    same condition: at most one of them takes effect, and once one has, each
    later write has a condition that none of the earlier ones had.
    """

    store: ConditionalStore
    key: str
    # The revision that the next write expects; 0 expects no such key.
    revision: int = 0

    async def put(self, value: Value, lease: str = '') -> int:
        """Write a value once and return its revision.

        Raise StoreConflictError if the key is at another revision, which an
        earlier write without an answer may have written; LeaseEndedError if
        the lease has ended.
        """
        self.revision = await self.store.put(
            self.key, value, self.revision, lease=lease
        )
        return self.revision

    async def read(self) -> Stored | None:
        """Return what is stored; the next write expects its revision."""
        found = await self.store.get(self.key)
        self.revision = found.revision if found else 0
        return found

    async def replace(self, value: Value, lease: str = '') -> int:
        """Write a value over whatever is stored and return its revision.

        Raise StoreConflictError if the key changes meanwhile.
        """
        try:
            return await self.put(value, lease)
        except LeaseEndedError:
            raise
        except StoreConflictError:
            await self.read()
        return await self.put(value, lease)
