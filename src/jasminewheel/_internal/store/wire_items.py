"""Convert the store's items to messages between peers and back."""

from collections.abc import Iterable

from jasminewheel._internal.store.port import StoreItem
from jasminewheel._internal.wire.gen.conversation import ttypes as wire


def items_to_wire(items: Iterable[StoreItem]) -> list[wire.KnownItem]:
    """Return the items as they are sent."""
    return [
        wire.KnownItem(key=one.key, value=one.value, revision=one.revision)
        for one in items
    ]


def items_from_wire(sent: Iterable[wire.KnownItem]) -> tuple[StoreItem, ...]:
    """Return the items that were sent."""
    return tuple(StoreItem(one.key, one.value, one.revision) for one in sent)
