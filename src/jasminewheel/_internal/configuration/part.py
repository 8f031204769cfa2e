"""Represent one part of the configuration, named by its text's digest."""

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
    """Return the digest under which a part's text is stored."""
    return blake2b(text, digest_size=DIGEST_BYTES).hexdigest()


def part_name(key: ResourceKey, caller_shards: int) -> str:
    """Return a resource's part; only callers, which are many, are sharded."""
    if key.kind != ResourceKind.caller.value:
        return key.kind
    name_hash = blake2b(key.name.encode('utf-8'), digest_size=8).digest()
    shard = int.from_bytes(name_hash, 'big') % caller_shards
    return f'{key.kind}-{shard}'


@frozen(eq=False)
class Part:
    """Represent a part as compressed text, decoded on first use.

    The text stays as it was written, since a newer release may have written
    fields unknown to this one.
    """

    name: str
    digest: str
    packed: bytes
    size_bytes: int

    @cached_property
    def kind(self) -> ResourceKind:
        """Return the kind of the part's resources."""
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
        """Decode and cache the part; return the count of resources and keys."""
        return len(self.resources) + len(self.names_by_key)

    def text(self) -> bytes:
        """Return the uncompressed text."""
        return zstandard.decompress(self.packed)

    def entries(self) -> Entries:
        """Return the JSON entries by resource name."""
        return json.loads(self.text())


def make_part(name: str, entries: Mapping[str, Any]) -> Part:
    """Return the part with these entries."""
    text = json.dumps(entries, sort_keys=True, separators=(',', ':'))
    return read_part(name, text.encode('utf-8'))


def read_part(name: str, text: bytes, digest: str = '') -> Part:
    """Return the part with this text.

    Raise ConfigurationError if a digest is given and does not match.
    """
    found = digest_of(text)
    if digest and digest != found:
        raise ConfigurationError(
            f'part {name} has digest {found}, not {digest}'
        )
    return Part(name, found, zstandard.compress(text), len(text))


def unpack_part(name: str, packed: bytes, digest: str) -> Part:
    """Return a part that a peer sent.

    Raise ConfigurationError if it cannot be decompressed or the digest does
    not match.
    """
    try:
        text = zstandard.decompress(packed, max_output_size=MAX_TEXT_BYTES)
    except zstandard.ZstdError as error:
        raise ConfigurationError(
            f'part {name} cannot be decompressed: {error}'
        ) from error
    return read_part(name, text, digest)
