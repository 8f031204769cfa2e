"""Track the other entries, as listed in the store."""

import json
import logging
from collections.abc import Collection, Mapping

from attrs import asdict, define, field, frozen

from jasminewheel._internal.events import conversation as events
from jasminewheel._internal.peer.distance import Distance
from jasminewheel._internal.store.documents import (
    DECODE_ERRORS,
    decode_document,
    problem_text,
    shortened,
    text_field,
)
from jasminewheel._internal.store.leased_key import LeasedKey
from jasminewheel._internal.store.mirror import MirrorListener
from jasminewheel._internal.store.port import (
    STORE_PREFIX,
    StoreItem,
    WatchedStore,
)

ENTRY_PREFIX = f'{STORE_PREFIX}entries/'
# Long, because a stopped entry that is still listed costs each peer that asks
# it only one error.
LEASE_SECONDS = 30.0
RENEW_SECONDS = 10.0
_LOGGER = logging.getLogger(__name__)


@frozen
class ListedEntry:
    """Represent an entry and the address at which peers reach it."""

    vm: str
    address: str
    zone: str

    def listing(self, store: WatchedStore) -> LeasedKey:
        """Return the task that keeps the entry listed."""
        return LeasedKey(
            store,
            ENTRY_PREFIX + self.vm,
            json.dumps(asdict(self)).encode(),
            LEASE_SECONDS,
            RENEW_SECONDS,
        )


@define(eq=False)
class EntryList(MirrorListener):
    """Track the listed entries, apart from this one."""

    own_vm: str
    distance: Distance
    entries: dict[str, ListedEntry] = field(factory=dict)

    def items_changed(
        self, items: Mapping[str, StoreItem], keys: frozenset[str]
    ) -> None:
        """Apply changed keys of entries."""
        for key in keys:
            vm = key.removeprefix(ENTRY_PREFIX)
            if key.startswith(ENTRY_PREFIX) and vm != self.own_vm:
                self.apply_item(vm, items.get(key))

    def apply_item(self, vm: str, stored: StoreItem | None) -> None:
        """Add, replace or remove the entry of a VM; skip an invalid one."""
        self.entries.pop(vm, None)
        if stored is None:
            return
        try:
            self.entries[vm] = _decode_entry(stored.value)
        except DECODE_ERRORS as error:
            events.ENTRY_SKIPPED.log(
                _LOGGER, vm=shortened(vm), problem=problem_text(error)
            )

    def count(self) -> int:
        """Return how many other entries are listed."""
        return len(self.entries)

    def names(self) -> Collection[str]:
        """Return the names of the other entries."""
        return self.entries.keys()

    def nearest_first(self) -> list[ListedEntry]:
        """Return the entries sorted by network distance."""
        return sorted(
            self.entries.values(),
            key=lambda one: (self.distance(one.zone), one.vm),
        )


def _decode_entry(stored: bytes) -> ListedEntry:
    fields = decode_document(stored)
    return ListedEntry(
        text_field(fields, 'vm'),
        text_field(fields, 'address'),
        text_field(fields, 'zone'),
    )
