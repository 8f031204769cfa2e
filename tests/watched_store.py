"""A fake store to which each process has its own connection."""

import json
import math
from collections.abc import Callable, Iterable

import trio
from attrs import define, field

from jasminewheel._internal.store.port import (
    StoreChanges,
    StoreHistoryLostError,
    StoreItem,
    StoreSnapshot,
)
from jasminewheel.errors import StoreUnavailableError
from jasminewheel.platform.store_client import WATCH_SLACK_SECONDS
from tests.slow_link import SlowLink

ANSWER_SECONDS = 0.004
# Of a value's bytes as base64.
BASE64_GROWTH = 4 / 3


@define(eq=False)
class SharedStore:
    """Store items and the changes that led to them."""

    revision: int = 1
    items: dict[str, StoreItem] = field(factory=dict)
    # Revision, key and written item, which is None for a removal.
    changes: list[tuple[int, str, StoreItem | None]] = field(factory=list)
    forgotten: int = 0
    changed: trio.Event = field(factory=trio.Event)

    def list_runner(
        self, runner_id: str, target: str = 'desk', started_ms: int = 1
    ) -> None:
        """Write the entry of a runner that is ready."""
        fields = {
            'Service': target,
            'Address': '127.0.0.1:1',
            'Zone': 'a',
            'Slots': 6,
            'State': 'ready',
            'born': started_ms,
        }
        self.write(f'servers/{runner_id}', json.dumps(fields).encode())

    def write(self, key: str, stored: bytes) -> None:
        """Write a key."""
        self.items[key] = StoreItem(key, stored, self.revision + 1)
        self.record_change(key, self.items[key])

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.items.pop(key)
        self.record_change(key, None)

    def forget_history(self) -> None:
        """Drop the changes so far, as a compaction does."""
        self.forgotten = self.revision

    def record_change(self, key: str, stored: StoreItem | None) -> None:
        """Record a change and wake up the watches."""
        self.revision += 1
        self.changes.append((self.revision, key, stored))
        self.changed.set()
        self.changed = trio.Event()


@define(eq=False)
class StoreConnection:
    """Read the store over one connection, which may be silent or refused."""

    store: SharedStore
    silent: bool = False
    refused: bool = False
    # Calls made so far, and how many of them read all values.
    calls: int = 0
    snapshots: int = 0
    # On which values arrive; None if that takes no time.
    link: SlowLink | None = None
    # Told when a part of a large reply arrives.
    on_arrival: Callable[[float], None] | None = None
    # Watches wait but receive no changes.
    watch_stalled: bool = False
    # Set when waiting watches are broken off.
    cut: trio.Event = field(factory=trio.Event)
    # Calls made until then get no answer.
    lost_until: float = -math.inf

    def lose_open_calls(self) -> None:
        """Let the calls that wait get no answer; later ones are answered."""
        self.lost_until = trio.current_time()

    def cut_watches(self) -> None:
        """Break off the watches that wait."""
        self.cut.set()
        self.cut = trio.Event()

    async def snapshot(self) -> StoreSnapshot:
        """Return all values."""
        self.calls += 1
        self.snapshots += 1
        await self.reach_store(0)
        found = tuple(self.store.items.values())
        revision = self.store.revision
        await self.receive(found)
        return StoreSnapshot(found, revision)

    async def changes(
        self, after_revision: int, wait_seconds: float
    ) -> StoreChanges:
        """Wait for changes as a watch does; one without a wait is not answered.

        The users' store holds such a watch for longer than it is waited for.
        """
        self.calls += 1
        await self.reach_store(wait_seconds)
        if not wait_seconds:
            await self.fail_silently(WATCH_SLACK_SECONDS)
        if after_revision < self.store.forgotten:
            raise StoreHistoryLostError('forgotten')
        asked_at = trio.current_time()
        cut = self.cut
        with trio.move_on_at(asked_at + wait_seconds):
            await self.wait_for_change(after_revision, cut, asked_at)
        if cut.is_set():
            raise StoreUnavailableError('the watch was cut')
        if asked_at <= self.lost_until:
            timeout_at = asked_at + wait_seconds + WATCH_SLACK_SECONDS
            await self.fail_silently(timeout_at - trio.current_time())
        left = asked_at + wait_seconds - trio.current_time()
        await self.reach_store(max(0, left))
        if self.watch_stalled:
            return StoreChanges((), (), after_revision)
        found = self.found(after_revision)
        await self.receive(
            written
            for revision, _key, written in self.store.changes
            if written and after_revision < revision <= found.revision
        )
        return found

    async def receive(self, items: Iterable[StoreItem]) -> None:
        """Wait until the values have arrived."""
        if self.link:
            size = sum(len(one.value) for one in items)
            await self.link.carry(int(size * BASE64_GROWTH), self.on_arrival)

    async def fail_silently(self, seconds: float) -> None:
        """Raise after a time as a call without any answer does."""
        await trio.sleep(seconds)
        raise StoreUnavailableError('silent', no_response=True)

    async def wait_for_change(
        self, after_revision: int, cut: trio.Event, asked_at: float
    ) -> None:
        """Wait until there is a change, or the watch is cut."""
        while not cut.is_set():
            receives = not (self.watch_stalled or self.silent)
            receives &= asked_at > self.lost_until
            if receives and self.store.revision > after_revision:
                return
            with trio.move_on_after(0.01):
                await cut.wait()

    def found(self, after_revision: int) -> StoreChanges:
        """Return the last change of each key after a revision."""
        last = {
            key: stored
            for revision, key, stored in self.store.changes
            if revision > after_revision
        }
        return StoreChanges(
            tuple(one for one in last.values() if one),
            tuple(key for key, one in last.items() if one is None),
            self.store.revision,
        )

    async def reach_store(self, wait_seconds: float) -> None:
        """Wait for the round trip; raise if the connection is down."""
        await trio.sleep(ANSWER_SECONDS)
        if self.refused:
            raise StoreUnavailableError('refused')
        if self.silent:
            await self.fail_silently(wait_seconds + WATCH_SLACK_SECONDS)
