"""Buffer recent changes of resources for watches."""

from collections import deque
from collections.abc import Iterable, Iterator

from attrs import define, field, frozen

from jasminewheel._internal.configuration.configuration import Configuration
from jasminewheel._internal.configuration.part import Part
from jasminewheel._internal.configuration.sync import ConfigurationSync
from jasminewheel.errors import ExpiredVersionError
from jasminewheel.models.resource import Resource, ResourceKey

MAX_CHANGES = 10000


@frozen
class WatchedChange:
    """Represent a resource that was put, or the key of a deleted one."""

    version: int
    key: ResourceKey
    resource: Resource | None


@define
class ChangeFeed:
    """Record the differences between successive versions in force.

    Versions that this process skipped appear as one change, so that a watch
    always ends with the state in force.
    """

    sync: ConfigurationSync
    last_seen: Configuration = field(init=False)
    first_version: int = field(init=False)
    changes: deque[WatchedChange] = field(
        factory=lambda: deque(maxlen=MAX_CHANGES),
    )

    def __attrs_post_init__(self) -> None:
        """Start from the version in force."""
        self.last_seen = self.sync.current
        self.first_version = self.last_seen.version

    async def changed(self, after_version: int) -> list[WatchedChange]:
        """Wait for changes after a version and return them.

        Raise ExpiredVersionError if some of them are no longer buffered.
        """
        await self.sync.view.changed(after_version)
        self.compare()
        if after_version < self.oldest():
            raise ExpiredVersionError(
                f'changes after version {after_version} are no longer buffered',
                remedy='list the resources and watch from the listed version',
            )
        return [one for one in self.changes if one.version > after_version]

    def oldest(self) -> int:
        """Return the oldest version from which a watch can start."""
        if len(self.changes) < MAX_CHANGES:
            return self.first_version
        return self.changes[0].version

    def compare(self) -> None:
        """Record the changes since the last comparison."""
        current = self.sync.current
        if current.version != self.last_seen.version:
            self.changes.extend(compare(self.last_seen, current))
            self.last_seen = current


def compare(
    earlier: Configuration,
    later: Configuration,
) -> Iterator[WatchedChange]:
    """Iterate over the differences between two versions."""
    for resource in _resources(later.changed_parts(earlier)):
        existing = earlier.get(resource.key)
        if existing is None or existing.version != resource.version:
            yield WatchedChange(later.version, resource.key, resource)
    for old in _resources(earlier.changed_parts(later)):
        if later.get(old.key) is None:
            yield WatchedChange(later.version, old.key, None)


def _resources(parts: Iterable[Part]) -> Iterator[Resource]:
    for part in parts:
        yield from part.resources.values()
