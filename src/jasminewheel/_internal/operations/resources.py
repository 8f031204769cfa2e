"""Read and change resources."""

from collections.abc import Sequence
from typing import Any

from attrs import define, frozen

from jasminewheel._internal.configuration.change import ResourceChange
from jasminewheel._internal.configuration.configuration import Configuration
from jasminewheel._internal.configuration.documents import (
    parse_document,
    parse_spec,
)
from jasminewheel._internal.configuration.root import Author
from jasminewheel._internal.fleet.fleet import Fleet
from jasminewheel._internal.settings.problems import FieldProblem
from jasminewheel.errors import InvalidResourceError, MissingResourceError
from jasminewheel.models.resource import Resource, ResourceKey, ResourceKind

MAX_RESOURCES = 100_000


@frozen
class ApplyResult:
    """Represent the resulting version and the resources that changed."""

    version: int
    changed: tuple[ResourceKey, ...]


def read_changes(documents: Any) -> list[ResourceChange]:
    """Parse the changes; raise InvalidResourceError that lists all problems."""
    if not isinstance(documents, list) or len(documents) > MAX_RESOURCES:
        problem = f'must be a list of at most {MAX_RESOURCES} resources'
        raise InvalidResourceError((FieldProblem('resources', problem),))
    changes: list[ResourceChange] = []
    problems: list[object] = []
    for position, document in enumerate(documents):
        try:
            changes.append(read_change(document, f'resources[{position}]'))
        except InvalidResourceError as error:
            problems.extend(error.problems)
    problems.extend(_duplicate_documents(changes))
    if problems:
        raise InvalidResourceError(problems)
    return changes


def read_change(raw: Any, path_prefix: str) -> ResourceChange:
    """Parse the change that a document describes."""
    document = parse_document(raw, path_prefix)
    spec = parse_spec(document, path_prefix)
    key = ResourceKey(document.kind.value, document.name)
    return ResourceChange(key, spec, document.version)


@define
class ResourceOperations:
    """Read from the configuration in force and commit changes to the store."""

    fleet: Fleet

    @property
    def current(self) -> Configuration:
        """Return the configuration in force."""
        return self.fleet.spread.configuration.current

    def get(self, key: ResourceKey) -> Resource:
        """Return a resource; raise MissingResourceError if there is none."""
        found = self.current.get(key)
        if found is None:
            raise MissingResourceError(f'there is no {key}')
        return found

    def list(self, kind: ResourceKind) -> list[Resource]:
        """Return the resources of a kind."""
        return self.current.list(kind)

    async def apply(
        self,
        changes: Sequence[ResourceChange],
        author: Author,
    ) -> ApplyResult:
        """Commit the changes in one version and put it in force here."""
        earlier = self.current
        committed = await self.fleet.repository.commit(
            changes,
            earlier,
            author,
        )
        await self.fleet.spread.configuration.put_in_force(committed)
        return ApplyResult(committed.version, _changed_keys(changes, committed))

    def preview(self, changes: Sequence[ResourceChange]) -> ApplyResult:
        """Check the changes against the version in force; commit nothing."""
        updated = self.current.apply(changes, 'preview')
        return ApplyResult(
            self.current.version, _changed_keys(changes, updated)
        )


def _changed_keys(
    changes: Sequence[ResourceChange],
    updated: Configuration,
) -> tuple[ResourceKey, ...]:
    """Return the keys of changes that took effect in the next version."""
    found = []
    for change in changes:
        resource = updated.get(change.key)
        if resource is None or resource.version == updated.version:
            found.append(change.key)
    return tuple(found)


def _duplicate_documents(
    changes: Sequence[ResourceChange],
) -> list[FieldProblem]:
    keys = [change.key for change in changes]
    repeated = sorted({key for key in keys if keys.count(key) > 1})
    return [
        FieldProblem(str(key), 'is given more than once') for key in repeated
    ]
