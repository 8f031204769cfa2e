"""Persist and share the store's items with processes that cannot read it."""

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
from jasminewheel._internal.store.large_values import LargeValues
from jasminewheel._internal.store.mirror import (
    MirrorListener,
    StoreMirror,
)
from jasminewheel._internal.store.port import StoreItem
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import JasminewheelError

# Delay in seconds, so that changes in quick succession cause one write.
WRITE_DELAY_SECONDS = 0.5
FETCH_TIMEOUT_SECONDS = 1.0
FETCH_INTERVAL_SECONDS = 0.3
# Shorter without any items, as the process cannot serve before it has some.
FIRST_FETCH_INTERVAL_SECONDS = 0.1
# Some of the queried processes may not answer, or may not reach the store
# either.
PARALLEL_FETCHES = 3
# The process that reads the store may lag behind, so another one is queried
# as well.
PARALLEL_FETCHES_WITH_READER = 2
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class KnownItemsFile(MirrorListener):
    """Write the newest items to a file and load them after a restart."""

    path: Path
    items: Mapping[str, StoreItem] = field(factory=dict)
    changed: trio.Event = field(factory=trio.Event)

    def load(self) -> list[StoreItem]:
        """Return the stored items; none without a readable file."""
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
        """Schedule a write of the items."""
        self.items = items
        self.changed.set()

    async def run(self) -> None:
        """Write the items after each change until cancelled."""
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
    """Serve the items of a mirror to peers."""

    mirror: StoreMirror
    values: LargeValues = field(factory=LargeValues)

    async def read(
        self, exchange: Exchange, request: wire.ReadKnownItems
    ) -> wire.KnownItems:
        """Return all known items, or none if the requester is up to date."""
        known = self.mirror.known_revision
        newer = known > (request.after_revision or 0)
        items = self.mirror.items.values() if newer else ()
        return wire.KnownItems(
            items=self.values.to_wire(items, request.held),
            revision=known,
            settled=self.mirror.contact.can_confirm_settled(
                trio.current_time()
            ),
            reads=self.mirror.is_readable,
        )


@define(eq=False)
class KnownItemsFetcher:
    """Fetch items from peers while the store is unavailable or unsettled.

    A peer may have missed the last changes, or may still read a store that
    refuses this process; so the reply with the newest revision is used. A
    peer that reads the store is queried in every round, with another one
    beside it.
    """

    mirror: StoreMirror
    pool: PeerPool
    addresses: tuple[str, ...]
    values: LargeValues = field(factory=LargeValues)
    # The address of a peer that reads the store; empty if none is known.
    reader: str = ''
    pending: set[str] = field(factory=set)
    rotation: Iterator[str] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start the rotation at the first address."""
        self.rotation = cycle(self.addresses)

    async def run(self) -> None:
        """Query peers until cancelled whenever they may have newer items."""
        async with trio.open_nursery() as nursery:
            while self.addresses:
                for address in self.next_addresses(trio.current_time()):
                    nursery.start_soon(self.fetch, address)
                await trio.sleep(self.interval_seconds())

    def needs_peers(self, now: float) -> bool:
        """Return whether peers may have newer or settled items."""
        if not self.mirror.items:
            return True
        return not (
            self.mirror.available and self.mirror.contact.is_settled(now)
        )

    def next_addresses(self, now: float) -> list[str]:
        """Return the peers to query now, without those still pending."""
        if not self.needs_peers(now):
            return []
        wanted = [self.reader] if self.reader else []
        wanted.extend(next(self.rotation) for _ in self.addresses)
        free = [one for one in dict.fromkeys(wanted) if one not in self.pending]
        return free[: max(0, self.max_pending() - len(self.pending))]

    def interval_seconds(self) -> float:
        """Return the pause before the next queries."""
        if self.mirror.items:
            return FETCH_INTERVAL_SECONDS
        return FIRST_FETCH_INTERVAL_SECONDS

    def max_pending(self) -> int:
        """Return how many queries may be pending at once.

        A process without items is sent all of them by each peer that it
        queries, so it queries one more at each interval.
        """
        if not self.mirror.items:
            return len(self.pending) + 1
        return PARALLEL_FETCHES_WITH_READER if self.reader else PARALLEL_FETCHES

    async def fetch(self, address: str) -> None:
        """Query one peer and apply its reply."""
        self.pending.add(address)
        try:
            reply = await self.pool.ask(
                address,
                wire.ReadKnownItems(
                    after_revision=self.mirror.known_revision,
                    held=self.values.held(),
                ),
                wire.KnownItems,
                timeout_seconds=FETCH_TIMEOUT_SECONDS,
            )
            found = self.values.from_wire(reply.items)
        except JasminewheelError as error:
            self.record_reader(address, reads=False)
            _LOGGER.info(
                'peer %s sent no items of the store: %s', address, error
            )
        else:
            self.record_reader(address, reads=bool(reply.reads))
            self.apply_reply(address, reply, found)
        finally:
            self.pending.discard(address)

    def record_reader(self, address: str, *, reads: bool) -> None:
        """Record whether a peer reads the store; keep the first such peer."""
        if reads:
            self.reader = self.reader or address
        elif self.reader == address:
            self.reader = ''

    def apply_reply(
        self,
        address: str,
        reply: wire.KnownItems,
        found: tuple[StoreItem, ...],
    ) -> None:
        """Apply a reply with a newer revision or a settled confirmation."""
        now = trio.current_time()
        settled = bool(reply.settled)
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
