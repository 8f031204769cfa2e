"""Keep and hand on the store's items for those who cannot read it."""

import json
import logging
from base64 import b64decode, b64encode
from collections.abc import Iterable, Iterator, Mapping
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
WRITE_DELAY_SECONDS = 0.5
FETCH_TIMEOUT_SECONDS = 1.0
FETCH_INTERVAL_SECONDS = 0.3
# Some of those that are asked may not answer, or not read the store either.
PARALLEL_FETCHES = 3
# One that reads the store may lag behind.
PARALLEL_FETCHES_WITH_READER = 2
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
            await trio.sleep(WRITE_DELAY_SECONDS)
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
        """Return all known items, or none if the asker knows as much."""
        known = self.mirror.known_revision
        newer = known > (request.after_revision or 0)
        found = [
            wire.KnownItem(key=one.key, value=one.value, revision=one.revision)
            for one in self.mirror.items.values()
            if newer
        ]
        return wire.KnownItems(
            items=found,
            revision=known,
            settled=self.mirror.contact.can_confirm_settled(
                trio.current_time()
            ),
            reads=self.mirror.available and self.mirror.loaded.is_set(),
        )


@define(eq=False)
class KnownItemsFetcher:
    """Ask other processes while the store cannot be read, or just could not.

    One of them may have missed the last changes, or may still read a store
    that turns this process away: the newest that is told is used. One that
    reads the store is asked again and again, and another one beside it.
    """

    mirror: StoreMirror
    pool: PeerPool
    addresses: tuple[str, ...]
    reader: str = ''
    pending: set[str] = field(factory=set)
    rotation: Iterator[str] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin with the first address."""
        self.rotation = cycle(self.addresses)

    async def run(self) -> None:
        """Ask until cancelled, but not while what is known is settled."""
        async with trio.open_nursery() as nursery:
            while self.addresses:
                for address in self.next_addresses(trio.current_time()):
                    nursery.start_soon(self.fetch, address)
                await trio.sleep(FETCH_INTERVAL_SECONDS)

    def needs_peers(self, now: float) -> bool:
        """Tell whether others may know more."""
        if not self.mirror.items:
            return True
        return not (
            self.mirror.available and self.mirror.contact.is_settled(now)
        )

    def next_addresses(self, now: float) -> list[str]:
        """Return who is asked now; who has not answered yet is not."""
        if not self.needs_peers(now):
            return []
        wanted = [self.reader] if self.reader else []
        wanted.extend(next(self.rotation) for _ in self.addresses)
        free = [one for one in dict.fromkeys(wanted) if one not in self.pending]
        return free[: max(0, self.max_pending() - len(self.pending))]

    def max_pending(self) -> int:
        """Return how many are asked at once.

        All are by a process that knows nothing: the first to tell may lag.
        """
        if not self.mirror.items:
            return len(self.addresses)
        return PARALLEL_FETCHES_WITH_READER if self.reader else PARALLEL_FETCHES

    async def fetch(self, address: str) -> None:
        """Take what one process knows."""
        self.pending.add(address)
        try:
            reply = await self.pool.ask(
                address,
                wire.ReadKnownItems(after_revision=self.mirror.known_revision),
                wire.KnownItems,
                timeout_seconds=FETCH_TIMEOUT_SECONDS,
            )
        except JasminewheelError as error:
            self.record_reader(address, reads=False)
            _LOGGER.info('%s tells nothing of the store: %s', address, error)
        else:
            self.record_reader(address, reads=bool(reply.reads))
            self.apply_reply(address, reply)
        finally:
            self.pending.discard(address)

    def record_reader(self, address: str, *, reads: bool) -> None:
        """Remember one process that reads the store."""
        if reads:
            self.reader = self.reader or address
        elif self.reader == address:
            self.reader = ''

    def apply_reply(self, address: str, reply: wire.KnownItems) -> None:
        """Use what was told if it is newer, or says that all is settled."""
        now = trio.current_time()
        settled = bool(reply.settled)
        found = [
            StoreItem(one.key, one.value, one.revision) for one in reply.items
        ]
        if self.mirror.apply_known_items(
            found, reply.revision, now, settled=settled
        ):
            events.KNOWN_TAKEN.log(
                _LOGGER,
                address=address,
                items=len(found),
                revision=reply.revision,
                settled=settled,
            )
            return
        if reply.reads and reply.revision == self.mirror.known_revision:
            self.mirror.contact.record_revision(reply.revision, now)
        if settled:
            self.mirror.confirm_settled(reply.revision, now)


def _to_text(items: Iterable[StoreItem]) -> str:
    return json.dumps(
        [
            (one.key, b64encode(one.value).decode(), one.revision)
            for one in items
        ]
    )
