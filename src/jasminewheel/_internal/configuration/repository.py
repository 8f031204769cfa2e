"""Read and commit configurations in the key-value service."""

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
    """Hold a configuration with the store's revision of its root."""

    configuration: Configuration
    revision: int


@define
class ConfigurationRepository:
    """Read and replace the configuration in the store.

    Parts are written first, under their digests; then one compare-and-swap
    of the root puts all of them in force.
    """

    store: Store
    member: str
    known: Configuration = field(factory=Configuration)

    async def read(self) -> StoredConfiguration:
        """Return what the store holds; parts already known are not read."""
        attempts = COMMIT_ATTEMPTS
        while attempts:
            attempts -= 1
            stored = await self.store.get(ROOT_KEY)
            root = read_root(stored.value) if stored else Root()
            revision = stored.revision if stored else 0
            try:
                self.known = await self.assemble(root)
            except ConfigurationError:
                # A newer root has replaced parts since this one was read.
                continue
            return StoredConfiguration(self.known, revision)
        raise ConfigurationError(
            'the store lacks parts of the configuration',
            remedy='restore the keys below config/part/ in the store',
        )

    async def assemble(self, root: Root) -> Configuration:
        """Return the configuration of a root."""
        known = {part.digest: part for part in self.known.parts.values()}
        missing = {
            name: digest
            for name, digest in root.parts.items()
            if digest not in known
        }
        parts = await map_parallel(self.read_part, missing.items(), PARALLEL)
        known.update({part.digest: part for part in parts})
        return Configuration(
            root,
            {one: known[root.parts[one]] for one in root.parts},
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
        """Make all of the changes at once, or raise and make none.

        A store that holds an older version than the one in force was put
        back to an old copy; the change then builds on what is in force.
        Raise UnsettledCommitError if the store fails so that it is unknown
        whether the changes took effect.
        """
        wanted = tuple(changes)
        attempts = COMMIT_ATTEMPTS
        while attempts:
            attempts -= 1
            stored = await self.read()
            writer = f'{self.member}/{uuid4().hex}'
            base = max(stored.configuration, in_force, key=_version)
            following = base.apply(wanted, writer, author)
            if following is base:
                return following
            if await self.replace(stored, following):
                self.known = following
                return following
        raise StaleVersionError(
            'other changes were made meanwhile',
            remedy='apply again',
        )

    async def replace(
        self,
        stored: StoredConfiguration,
        following: Configuration,
    ) -> bool:
        """Write new parts and switch the root; return False if outrun."""
        added = following.changed_parts(stored.configuration)
        await map_parallel(self.write_part, added, PARALLEL)
        unused = await self.find_unused(stored.configuration, following)
        if not await self.replace_root(following.root, stored.revision):
            return False
        events.COMMITTED.log(
            _LOGGER,
            version=following.version,
            writer=following.root.writer,
        )
        await self.delete_unused(unused)
        return True

    async def write_part(self, part: Part) -> None:
        """Write a part, again if it stands there.

        The new revision keeps a writer that found the part unused before
        from deleting it now.
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
        """Replace the root; settle a lost answer by reading back.

        The same compare-and-swap is sent until its outcome is known, since
        a request without an answer may take effect later.
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
        events.UNSETTLED.log(_LOGGER, writer=root.writer)
        raise UnsettledCommitError(
            'the store does not answer; the change may take effect',
            remedy='apply again when the store answers; it has no more effect',
        )

    async def is_committed(self, root: Root) -> bool:
        """Return whether the root's change is in the stored version."""
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
        following: Configuration,
    ) -> dict[str, int]:
        """Return revisions of the parts that the next version lacks."""
        parts = earlier.changed_parts(following)
        keys = [f'{PART_PREFIX}{part.digest}' for part in parts]
        found = await map_parallel(self.store.get, keys, PARALLEL)
        return {stored.key: stored.revision for stored in found if stored}

    async def delete_unused(self, unused: dict[str, int]) -> None:
        """Delete parts unless they were written again since."""
        await map_parallel(self.delete_part, unused.items(), PARALLEL)

    async def delete_part(self, item: tuple[str, int]) -> None:
        """Delete a key at a revision, or leave it."""
        key, revision = item
        try:
            await self.store.delete(key, revision)
        except StoreError as error:
            events.PART_LEFT.log(_LOGGER, key=key, problem=error)


def _version(configuration: Configuration) -> int:
    return configuration.version
