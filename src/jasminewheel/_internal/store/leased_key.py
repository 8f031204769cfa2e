"""Keep a key in the store while this process runs."""

import logging

import trio
from attrs import define

from jasminewheel._internal.events import store as events
from jasminewheel._internal.store.port import WatchedStore
from jasminewheel.errors import StoreConflictError, StoreError

# A failed renewal is repeated after this share of the usual interval.
RETRY_SHARE = 0.5
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class LeasedKey:
    """Register this process by a key whose lease it renews."""

    store: WatchedStore
    key: str
    written: bytes
    lease_seconds: float
    renew_seconds: float
    lease: str = ''
    is_written: bool = False
    # Whether the last renewal failed.
    overdue: bool = False

    async def run(self) -> None:
        """Renew the lease until cancelled."""
        while True:
            try:
                await self.renew()
            except StoreConflictError:
                self.lease = ''
                self.is_written = False
            except StoreError as error:
                events.LEASE_LOST.log(_LOGGER, problem=error)
                self.overdue = True
                await trio.sleep(self.renew_seconds * RETRY_SHARE)

    async def renew(self) -> None:
        """Acquire a lease and write the key if needed, then renew the lease."""
        if not self.lease:
            self.lease = await self.store.grant_lease(self.lease_seconds)
            events.LEASE_GRANTED.log(_LOGGER, lease=self.lease)
        if not self.is_written:
            await self.write()
        if not self.overdue:
            await trio.sleep(self.renew_seconds)
        await self.store.renew_lease(self.lease)
        self.overdue = False

    async def write(self) -> None:
        """Write the key under the lease."""
        await self.store.put(self.key, self.written, lease=self.lease)
        self.is_written = True

    async def rewrite(self, written: bytes) -> None:
        """Replace the value of the key."""
        self.written = written
        self.is_written = False
        await self.write()

    async def revoke(self) -> None:
        """End the lease, so that other processes see the stop at once."""
        if not self.lease:
            return
        try:
            await self.store.end_lease(self.lease)
        except StoreError as error:
            events.LEASE_LOST.log(_LOGGER, problem=error)
