"""Keep a copy of the store's keys up to date by one watch."""

import logging
from collections.abc import Iterable, Mapping
from typing import Protocol

import trio
from attrs import define, field

from jasminewheel._internal.events import store as events
from jasminewheel._internal.store.contact import StoreContact, rounded
from jasminewheel._internal.store.port import (
    StoreChanges,
    StoreHistoryLostError,
    StoreItem,
    WatchedStore,
)
from jasminewheel.errors import StoreError

# Changes that come close together cost one call.
BATCH_SECONDS = 0.15
RETRY_SECONDS = 0.4
# A watch is asked anew after this long.
WATCH_SECONDS = 4.0
# While the store is lost: a call that meets its silence is never answered.
UNAVAILABLE_WATCH_SECONDS = 0.1
_LOGGER = logging.getLogger(__name__)


class MirrorListener(Protocol):
    """Take what changed in the store; by default keep it while it is away."""

    def items_changed(
        self, items: Mapping[str, StoreItem], keys: frozenset[str]
    ) -> None:
        """Take all items and the keys that were written or removed."""

    def store_unavailable(self) -> None:
        """Note that the store does not answer."""

    def store_available(self) -> None:
        """Note that the store answers again."""

    def store_settled(self) -> None:
        """Note that keys which are missing have not lapsed."""


@define(eq=False)
class StoreMirror:
    """Hold the newest known items; listeners learn of each change."""

    store: WatchedStore
    listeners: list[MirrorListener] = field(factory=list)
    items: dict[str, StoreItem] = field(factory=dict)
    # From where changes are asked for; zero asks for all values anew.
    revision: int = 0
    available: bool = True
    contact: StoreContact = field(factory=StoreContact)
    loaded: trio.Event = field(factory=trio.Event)

    @property
    def known_revision(self) -> int:
        """Return up to which revision changes are among the items."""
        return self.contact.revision

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                await self.sync_once()
            except StoreHistoryLostError:
                events.HISTORY_LOST.log(_LOGGER, after=self.revision)
                self.revision = 0
            except StoreError as error:
                self.record_loss(error)
                await trio.sleep(RETRY_SECONDS)

    async def sync_once(self) -> None:
        """Load all items once if needed, then take the next changes."""
        if self.revision:
            wait = (
                WATCH_SECONDS if self.available else UNAVAILABLE_WATCH_SECONDS
            )
            changes = await self.store.changes(self.revision, wait)
            self.record_read(changes.revision)
            self.apply_changes(changes)
            if changes.written or changes.removed:
                await trio.sleep(BATCH_SECONDS)
            return
        snapshot = await self.store.snapshot()
        self.record_read(snapshot.revision)
        self.apply_snapshot(snapshot.items, snapshot.revision)
        self.loaded.set()

    def apply_known_items(
        self,
        found: Iterable[StoreItem],
        revision: int,
        now: float,
        *,
        settled: bool = False,
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
        self.contact.record_report(revision, now, settled=settled)
        self.notify_settled(now)
        self.apply_snapshot(items, revision if self.revision else 0)
        return True

    def confirm_settled(self, revision: int, now: float) -> None:
        """Take another process's word that its revision is settled."""
        if self.contact.confirm_settled(revision, now):
            events.SETTLED.log(_LOGGER, revision=revision)
            self.notify_settled(now)

    def notify_settled(self, now: float) -> None:
        """Tell the listeners if what is known is settled."""
        if self.contact.is_settled(now):
            for listener in self.listeners:
                listener.store_settled()

    def apply_snapshot(self, found: Iterable[StoreItem], revision: int) -> None:
        """Replace all items."""
        items = {one.key: one for one in found}
        known = items.keys() | self.items.keys()
        changed = {
            key for key in known if items.get(key) != self.items.get(key)
        }
        self.items = items
        self.revision = revision
        self.contact.revision = max(self.known_revision, revision)
        self.notify_changed(changed)

    def apply_changes(self, changes: StoreChanges) -> None:
        """Apply what was written and removed."""
        for written in changes.written:
            self.items[written.key] = written
        for key in changes.removed:
            self.items.pop(key, None)
        self.revision = changes.revision
        self.contact.revision = changes.revision
        self.notify_changed(
            {*(one.key for one in changes.written), *changes.removed}
        )

    def notify_changed(self, keys: set[str]) -> None:
        """Tell the listeners which keys changed."""
        if keys:
            for listener in self.listeners:
                listener.items_changed(self.items, frozenset(keys))

    def record_loss(self, error: StoreError) -> None:
        """Note that the store does not answer."""
        now = trio.current_time()
        self.notify_settled(now)
        self.contact.record_loss(now, silent=error.silent)
        if self.available:
            events.LOST.log(_LOGGER, problem=error, silent=error.silent)
            self.available = False
        for listener in self.listeners:
            listener.store_unavailable()

    def record_read(self, revision: int) -> None:
        """Note that the store answers."""
        now = trio.current_time()
        self.notify_settled(now)
        away = self.contact.record_read(revision, now)
        if self.available:
            return
        events.BACK.log(
            _LOGGER,
            revision=revision,
            away=rounded(away),
            settled=self.contact.is_settled(now),
        )
        self.available = True
        for listener in self.listeners:
            listener.store_available()
