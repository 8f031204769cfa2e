"""Hold the root of the configuration, which names its parts."""

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
    """Say who changes the configuration, and when in Unix time."""

    operator: str = ''
    at: float = 0


UNKNOWN_AUTHOR = Author()


@frozen
class RootChange:
    """Record one change; the writer's mark is unlike any other's."""

    version: int
    writer: str
    author: Author = UNKNOWN_AUTHOR
    keys: tuple[str, ...] = ()
    count: int = 0


@frozen
class Root:
    """Name the parts of one version by their digests.

    Replacing the root switches all parts at once. The writers' marks of the
    last changes settle whether a change whose answer was lost took effect,
    also when others changed the root since.
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
        """Return the root as it stands in the store."""
        return json.dumps(_CONVERTER.unstructure(self), sort_keys=True)


def read_root(text: str) -> Root:
    """Return the root; raise ConfigurationError for any other text."""
    try:
        return _CONVERTER.structure(json.loads(text), Root)
    except Exception as error:
        raise ConfigurationError(f'not a root: {error!r}') from error
