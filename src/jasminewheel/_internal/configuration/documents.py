"""Convert resource documents to resources and back."""

from collections.abc import Iterable, Mapping
from functools import cache, partial
from sys import intern
from typing import Annotated, Any, get_args, get_origin

from attrs import frozen
from cattrs import Converter
from cattrs.dispatch import StructureHook

from jasminewheel._internal.settings.loader import make_converter
from jasminewheel._internal.settings.problems import (
    FieldProblem,
    list_problems,
)
from jasminewheel.errors import InvalidResourceError
from jasminewheel.models.fields import Name
from jasminewheel.models.resource import SPECS, Resource, ResourceKind, Spec
from jasminewheel.models.rules import Rule


@frozen
class ResourceDocument:
    """Represent a resource as an operator writes it."""

    kind: ResourceKind
    name: Name
    spec: dict[str, Any]
    version: int | None = None


@cache
def strict_converter() -> Converter:
    """Return the converter for documents that operators send."""
    converter = make_converter()
    converter.register_structure_hook_factory(
        lambda kind: get_origin(kind) is Annotated,
        lambda kind: _rule_hook(converter, kind),
    )
    converter.register_structure_hook(ResourceKind, _structure_kind)
    return converter


@cache
def stored_converter() -> Converter:
    """Return the converter for stored resources.

    It ignores fields unknown to this release, which a newer release may
    have written during an upgrade.
    """
    converter = Converter(detailed_validation=False, omit_if_default=True)
    converter.register_structure_hook(str, _intern_text)
    return converter


def parse_document(raw: Any, path_prefix: str) -> ResourceDocument:
    """Parse a document; raise InvalidResourceError that lists wrong fields."""
    try:
        return strict_converter().structure(raw, ResourceDocument)
    except Exception as error:
        raise InvalidResourceError(
            _problems_under(path_prefix, error)
        ) from error


def parse_spec(document: ResourceDocument, path_prefix: str) -> Spec:
    """Parse the spec; raise InvalidResourceError that lists wrong fields."""
    named = {**document.spec, 'name': document.name}
    try:
        return strict_converter().structure(named, SPECS[document.kind])
    except Exception as error:
        raise InvalidResourceError(
            _problems_under(_join(path_prefix, 'spec'), error),
        ) from error


def spec_document(spec: Spec) -> dict[str, Any]:
    """Return the specification as an operator would write it."""
    body = stored_converter().unstructure(spec)
    body.pop('name', None)
    return body


def resource_document(resource: Resource) -> dict[str, Any]:
    """Return the resource as an operator would write it."""
    return {
        'kind': resource.kind.value,
        'name': resource.spec.name,
        'version': resource.version,
        'spec': spec_document(resource.spec),
    }


def stored_resource(
    kind: ResourceKind,
    name: str,
    entry: Mapping[str, Any],
) -> Resource:
    """Return a resource from its entry in a stored part."""
    spec = stored_converter().structure(
        {**entry['spec'], 'name': name},
        SPECS[kind],
    )
    return Resource(kind, spec, entry['version'])


def _intern_text(raw: Any, _: Any) -> str:
    """Return the interned text: thousands of callers list the same targets."""
    return intern(str(raw))


def _problems_under(
    path_prefix: str, error: Exception
) -> tuple[FieldProblem, ...]:
    return tuple(
        FieldProblem(_join(path_prefix, found.path), found.problem)
        for found in list_problems(error)
    )


def _join(path_prefix: str, path: str) -> str:
    return '.'.join(part for part in (path_prefix, path) if part)


def _rule_hook(converter: Converter, kind: Any) -> StructureHook:
    plain, *rules = get_args(kind)
    return partial(_structure_with_rules, converter, plain, rules)


def _structure_with_rules(
    converter: Converter,
    plain: Any,
    rules: Iterable[Rule],
    raw: Any,
    _: Any,
) -> Any:
    field_value = converter.structure(raw, plain)
    for rule in rules:
        rule.check(field_value)
    return field_value


def _structure_kind(raw: Any, _: Any) -> ResourceKind:
    try:
        return ResourceKind(raw)
    except ValueError:
        words = ', '.join(kind.value for kind in ResourceKind)
        raise ValueError(f'must be one of {words}, got {raw!r}') from None
