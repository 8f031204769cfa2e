"""Keep a copy of the store's keys up to date by one watch."""

import logging
from collections.abc import Iterable, Mapping
from typing import Protocol

import trio
from attrs import define, field

from jasminewheel._internal.events import store as events
from jasminewheel._internal.store.contact import StoreContact
from jasminewheel._internal.store.port import (
    StoreChanges,
    StoreHistoryLostError,
    StoreItem,
    WatchedStore,
)
from jasminewheel.errors import StoreError

# Changes that come close together cost one call.
GATHER_SECONDS = 0.15
RETRY_SECONDS = 0.4
# A watch is asked anew after this long.
WATCH_SECONDS = 4.0
# While the store is lost: a call that meets its silence is never answered.
LOST_WATCH_SECONDS = 0.1
_LOGGER = logging.getLogger(__name__)


class MirrorListener(Protocol):
    """Take what changed in the store; by default keep it while it is away."""

    def items_changed(
        self, items: Mapping[str, StoreItem], keys: frozenset[str]
    ) -> None:
        """Take all items and the keys that were written or removed."""

    def store_lost(self) -> None:
        """Note that the store does not answer."""

    def store_back(self) -> None:
        """Note that the store answers again."""


@define(eq=False)
class StoreMirror:
    """Hold the newest known items; listeners learn of each change."""

    store: WatchedStore
    listeners: list[MirrorListener] = field(factory=list)
    items: dict[str, StoreItem] = field(factory=dict)
    # From where changes are asked for; zero asks for all values anew.
    revision: int = 0
    # Up to which revision changes are among the items.
    known_revision: int = 0
    available: bool = True
    contact: StoreContact = field(factory=StoreContact)
    loaded: trio.Event = field(factory=trio.Event)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                await self.follow()
            except StoreHistoryLostError:
                events.HISTORY_LOST.log(_LOGGER, after=self.revision)
                self.revision = 0
            except StoreError as error:
                self.note_lost(error)
                await trio.sleep(RETRY_SECONDS)

    async def follow(self) -> None:
        """Load all items once if needed, then take the next changes."""
        if self.revision:
            wait = WATCH_SECONDS if self.available else LOST_WATCH_SECONDS
            changes = await self.store.changes(self.revision, wait)
            self.note_back()
            self.contact.told(changes.revision, trio.current_time())
            self.take_changes(changes)
            if changes.written or changes.removed:
                await trio.sleep(GATHER_SECONDS)
            return
        snapshot = await self.store.snapshot()
        self.note_back()
        self.contact.told(snapshot.revision, trio.current_time())
        self.take_snapshot(snapshot.items, snapshot.revision)
        self.loaded.set()

    def take_known(
        self, found: Iterable[StoreItem], revision: int, now: float
    ) -> bool:
        """Use what another process knows while the store cannot be read.

        Tell whether that was newer than what is known here.
        """
        items = tuple(found)
        newest = max((one.revision for one in items), default=0)
        revision = max(revision, newest)
        readable = self.available and self.loaded.is_set()
        if readable or revision <= self.known_revision:
            return False
        self.contact.told(revision, now)
        self.take_snapshot(items, revision if self.revision else 0)
        self.known_revision = revision
        return True

    def take_snapshot(self, found: Iterable[StoreItem], revision: int) -> None:
        """Replace all items."""
        items = {one.key: one for one in found}
        known = items.keys() | self.items.keys()
        changed = {
            key for key in known if items.get(key) != self.items.get(key)
        }
        self.items = items
        self.revision = revision
        self.known_revision = max(self.known_revision, revision)
        self.tell(changed)

    def take_changes(self, changes: StoreChanges) -> None:
        """Apply what was written and removed."""
        for written in changes.written:
            self.items[written.key] = written
        for key in changes.removed:
            self.items.pop(key, None)
        self.revision = changes.revision
        self.known_revision = changes.revision
        self.tell({*(one.key for one in changes.written), *changes.removed})

    def tell(self, keys: set[str]) -> None:
        """Tell the listeners which keys changed."""
        if keys:
            for listener in self.listeners:
                listener.items_changed(self.items, frozenset(keys))

    def note_lost(self, error: StoreError) -> None:
        """Note that the store does not answer."""
        if self.available:
            events.LOST.log(_LOGGER, problem=error)
            self.available = False
            self.contact.lost(trio.current_time())
        for listener in self.listeners:
            listener.store_lost()

    def note_back(self) -> None:
        """Note that the store answers."""
        if self.available:
            return
        away = self.contact.back(trio.current_time())
        events.BACK.log(
            _LOGGER, revision=self.known_revision, away=round(away, 3)
        )
        self.available = True
        for listener in self.listeners:
            listener.store_back()
