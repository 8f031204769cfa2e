"""Keep each part well below the largest value that the store accepts."""

from collections import defaultdict
from collections.abc import Mapping
from typing import Any

from jasminewheel._internal.configuration.part import (
    Part,
    make_part,
    part_name,
)
from jasminewheel._internal.settings.problems import FieldProblem
from jasminewheel.errors import InvalidResourceError
from jasminewheel.models.resource import ResourceKey, ResourceKind

KIB = 1024
MAX_PART_BYTES = KIB * KIB // 2
MAX_SHARDS = 4096


def balance(
    parts: Mapping[str, Part],
    shards: int,
) -> tuple[Mapping[str, Part], int]:
    """Split callers into more shards while a part of them is too large.

    Return the parts and the number of shards. Raise InvalidResourceError if
    a part still exceeds MAX_PART_BYTES.
    """
    while _too_large(parts, ResourceKind.caller) and shards < MAX_SHARDS:
        shards *= 2
        parts = _reshard(parts, shards)
    for kind in ResourceKind:
        if _too_large(parts, kind):
            problem = f'does not fit into parts of {MAX_PART_BYTES} bytes'
            raise InvalidResourceError((FieldProblem(kind.value, problem),))
    return parts, shards


def _too_large(parts: Mapping[str, Part], kind: ResourceKind) -> bool:
    return any(
        part.kind is kind and part.size_bytes > MAX_PART_BYTES
        for part in parts.values()
    )


def _reshard(parts: Mapping[str, Part], shards: int) -> dict[str, Part]:
    split: dict[str, dict[str, Any]] = defaultdict(dict)
    for part in parts.values():
        entries = part.entries()
        for name in entries:
            key = ResourceKey(part.kind.value, name)
            split[part_name(key, shards)][name] = entries[name]
    return {one: make_part(one, split[one]) for one in split}
