"""Keep the latest removals of keys, and wake whoever waits for a change."""

from collections import deque
from collections.abc import Mapping

import trio
from attrs import define, field, frozen

from jasminewheel._internal.store.mirror import MirrorListener, StoreMirror
from jasminewheel._internal.store.port import StoreChanges, StoreItem

# Removals that are kept; a process that knows less is told all items.
MAX_REMOVALS = 2048


@frozen
class Removal:
    """Represent a removed key and the revision by which it was gone."""

    revision: int
    key: str


@define(eq=False)
class ChangeLog(MirrorListener):
    """Tell the changes of a mirror's items since a revision."""

    mirror: StoreMirror
    removals: deque[Removal] = field(factory=deque)
    # Removals up to this revision are not kept; None before the first items.
    forgotten_revision: int | None = None
    changed: trio.Event = field(factory=trio.Event)

    def items_changed(
        self, items: Mapping[str, StoreItem], keys: frozenset[str]
    ) -> None:
        """Keep the removed keys, and wake the waiting processes."""
        revision = self.mirror.known_revision
        if self.forgotten_revision is None:
            self.forgotten_revision = revision
        for key in sorted(keys - items.keys()):
            self.removals.append(Removal(revision, key))
        while len(self.removals) > MAX_REMOVALS:
            self.forgotten_revision = self.removals.popleft().revision
        self.wake()

    def store_unavailable(self) -> None:
        """Wake the waiting processes, which have to ask another one."""
        self.wake()

    def wake(self) -> None:
        """Wake the waiting processes."""
        self.changed.set()
        self.changed = trio.Event()

    def changes(self, after_revision: int, now: float) -> StoreChanges:
        """Return what changed after a revision, as far as the mirror knows."""
        complete = self.is_forgotten(after_revision)
        items = self.mirror.items
        known = -1 if complete else after_revision
        written = [one for one in items.values() if one.revision > known]
        removed = {
            one.key
            for one in self.removals
            if one.revision > after_revision and one.key not in items
        }
        return StoreChanges(
            tuple(written),
            () if complete else tuple(sorted(removed)),
            self.mirror.known_revision,
            complete=complete,
            settled=self.mirror.contact.is_settled(now),
        )

    def is_forgotten(self, after_revision: int) -> bool:
        """Return whether a removal after the revision may not be kept."""
        forgotten = self.forgotten_revision
        return forgotten is None or after_revision < forgotten
