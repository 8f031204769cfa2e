"""Keep and hand on the store's items for those who cannot read it."""

import json
import logging
from base64 import b64decode, b64encode
from collections.abc import Iterable, Mapping
from itertools import cycle
from pathlib import Path

import trio
from attrs import define, field, frozen

from jasminewheel._internal.events import store as events
from jasminewheel._internal.history.durable_file import replace_durably
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.peer.server import Exchange
from jasminewheel._internal.store.mirror import (
    MirrorListener,
    StoreMirror,
)
from jasminewheel._internal.store.port import StoreItem
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import JasminewheelError

# Changes that come close together are written once.
WRITE_SECONDS = 0.5
ASK_SECONDS = 1.0
RETRY_SECONDS = 0.3
# Between questions of a process that knows something already.
PAUSE_SECONDS = 0.6
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class KnownItemsFile(MirrorListener):
    """Write the newest items to a file, and read them after a restart."""

    path: Path
    items: Mapping[str, StoreItem] = field(factory=dict)
    changed: trio.Event = field(factory=trio.Event)

    def load(self) -> list[StoreItem]:
        """Return the stored items; none if there is no readable file."""
        try:
            rows = json.loads(self.path.read_text(encoding='ascii'))
            return [
                StoreItem(key, b64decode(text), revision)
                for key, text, revision in rows
            ]
        except FileNotFoundError:
            return []
        except (OSError, ValueError, TypeError) as error:
            events.KNOWN_UNREADABLE.log(_LOGGER, problem=repr(error))
            return []

    def items_changed(
        self, items: Mapping[str, StoreItem], keys: frozenset[str]
    ) -> None:
        """Write the items soon."""
        self.items = items
        self.changed.set()

    async def run(self) -> None:
        """Write after changes until cancelled."""
        while True:
            await self.changed.wait()
            await trio.sleep(WRITE_SECONDS)
            self.changed = trio.Event()
            text = _to_text(self.items.values())
            try:
                await trio.to_thread.run_sync(replace_durably, self.path, text)
            except OSError as error:
                events.KNOWN_UNWRITTEN.log(_LOGGER, problem=repr(error))


@frozen
class KnownItemsService:
    """Hand on the items of a mirror."""

    mirror: StoreMirror

    async def read(
        self, exchange: Exchange, request: wire.ReadKnownItems
    ) -> wire.KnownItems:
        """Return all known items."""
        found = [
            wire.KnownItem(key=one.key, value=one.value, revision=one.revision)
            for one in self.mirror.items.values()
        ]
        return wire.KnownItems(
            items=found,
            revision=self.mirror.known_revision,
            settled=self.mirror.contact.vouches(trio.current_time()),
        )


@frozen
class KnownItemsAsker:
    """Ask other processes while the store cannot be read, or just could not.

    One of them may have missed the last changes, or may still read a store
    that turns this process away: the newest that is told is used.
    """

    mirror: StoreMirror
    pool: PeerPool
    addresses: tuple[str, ...]

    async def run(self) -> None:
        """Ask until cancelled, but not while what is known is settled."""
        addresses = cycle(self.addresses)
        while self.addresses:
            if not self.mirror.items:
                await self.ask_all()
            elif self.needs_others(trio.current_time()):
                await self.ask(next(addresses))
            known = self.mirror.items
            await trio.sleep(PAUSE_SECONDS if known else RETRY_SECONDS)

    def needs_others(self, now: float) -> bool:
        """Tell whether others may know more."""
        return not (self.mirror.available and self.mirror.contact.settled(now))

    async def ask_all(self) -> None:
        """Ask all at once, for the first to tell may lag behind."""
        async with trio.open_nursery() as nursery:
            for address in self.addresses:
                nursery.start_soon(self.ask, address)

    async def ask(self, address: str) -> None:
        """Take what one process knows."""
        try:
            told = await self.pool.ask(
                address,
                wire.ReadKnownItems(),
                wire.KnownItems,
                timeout_seconds=ASK_SECONDS,
            )
        except JasminewheelError as error:
            _LOGGER.info('%s tells nothing of the store: %s', address, error)
            return
        found = [
            StoreItem(one.key, one.value, one.revision) for one in told.items
        ]
        now = trio.current_time()
        settled = bool(told.settled)
        if self.mirror.take_known(found, told.revision, now, settled=settled):
            events.KNOWN_TAKEN.log(
                _LOGGER,
                address=address,
                items=len(found),
                revision=told.revision,
                settled=settled,
            )
        elif settled:
            self.mirror.take_settled(told.revision, now)


def _to_text(items: Iterable[StoreItem]) -> str:
    return json.dumps(
        [
            (one.key, b64encode(one.value).decode(), one.revision)
            for one in items
        ]
    )
