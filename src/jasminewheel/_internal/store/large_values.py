"""Tell others large values of the store by what changed in them."""

from collections import deque
from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

from jasminewheel._internal.store.mirror import MirrorListener
from jasminewheel._internal.store.packed_value import pack, unpack
from jasminewheel._internal.store.port import StoreItem
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import PeerError

# Smaller values are sent as they are.
LARGE_BYTES = 4096
# Versions of a value that a process keeps to which others ask for changes.
READER_VERSIONS = 4
# Packed values that are kept, as many processes ask for the same ones.
MAX_PACKED = 16


@frozen
class PackedName:
    """Name a packed value by its key, revision and the base's revision."""

    key: str
    revision: int
    base_revision: int


@define(eq=False)
class LargeValues(MirrorListener):
    """Keep the latest versions of each large value of a mirror."""

    max_versions: int = 1
    versions: dict[str, deque[StoreItem]] = field(factory=dict)
    packed: dict[PackedName, bytes] = field(factory=dict)

    def items_changed(
        self, items: Mapping[str, StoreItem], keys: frozenset[str]
    ) -> None:
        """Keep the large values that changed, and forget removed ones."""
        for key in keys:
            written = items.get(key)
            if written and len(written.value) >= LARGE_BYTES:
                self.add(written)
            else:
                self.versions.pop(key, None)

    def add(self, written: StoreItem) -> None:
        """Keep a version in place of the oldest one."""
        known = self.versions.setdefault(
            written.key, deque(maxlen=self.max_versions)
        )
        known.append(written)

    def largest_bytes(self) -> int:
        """Return the size of the largest value."""
        sizes = (len(known[-1].value) for known in self.versions.values())
        return max(sizes, default=0)

    def held(self) -> list[wire.HeldValue]:
        """Return which values are known here, as others are asked for more."""
        return [
            wire.HeldValue(key=key, revision=known[-1].revision)
            for key, known in self.versions.items()
        ]

    def to_wire(
        self, items: Iterable[StoreItem], held: list[wire.HeldValue] | None
    ) -> list[wire.KnownItem]:
        """Return items for an asker that holds these values.

        One that does not say so can't unpack values.
        """
        if held is None:
            return [_unpacked(one) for one in items]
        revisions = {one.key: one.revision for one in held}
        return [self.item_to_wire(one, revisions.get(one.key)) for one in items]

    def item_to_wire(
        self, written: StoreItem, held_revision: int | None
    ) -> wire.KnownItem:
        """Return an item, packed if it is large."""
        if len(written.value) < LARGE_BYTES:
            return _unpacked(written)
        base = self.version(written.key, held_revision or 0)
        return wire.KnownItem(
            key=written.key,
            revision=written.revision,
            packed=self.pack(written, base),
            base_revision=base.revision if base else None,
        )

    def version(self, key: str, revision: int) -> StoreItem | None:
        """Return a version of a value if it is kept."""
        return next(
            (
                one
                for one in self.versions.get(key, ())
                if one.revision == revision
            ),
            None,
        )

    def pack(self, written: StoreItem, base: StoreItem | None) -> bytes:
        """Return the packed value; the last ones are kept."""
        name = PackedName(
            written.key, written.revision, base.revision if base else 0
        )
        found = self.packed.get(name)
        if found is None:
            found = pack(written.value, base.value if base else b'')
            self.packed[name] = found
            if len(self.packed) > MAX_PACKED:
                self.packed.pop(next(iter(self.packed)))
        return found

    def from_wire(
        self, sent: Iterable[wire.KnownItem]
    ) -> tuple[StoreItem, ...]:
        """Return the items that were sent.

        Raise PeerError if one is unreadable.
        """
        return tuple(self.item_from_wire(one) for one in sent)

    def item_from_wire(self, sent: wire.KnownItem) -> StoreItem:
        """Return an item; raise PeerError if it is unreadable."""
        if sent.packed is None:
            return StoreItem(sent.key, sent.value, sent.revision)
        base = b''
        if sent.base_revision:
            known = self.version(sent.key, sent.base_revision)
            if known is None:
                raise PeerError(
                    f'{sent.key} was packed for revision {sent.base_revision},'
                    ' which is not held here'
                )
            base = known.value
        return StoreItem(sent.key, unpack(sent.packed, base), sent.revision)


def _unpacked(written: StoreItem) -> wire.KnownItem:
    return wire.KnownItem(
        key=written.key, value=written.value, revision=written.revision
    )
