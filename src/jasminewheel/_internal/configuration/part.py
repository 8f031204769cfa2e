"""Hold one part of the configuration under the digest of its text."""

import json
from collections.abc import Mapping
from functools import cached_property
from hashlib import blake2b
from typing import Any

import zstandard
from attrs import frozen

from jasminewheel._internal.configuration.documents import stored_resource
from jasminewheel._internal.configuration.snapshot import index_keys
from jasminewheel.errors import ConfigurationError
from jasminewheel.models.caller import Caller
from jasminewheel.models.resource import Resource, ResourceKey, ResourceKind

DIGEST_BYTES = 16
MAX_TEXT_BYTES = 1_048_576
Entries = dict[str, Any]


def digest_of(text: bytes) -> str:
    """Return the name under which a part's text is kept."""
    return blake2b(text, digest_size=DIGEST_BYTES).hexdigest()


def part_name(key: ResourceKey, caller_shards: int) -> str:
    """Return the part that holds a resource; callers are many, so sharded."""
    if key.kind != ResourceKind.caller.value:
        return key.kind
    name_hash = blake2b(key.name.encode('utf-8'), digest_size=8).digest()
    shard = int.from_bytes(name_hash, 'big') % caller_shards
    return f'{key.kind}-{shard}'


@frozen(eq=False)
class Part:
    """Hold a part's compressed text; resources are decoded when asked for.

    The text is kept as it was written, since a newer release may have
    written fields that this one does not know.
    """

    name: str
    digest: str
    packed: bytes
    size_bytes: int

    @cached_property
    def kind(self) -> ResourceKind:
        """Return the kind of the resources within."""
        return ResourceKind(self.name.partition('-')[0])

    @cached_property
    def resources(self) -> Mapping[str, Resource]:
        """Return the resources by name."""
        entries = self.entries()
        return {
            name: stored_resource(self.kind, name, entries[name])
            for name in entries
        }

    @cached_property
    def names_by_key(self) -> Mapping[str, str]:
        """Return callers' names by the hashes of their keys."""
        specs = {name: one.spec for name, one in self.resources.items()}
        return index_keys(
            {
                name: spec
                for name, spec in specs.items()
                if isinstance(spec, Caller)
            },
        )

    def decode(self) -> int:
        """Decode now; return the number of resources and keys."""
        return len(self.resources) + len(self.names_by_key)

    def text(self) -> bytes:
        """Return the text that the digest names."""
        return zstandard.decompress(self.packed)

    def entries(self) -> Entries:
        """Return the entries as written."""
        return json.loads(self.text())


def make_part(name: str, entries: Mapping[str, Any]) -> Part:
    """Return the part with these entries."""
    text = json.dumps(entries, sort_keys=True, separators=(',', ':'))
    return read_part(name, text.encode('utf-8'))


def read_part(name: str, text: bytes, digest: str = '') -> Part:
    """Return the part with this text; raise if the digest is another."""
    found = digest_of(text)
    if digest and digest != found:
        raise ConfigurationError(
            f'part {name} has digest {found}, not {digest}'
        )
    return Part(name, found, zstandard.compress(text), len(text))


def unpack_part(name: str, packed: bytes, digest: str) -> Part:
    """Return a part as a peer sent it; raise if it is not what was asked."""
    try:
        text = zstandard.decompress(packed, max_output_size=MAX_TEXT_BYTES)
    except zstandard.ZstdError as error:
        raise ConfigurationError(f'part {name} is broken: {error}') from error
    return read_part(name, text, digest)
