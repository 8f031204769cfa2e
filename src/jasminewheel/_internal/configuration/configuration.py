"""Represent one version of all resources and derive the next one."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

from attrs import Factory, evolve, frozen

from jasminewheel._internal.configuration.balance import balance
from jasminewheel._internal.configuration.change import ResourceChange
from jasminewheel._internal.configuration.documents import spec_document
from jasminewheel._internal.configuration.part import (
    Part,
    make_part,
    part_name,
)
from jasminewheel._internal.configuration.references import check_references
from jasminewheel._internal.configuration.root import (
    MAX_CHANGES,
    MAX_KEYS_PER_CHANGE,
    UNKNOWN_AUTHOR,
    Author,
    Root,
    RootChange,
)
from jasminewheel._internal.configuration.sharded import (
    ShardedKeys,
    ShardedSpecs,
)
from jasminewheel._internal.configuration.snapshot import Snapshot
from jasminewheel.errors import (
    InvalidResourceError,
    MissingResourceError,
    StaleVersionError,
)
from jasminewheel.models.policy import POLICY_NAME, Policy
from jasminewheel.models.resource import Resource, ResourceKey, ResourceKind


@frozen(eq=False)
class Configuration:
    """Represent one version: a root with all of its parts."""

    root: Root = Root()
    parts: Mapping[str, Part] = Factory(dict)

    @property
    def version(self) -> int:
        """Return the version of the root."""
        return self.root.version

    def get(self, key: ResourceKey) -> Resource | None:
        """Return a resource, or None if it does not exist."""
        part = self.parts.get(part_name(key, self.root.caller_shards))
        return part.resources.get(key.name) if part else None

    def list(self, kind: ResourceKind) -> list[Resource]:
        """Return the resources of a kind, sorted by name."""
        found = [
            resource
            for part in self.parts.values()
            if part.kind is kind
            for resource in part.resources.values()
        ]
        return sorted(found, key=_by_name)

    def snapshot(self) -> Snapshot:
        """Return a view of the resources for reading."""
        callers = self.specs(ResourceKind.caller)
        policies = self.specs(ResourceKind.policy)
        return Snapshot(
            version=self.version,
            callers=callers,
            targets=self.specs(ResourceKind.target),
            models=self.specs(ResourceKind.model),
            policy=policies.get(POLICY_NAME) or Policy(),
            names_by_key=ShardedKeys(tuple(callers.own_parts())),
        )

    def specs(self, kind: ResourceKind) -> ShardedSpecs:
        """Return the specifications of one kind by name."""
        return ShardedSpecs(kind, self.parts, self.root.caller_shards)

    def apply(
        self,
        changes: Iterable[ResourceChange],
        writer: str,
        author: Author = UNKNOWN_AUTHOR,
    ) -> 'Configuration':
        """Return the next version, or this one if no change has an effect.

        Raise StaleVersionError, MissingResourceError or InvalidResourceError
        if any change cannot be applied; then none is.
        """
        effective = [one for one in changes if self.has_effect(one)]
        if not effective:
            return self
        updated = self.next_version(effective, writer, author)
        problems = check_references(
            self.snapshot(),
            updated.snapshot(),
            [one.key for one in effective],
        )
        if problems:
            raise InvalidResourceError(problems)
        return updated

    def has_effect(self, change: ResourceChange) -> bool:
        """Return whether the change alters the resource.

        Raise StaleVersionError or MissingResourceError if it cannot apply.
        """
        existing = self.get(change.key)
        version = existing.version if existing else 0
        if change.expected_version not in {None, version}:
            raise StaleVersionError(
                f'{change.key} is at version {version}, '
                f'not {change.expected_version}',
                remedy='read the resource again and apply to its version',
            )
        if existing is None and change.spec is None:
            raise MissingResourceError(f'there is no {change.key}')
        return existing is None or change.spec != existing.spec

    def next_version(
        self,
        changes: Sequence[ResourceChange],
        writer: str,
        author: Author,
    ) -> 'Configuration':
        """Return the next version without checking the changes."""
        version = self.version + 1
        shards = self.root.caller_shards
        updates: dict[str, dict[str, Any]] = defaultdict(dict)
        for change in changes:
            name = part_name(change.key, shards)
            updates[name][change.key.name] = _entry(change, version)
        parts = dict(self.parts)
        for name, entries in updates.items():
            _update_part(parts, name, entries)
        parts, shards = balance(parts, shards)
        change_record = RootChange(
            version=version,
            writer=writer,
            author=author,
            keys=tuple(str(one.key) for one in changes[:MAX_KEYS_PER_CHANGE]),
            count=len(changes),
        )
        root = Root(
            version=version,
            writer=writer,
            parts={one: parts[one].digest for one in sorted(parts)},
            caller_shards=shards,
            changes=(*self.root.changes, change_record)[-MAX_CHANGES:],
        )
        return evolve(self, root=root, parts=parts)

    def changed_parts(self, earlier: 'Configuration') -> Iterator[Part]:
        """Iterate over the parts that the earlier version does not have."""
        earlier_digests = set(earlier.root.parts.values())
        for part in self.parts.values():
            if part.digest not in earlier_digests:
                yield part


def _by_name(resource: Resource) -> str:
    return resource.spec.name


def _entry(change: ResourceChange, version: int) -> dict[str, Any] | None:
    if change.spec is None:
        return None
    return {'version': version, 'spec': spec_document(change.spec)}


def _update_part(
    parts: dict[str, Part],
    name: str,
    updates: Mapping[str, Any],
) -> None:
    existing = parts.pop(name, None)
    entries = existing.entries() if existing else {}
    entries.update(updates)
    remaining = {
        one: entries[one] for one in entries if entries[one] is not None
    }
    if remaining:
        parts[name] = make_part(name, remaining)
