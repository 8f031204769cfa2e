"""Watch a key of the store on behalf of the fleet."""

import logging
from collections.abc import Awaitable, Callable

import trio
from attrs import define

from jasminewheel._internal.events import membership as events
from jasminewheel._internal.membership.chosen import is_chosen
from jasminewheel._internal.membership.membership import Membership
from jasminewheel._internal.store.client import Store
from jasminewheel.errors import JasminewheelError

RETRY_SECONDS = 1.0
RECHECK_SECONDS = 1.0
_LOGGER = logging.getLogger(__name__)


@define
class StoreWatcher:
    """Read a key and watch it for changes while chosen for this task.

    A waiting watch counts as a call of the store, so only a few members watch
    and the others receive versions from their peers.
    """

    store: Store
    membership: Membership
    key: str
    read: Callable[[], Awaitable[None]]
    revision: int = 0

    async def run(self) -> None:
        """Watch the key until cancelled."""
        while True:
            if not is_chosen(self.membership, self.key):
                await trio.sleep(RECHECK_SECONDS)
                continue
            try:
                await self.watch_once()
            except JasminewheelError as error:
                events.STORE_UNREADABLE.log(
                    _LOGGER,
                    key=self.key,
                    problem=error,
                )
                await trio.sleep(RETRY_SECONDS)

    async def watch_once(self) -> None:
        """Read the key, then wait for its next change."""
        await self.read()
        listing = await self.store.watch(self.key, self.revision)
        self.revision = listing.revision
