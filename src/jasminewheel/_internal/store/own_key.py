"""Write the key of this process, and notice if it is no longer as written."""

import logging

from attrs import define, field, frozen

from jasminewheel._internal.events import store as events
from jasminewheel._internal.store.key_writer import KeyWriter
from jasminewheel._internal.store.mirror import StoreMirror
from jasminewheel._internal.store.port import LeasedItem, WatchedStore
from jasminewheel.errors import LeaseEndedError, StoreConflictError

_LOGGER = logging.getLogger(__name__)


@frozen
class Sighting:
    """Represent what a mirror has of a key, as of a revision of the store."""

    # Revision of the key; 0 if there is no such key.
    revision: int = 0
    as_of: int = 0

    def differs(self, written_revision: int) -> bool:
        """Return whether the key changed after it was written."""
        is_newer = self.as_of >= written_revision
        return is_newer and self.revision != written_revision


@define(eq=False)
class OwnKey:
    """Keep the value of a key as this process wants it, under its lease.

    Each write has a condition, so a former write that the store executes late
    does not undo it. What a mirror of the store has of the key is compared
    with what was written: a key that is gone, or that has an older value of
    this process, is written again. A key that another process has taken, which
    registered later, is left to that one until it is gone.
    """

    store: WatchedStore
    key: str
    value: bytes
    mirror: StoreMirror | None = None
    is_written: bool = False
    # Whether the key had a value of this process, so that a value of another
    # one is of a later process.
    registered: bool = False
    # Whether a later process registered by this key.
    replaced: bool = False
    # Whether the key is to be read, which may have failed so far.
    checking: bool = False
    writer: KeyWriter = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the writer of the key."""
        self.writer = KeyWriter(self.store, self.key)

    async def write_or_check(self, lease: str) -> None:
        """Write the key if needed; read it if the mirror's differs."""
        if not (self.is_written or self.replaced):
            await self.write(lease)
        if self.differs():
            await self.check(lease)

    async def write(self, lease: str) -> None:
        """Write the key under the lease.

        At first any value is replaced, later only one of this process.
        """
        try:
            await self.put(lease)
        except LeaseEndedError:
            raise
        except StoreConflictError:
            self.accept(await self.writer.read(), lease)
            if not (self.is_written or self.replaced):
                await self.put(lease)

    async def put(self, lease: str) -> None:
        """Write the key once; another value may be wanted by then."""
        value = self.value
        await self.writer.put(value, lease)
        self.is_written = value == self.value
        self.registered = True

    async def check(self, lease: str) -> None:
        """Compare the key with what was written; write it if needed."""
        seen = self.sighting()
        self.checking = True
        self.accept(await self.writer.read(), lease)
        self.checking = False
        events.KEY_DIFFERED.log(
            _LOGGER,
            key=self.key,
            seen=seen.revision,
            as_of=seen.as_of,
            stored=self.writer.revision,
            as_written=self.is_written,
            replaced=self.replaced,
        )
        if not (self.is_written or self.replaced):
            # If the lease has ended, a new one is needed first.
            await self.store.renew_lease(lease)
            await self.write(lease)

    def accept(self, found: LeasedItem | None, lease: str) -> None:
        """Decide by what is stored whether the key is to be written."""
        own = found is not None and found.lease == lease
        self.replaced = self.registered and found is not None and not own
        self.is_written = own and found.value == self.value

    def sighting(self) -> Sighting:
        """Return what the mirror has of the key."""
        if self.mirror is None:
            return Sighting()
        found = self.mirror.items.get(self.key)
        revision = found.revision if found else 0
        return Sighting(revision, self.mirror.revision)

    def differs(self) -> bool:
        """Return whether the key was changed after it was last written."""
        written = self.writer.revision
        return written > 0 and self.sighting().differs(written)

    def is_unexpected(self) -> bool:
        """Return whether the key differs, and that is not being handled."""
        settled = self.is_written or self.replaced
        return settled and not self.checking and self.differs()
