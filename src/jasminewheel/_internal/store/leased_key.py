"""Keep a key in the store while this process runs."""

import logging
from collections.abc import Mapping
from random import Random

import trio
from attrs import define, field

from jasminewheel._internal.events import store as events
from jasminewheel._internal.store.mirror import MirrorListener, StoreMirror
from jasminewheel._internal.store.own_key import OwnKey
from jasminewheel._internal.store.port import StoreItem, WatchedStore
from jasminewheel.errors import LeaseEndedError, StoreError

# A failed call is repeated after this share of the usual interval.
RETRY_SHARE = 0.5
# A key that is not as it was written is written again after a pause of up to
# this share of the interval: an outage ends for all processes at once.
REPAIR_SHARE = 0.05
# Pause before a new lease, as the store may end each one at once.
NEW_LEASE_PAUSE_SECONDS = 0.1
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class LeasedKey(MirrorListener):
    """Register this process by a key whose lease it renews."""

    store: WatchedStore
    key: str
    first_value: bytes
    lease_seconds: float
    renew_seconds: float
    random: Random = field(factory=Random)
    lease: str = ''
    # Whether the lease is being ended for good.
    revoked: bool = False
    renew_at: float = 0
    own: OwnKey = field(init=False)
    # Held while the key is written.
    lock: trio.Lock = field(factory=trio.Lock)
    # The current attempt to keep the key, which may wait for its next renewal.
    attempt: trio.CancelScope = field(factory=trio.CancelScope)
    # Set when there may be something to do before the next renewal.
    due: trio.Event = field(factory=trio.Event)

    def __attrs_post_init__(self) -> None:
        """Create the value of the key."""
        self.own = OwnKey(self.store, self.key, self.first_value)

    @property
    def written(self) -> bytes:
        """Return the value that the key is to have."""
        return self.own.value

    def follow(self, mirror: StoreMirror) -> None:
        """Compare the key with what a mirror of the store has of it."""
        self.own.mirror = mirror
        mirror.listeners.append(self)

    async def run(self) -> None:
        """Keep the key and its lease until cancelled or revoked."""
        while not self.revoked:
            self.attempt = trio.CancelScope()
            with self.attempt:
                await self.keep_or_wait()
            if self.attempt.cancelled_caught:
                await self.pause()

    async def keep_or_wait(self) -> None:
        """Keep the key; after a failure wait before the next attempt."""
        try:
            await self.keep()
        except LeaseEndedError:
            self.lease = ''
            self.own.is_written = False
            await trio.sleep(NEW_LEASE_PAUSE_SECONDS)
        except StoreError as error:
            events.LEASE_LOST.log(_LOGGER, key=self.key, problem=error)
            await self.wait(self.renew_seconds * RETRY_SHARE)

    async def keep(self) -> None:
        """Acquire a lease, write or check the key, renew the lease if due."""
        if not self.lease:
            self.lease = await self.store.grant_lease(self.lease_seconds)
            self.renew_at = trio.current_time() + self.renew_seconds
            events.LEASE_GRANTED.log(_LOGGER, lease=self.lease)
        async with self.lock:
            await self.own.write_or_check(self.lease)
        now = trio.current_time()
        if now < self.renew_at:
            await self.wait(self.renew_at - now)
            return
        await self.store.renew_lease(self.lease)
        self.renew_at = trio.current_time() + self.renew_seconds

    async def wait(self, seconds: float) -> None:
        """Wait, at most until there may be something to do."""
        with trio.move_on_after(seconds):
            await self.due.wait()
            await self.pause()
        self.due = trio.Event()

    async def pause(self) -> None:
        """Wait a moment that differs from process to process."""
        longest = self.renew_seconds * REPAIR_SHARE
        await trio.sleep(self.random.uniform(0, longest))

    async def rewrite(self, value: bytes) -> None:
        """Replace the value of the key.

        If that fails, it is repeated until it has succeeded. Without a lease
        the key would outlast this process, so it is written after the grant.
        """
        self.own.value = value
        self.own.is_written = False
        try:
            async with self.lock:
                if self.lease:
                    await self.own.write_or_check(self.lease)
        except StoreError:
            self.due.set()
            raise

    async def revoke(self) -> None:
        """End the lease, so that other processes see the stop at once."""
        self.revoked = True
        if not self.lease:
            return
        try:
            await self.store.end_lease(self.lease)
        except StoreError as error:
            events.LEASE_LOST.log(_LOGGER, key=self.key, problem=error)

    def items_changed(
        self, items: Mapping[str, StoreItem], keys: frozenset[str]
    ) -> None:
        """Check the key soon if it is no longer as it was written."""
        if self.own.is_unexpected():
            self.due.set()

    def store_available(self) -> None:
        """Repeat what failed in an outage of the store.

        A call that was sent before its return may never be answered.
        """
        self.attempt.cancel()
