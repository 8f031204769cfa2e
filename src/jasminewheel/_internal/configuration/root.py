"""Hold the root of the configuration, which names its parts."""

import json
from collections.abc import Mapping

from attrs import Factory, frozen
from cattrs import Converter

from jasminewheel.errors import ConfigurationError

ROOT_KEY = 'config/root'
PART_PREFIX = 'config/part/'
INITIAL_CALLER_SHARDS = 128
WRITERS_KEPT = 32

_CONVERTER = Converter()


@frozen
class Root:
    """Name the parts of one version by their digests.

    Replacing the root switches all parts at once. The marks of the last
    writers settle whether a change whose answer was lost took effect, also
    when others changed the root since.
    """

    version: int = 0
    writer: str = ''
    parts: Mapping[str, str] = Factory(dict)
    caller_shards: int = INITIAL_CALLER_SHARDS
    writers: tuple[str, ...] = ()

    def written_by(self, writer: str) -> bool:
        """Return whether the writer's change is in this version."""
        return writer in self.writers

    def text(self) -> str:
        """Return the root as it stands in the store."""
        return json.dumps(_CONVERTER.unstructure(self), sort_keys=True)


def read_root(text: str) -> Root:
    """Return the root; raise ConfigurationError for any other text."""
    try:
        return _CONVERTER.structure(json.loads(text), Root)
    except Exception as error:
        raise ConfigurationError(f'not a root: {error!r}') from error
