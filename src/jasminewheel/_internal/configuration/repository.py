"""Read and commit configurations in the key-value store."""

import logging
from collections.abc import Iterable
from uuid import uuid4

import trio
from attrs import define, field, frozen

from jasminewheel._internal.configuration.change import ResourceChange
from jasminewheel._internal.configuration.configuration import Configuration
from jasminewheel._internal.configuration.part import Part, read_part
from jasminewheel._internal.configuration.root import (
    PART_PREFIX,
    ROOT_KEY,
    UNKNOWN_AUTHOR,
    Author,
    Root,
    read_root,
)
from jasminewheel._internal.events import configuration as events
from jasminewheel._internal.parallel import map_parallel
from jasminewheel._internal.store.client import Store
from jasminewheel.errors import (
    ConfigurationError,
    StaleVersionError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    UnsettledCommitError,
)

COMMIT_ATTEMPTS = 8
OUTCOME_TIMEOUT_SECONDS = 10.0
RETRY_PAUSE_SECONDS = 0.2
PARALLEL = 8
_LOGGER = logging.getLogger(__name__)


@frozen(eq=False)
class StoredConfiguration:
    """Represent a configuration with the store's revision of its root."""

    configuration: Configuration
    revision: int


@define
class ConfigurationRepository:
    """Read and replace the configuration in the store.

    A commit writes the parts first, under their digests; then one
    compare-and-swap of the root switches to all of them.
    """

    store: Store
    member: str
    cached: Configuration = field(factory=Configuration)

    async def read(self) -> StoredConfiguration:
        """Return the stored configuration; read only parts not cached."""
        attempts = COMMIT_ATTEMPTS
        while attempts:
            attempts -= 1
            stored = await self.store.get(ROOT_KEY)
            root = read_root(stored.value) if stored else Root()
            revision = stored.revision if stored else 0
            try:
                self.cached = await self.assemble(root)
            except ConfigurationError:
                # A newer root has replaced parts since this one was read.
                continue
            return StoredConfiguration(self.cached, revision)
        raise ConfigurationError(
            'the store lacks parts of the configuration',
            remedy='restore the keys below config/part/ in the store',
        )

    async def assemble(self, root: Root) -> Configuration:
        """Return the configuration of a root; read missing parts."""
        parts_by_digest = {
            part.digest: part for part in self.cached.parts.values()
        }
        missing = {
            name: digest
            for name, digest in root.parts.items()
            if digest not in parts_by_digest
        }
        parts = await map_parallel(self.read_part, missing.items(), PARALLEL)
        parts_by_digest.update({part.digest: part for part in parts})
        return Configuration(
            root,
            {one: parts_by_digest[root.parts[one]] for one in root.parts},
        )

    async def read_part(self, item: tuple[str, str]) -> Part:
        """Return the part with a name and a digest from the store."""
        name, digest = item
        stored = await self.store.get(f'{PART_PREFIX}{digest}')
        if stored is None:
            raise ConfigurationError(f'the store lacks part {name} {digest}')
        return read_part(name, stored.value.encode('utf-8'), digest)

    async def commit(
        self,
        changes: Iterable[ResourceChange],
        in_force: Configuration,
        author: Author = UNKNOWN_AUTHOR,
    ) -> Configuration:
        """Apply all of the changes at once, or raise and apply none.

        A store whose version is older than the one in force was restored
        from an old copy; the changes then apply to the version in force.
        Raise UnsettledCommitError if the store fails and the outcome is
        unknown, StaleVersionError if other commits win every attempt.
        """
        wanted = tuple(changes)
        attempts = COMMIT_ATTEMPTS
        while attempts:
            attempts -= 1
            stored = await self.read()
            writer = f'{self.member}/{uuid4().hex}'
            base = max(stored.configuration, in_force, key=_version)
            updated = base.apply(wanted, writer, author)
            if updated is base:
                return updated
            if await self.replace(stored, updated):
                self.cached = updated
                return updated
        raise StaleVersionError(
            'other changes were committed during each attempt',
            remedy='apply again',
        )

    async def replace(
        self,
        stored: StoredConfiguration,
        updated: Configuration,
    ) -> bool:
        """Write new parts and replace the root.

        Return False if another commit replaced the root first.
        """
        added = updated.changed_parts(stored.configuration)
        await map_parallel(self.write_part, added, PARALLEL)
        unused = await self.find_unused(stored.configuration, updated)
        if not await self.replace_root(updated.root, stored.revision):
            return False
        events.COMMITTED.log(
            _LOGGER,
            version=updated.version,
            writer=updated.root.writer,
        )
        await self.delete_unused(unused)
        return True

    async def write_part(self, part: Part) -> None:
        """Write a part, even if it is already stored.

        The new revision prevents another writer, which found the part unused
        at its former revision, from deleting it now.
        """
        key = f'{PART_PREFIX}{part.digest}'
        text = part.text().decode('utf-8')
        while True:
            stored = await self.store.get(key)
            try:
                await self.store.put(
                    key, text, stored.revision if stored else 0
                )
            except StoreConflictError:
                continue
            return

    async def replace_root(self, root: Root, revision: int) -> bool:
        """Replace the root; return False if another commit did so first.

        The same compare-and-swap is repeated until its outcome is known,
        since a request without a reply may still take effect later. After a
        conflict the stored root shows whether this commit took effect.
        """
        with trio.move_on_after(OUTCOME_TIMEOUT_SECONDS):
            while True:
                try:
                    await self.store.put(ROOT_KEY, root.text(), revision)
                except StoreConflictError:
                    return await self.is_committed(root)
                except StoreUnavailableError:
                    await trio.sleep(RETRY_PAUSE_SECONDS)
                    continue
                return True
        events.OUTCOME_UNKNOWN.log(_LOGGER, writer=root.writer)
        raise UnsettledCommitError(
            'the store did not confirm the commit; it may still take effect',
            remedy='apply again when the store answers; '
            'a change that took effect is not repeated',
        )

    async def is_committed(self, root: Root) -> bool:
        """Return whether the stored version includes the root's change."""
        while True:
            try:
                stored = await self.store.get(ROOT_KEY)
            except StoreUnavailableError:
                await trio.sleep(RETRY_PAUSE_SECONDS)
                continue
            return bool(stored) and read_root(stored.value).includes_change_by(
                root.writer,
            )

    async def find_unused(
        self,
        earlier: Configuration,
        updated: Configuration,
    ) -> dict[str, int]:
        """Return the revisions of parts that the next version does not use."""
        parts = earlier.changed_parts(updated)
        keys = [f'{PART_PREFIX}{part.digest}' for part in parts]
        found = await map_parallel(self.store.get, keys, PARALLEL)
        return {stored.key: stored.revision for stored in found if stored}

    async def delete_unused(self, unused: dict[str, int]) -> None:
        """Delete parts that have not been written again since."""
        await map_parallel(self.delete_part, unused.items(), PARALLEL)

    async def delete_part(self, item: tuple[str, int]) -> None:
        """Delete a key if it is still at the revision; log any failure."""
        key, revision = item
        try:
            await self.store.delete(key, revision)
        except StoreError as error:
            events.PART_NOT_DELETED.log(_LOGGER, key=key, problem=error)


def _version(configuration: Configuration) -> int:
    return configuration.version
