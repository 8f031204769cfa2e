"""Compare resources in files with the configuration in force."""

import json
from collections.abc import Iterator
from difflib import unified_diff
from typing import Any

from attrs import frozen

from jasminewheel._internal.configuration.documents import (
    parse_document,
    parse_spec,
    spec_document,
)
from jasminewheel.commands.ctl.client import OperatorClient
from jasminewheel.commands.ctl.errors import CommandError
from jasminewheel.commands.ctl.exit_codes import ExitCode
from jasminewheel.commands.ctl.kinds import collection_of
from jasminewheel.errors import InvalidResourceError


@frozen
class Difference:
    """Describe the change of one resource as lines of a unified diff."""

    name: str
    lines: tuple[str, ...]


def find_differences(
    client: OperatorClient,
    documents: list[Any],
) -> Iterator[Difference]:
    """Yield the difference of each resource that apply would change."""
    for position, raw in enumerate(documents):
        try:
            document = parse_document(raw, f'resources[{position}]')
            desired = spec_document(parse_spec(document, ''))
        except InvalidResourceError as error:
            raise CommandError(str(error), ExitCode.refused) from error
        kind = document.kind.value
        current = _fetch_spec(client, kind, document.name)
        lines = tuple(
            unified_diff(
                _lines(current),
                _lines(desired),
                'in force',
                'wanted',
                lineterm='',
            ),
        )
        if lines:
            yield Difference(f'{kind}/{document.name}', lines)


def _fetch_spec(client: OperatorClient, kind: str, name: str) -> Any:
    try:
        return client.get(f'{collection_of(kind)}/{name}')['spec']
    except CommandError as error:
        if error.exit_code is ExitCode.missing:
            return None
        raise


def _lines(spec: Any) -> list[str]:
    if spec is None:
        return []
    return json.dumps(spec, indent=2, sort_keys=True).splitlines()
