"""Represent the root of the configuration, which lists its parts."""

import json
from collections.abc import Mapping

from attrs import Factory, frozen
from cattrs import Converter

from jasminewheel.errors import ConfigurationError

ROOT_KEY = 'config/root'
PART_PREFIX = 'config/part/'
INITIAL_CALLER_SHARDS = 128
MAX_CHANGES = 64
MAX_KEYS_PER_CHANGE = 8

_CONVERTER = Converter()


@frozen
class Author:
    """Represent the operator and the Unix time of a change."""

    operator: str = ''
    at: float = 0


UNKNOWN_AUTHOR = Author()


@frozen
class RootChange:
    """Record one change; `writer` is a unique identifier of its commit."""

    version: int
    writer: str
    author: Author = UNKNOWN_AUTHOR
    keys: tuple[str, ...] = ()
    count: int = 0


@frozen
class Root:
    """List the parts of one version by their digests.

    Replacing the root switches all parts at once. The writers of the last
    changes show whether a commit whose reply was lost took effect, even if
    the root has been changed since.
    """

    version: int = 0
    writer: str = ''
    parts: Mapping[str, str] = Factory(dict)
    caller_shards: int = INITIAL_CALLER_SHARDS
    changes: tuple[RootChange, ...] = ()

    def includes_change_by(self, writer: str) -> bool:
        """Return whether the writer's change is in this version."""
        return any(change.writer == writer for change in self.changes)

    def text(self) -> str:
        """Return the root as JSON for the store."""
        return json.dumps(_CONVERTER.unstructure(self), sort_keys=True)


def read_root(text: str) -> Root:
    """Parse a root; raise ConfigurationError for any other text."""
    try:
        return _CONVERTER.structure(json.loads(text), Root)
    except Exception as error:
        raise ConfigurationError(
            f'text is not a configuration root: {error!r}'
        ) from error
