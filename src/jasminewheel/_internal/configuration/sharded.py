"""Read resources from the parts of a configuration without copying."""

from collections.abc import Iterator, Mapping
from typing import Any

from attrs import frozen

from jasminewheel._internal.configuration.part import Part, part_name
from jasminewheel.models.resource import ResourceKey, ResourceKind


@frozen(eq=False)
class ShardedSpecs(Mapping[str, Any]):
    """Map names to specifications of one kind across parts."""

    kind: ResourceKind
    parts: Mapping[str, Part]
    caller_shards: int

    def __getitem__(self, name: str) -> Any:
        """Return the specification of the name."""
        key = ResourceKey(self.kind.value, name)
        part = self.parts[part_name(key, self.caller_shards)]
        return part.resources[name].spec

    def __iter__(self) -> Iterator[str]:
        """Iterate over the names."""
        for part in self.own_parts():
            yield from part.resources

    def __len__(self) -> int:
        """Return the number of resources."""
        return sum(len(part.resources) for part in self.own_parts())

    def own_parts(self) -> Iterator[Part]:
        """Iterate over the parts of the kind."""
        for part in self.parts.values():
            if part.kind is self.kind:
                yield part


@frozen(eq=False)
class ShardedKeys(Mapping[str, str]):
    """Map hashes of keys to callers' names across parts."""

    parts: tuple[Part, ...]

    def __getitem__(self, digest: str) -> str:
        """Return the caller of the key with this hash."""
        for part in self.parts:
            name = part.names_by_key.get(digest)
            if name is not None:
                return name
        raise KeyError(digest)

    def __iter__(self) -> Iterator[str]:
        """Iterate over the hashes."""
        for part in self.parts:
            yield from part.names_by_key

    def __len__(self) -> int:
        """Return the number of keys."""
        return sum(len(part.names_by_key) for part in self.parts)
