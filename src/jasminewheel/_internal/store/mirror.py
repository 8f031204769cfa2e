"""Keep a local copy of the store's keys up to date through one watch."""

import logging
from collections.abc import Iterable, Mapping
from typing import Protocol

import trio
from attrs import define, field

from jasminewheel._internal.events import store as events
from jasminewheel._internal.store.contact import StoreContact, rounded_seconds
from jasminewheel._internal.store.port import (
    STORE_PREFIX,
    ReadableStore,
    StoreChanges,
    StoreHistoryLostError,
    StoreItem,
)
from jasminewheel._internal.store.proof import boot_seconds
from jasminewheel.errors import StoreError

# Pause after a change, so that changes in quick succession cost one call.
BATCH_SECONDS = 0.15
# In larger fleets the pause is longer, since each change ends the watches of
# all processes; the time by which a change is known grows with it.
MAX_BATCH_SECONDS = 0.5
# Calls a second that all processes together make while changes keep coming.
FLEET_WATCHES_PER_SECOND = 400
RETRY_SECONDS = 0.4
# The longest wait of one watch call.
WATCH_SECONDS = 4.0
# The wait of a watch call before the first reply, and while the store is
# unavailable. It is short because a call sent while the store is unresponsive
# is never answered.
UNAVAILABLE_WATCH_SECONDS = 0.1
_LOGGER = logging.getLogger(__name__)


def batch_seconds(processes: int) -> float:
    """Return the pause after a change in a fleet of this many processes."""
    fair_share = processes / FLEET_WATCHES_PER_SECOND
    return min(MAX_BATCH_SECONDS, max(BATCH_SECONDS, fair_share))


def pause_seconds(
    changes: StoreChanges, items: Mapping[str, StoreItem]
) -> float:
    """Return the pause after changes; none if another process read them."""
    watchers = changes.watchers
    if watchers is None:
        watchers = sum(key.startswith(STORE_PREFIX) for key in items)
    elif not watchers:
        return 0
    return batch_seconds(watchers)


class MirrorListener(Protocol):
    """Receive changes of the store; by default keep state in an outage."""

    def items_changed(
        self, items: Mapping[str, StoreItem], keys: frozenset[str]
    ) -> None:
        """Handle a change, given all items and the keys that changed."""

    def store_unavailable(self) -> None:
        """Handle a failed read of the store."""

    def store_available(self) -> None:
        """Handle the end of an outage of the store."""

    def store_settled(self) -> None:
        """Handle the confirmation that missing keys were removed."""


@define(eq=False)
class StoreMirror:
    """Mirror the newest known items and notify listeners of changes."""

    store: ReadableStore
    listeners: list[MirrorListener] = field(factory=list)
    items: dict[str, StoreItem] = field(factory=dict)
    # Changes after this revision are requested; zero requests a snapshot.
    revision: int = 0
    available: bool = True
    contact: StoreContact = field(factory=StoreContact)
    loaded: trio.Event = field(factory=trio.Event)

    @property
    def known_revision(self) -> int:
        """Return the newest revision that the items include."""
        return self.contact.revision

    @property
    def is_readable(self) -> bool:
        """Return whether the store was read, and answered last."""
        return self.available and self.loaded.is_set()

    async def run(self) -> None:
        """Mirror the store until cancelled."""
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
        """Apply a snapshot if no revision is known, else the next changes."""
        if self.revision:
            await self.watch_once()
            return
        asked_at = boot_seconds()
        snapshot = await self.store.snapshot()
        self.record_read(snapshot.revision)
        if snapshot.revision >= self.revision:
            self.apply_snapshot(snapshot.items, snapshot.revision)
            self.contact.proof.record(asked_at, snapshot.proof_age_seconds)
        self.loaded.set()

    async def watch_once(self) -> None:
        """Apply the next changes, then pause while more may follow.

        Another process may have reported a newer revision meanwhile; what
        the store replied is outdated then.
        """
        wait_seconds = (
            WATCH_SECONDS if self.is_readable else UNAVAILABLE_WATCH_SECONDS
        )
        asked_at = boot_seconds()
        changes = await self.store.changes(self.revision, wait_seconds)
        self.record_read(changes.revision, changes.age_seconds)
        self.loaded.set()
        if changes.revision < self.revision:
            return
        self.record_settled(changes)
        self.apply_changes(changes)
        self.contact.proof.record(asked_at, changes.proof_age_seconds)
        if changes.written or changes.removed:
            await trio.sleep(pause_seconds(changes, self.items))

    def record_settled(self, changes: StoreChanges) -> None:
        """Record what another process says of missing keys, if it read them."""
        if changes.settled:
            self.confirm_settled(changes.revision, trio.current_time())
        elif changes.settled is not None:
            self.contact.record_unsettled()

    def apply_known_items(
        self,
        found: Iterable[StoreItem],
        revision: int,
        now: float,
        *,
        settled: bool = False,
    ) -> bool:
        """Apply items of another process while the store is unavailable.

        Return whether they were newer than the items here and applied.
        """
        items = tuple(found)
        newest = max((one.revision for one in items), default=0)
        revision = max(revision, newest)
        if self.is_readable or revision <= self.known_revision:
            return False
        self.contact.record_report(revision, now, settled=settled)
        self.notify_settled(now)
        self.apply_snapshot(items, revision)
        return True

    def confirm_settled(self, revision: int, now: float) -> None:
        """Apply another process's confirmation that a revision is settled."""
        if self.contact.confirm_settled(revision, now):
            events.SETTLED.log(_LOGGER, revision=revision)
            self.notify_settled(now)

    def notify_settled(self, now: float) -> None:
        """Notify the listeners if the items are settled."""
        if self.contact.is_settled(now):
            for listener in self.listeners:
                listener.store_settled()

    def apply_snapshot(self, found: Iterable[StoreItem], revision: int) -> None:
        """Replace all items and notify the listeners of the differences."""
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
        """Apply written and removed keys and notify the listeners."""
        if changes.complete:
            self.apply_snapshot(changes.written, changes.revision)
            return
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
        """Notify the listeners of changed keys."""
        if keys:
            for listener in self.listeners:
                listener.items_changed(self.items, frozenset(keys))

    def record_loss(self, error: StoreError) -> None:
        """Record a failed read and notify the listeners."""
        now = trio.current_time()
        self.notify_settled(now)
        self.contact.record_loss(now, no_response=error.no_response)
        if self.available:
            events.LOST.log(_LOGGER, problem=error, silent=error.no_response)
            self.available = False
        for listener in self.listeners:
            listener.store_unavailable()

    def record_read(self, revision: int, age_seconds: float = 0) -> None:
        """Record a successful read; notify the listeners after an outage."""
        now = trio.current_time()
        self.notify_settled(now)
        outage_seconds = self.contact.record_read(
            revision, now, age_seconds=age_seconds
        )
        if self.available:
            return
        events.BACK.log(
            _LOGGER,
            revision=revision,
            away=rounded_seconds(outage_seconds),
            settled=self.contact.is_settled(now),
        )
        self.available = True
        for listener in self.listeners:
            listener.store_available()
