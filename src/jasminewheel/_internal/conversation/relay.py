"""Reach replicas through other entries when the direct path is broken.

Clients may still be connected to an entry that has lost its path to the disks.
Another entry of the zone usually still has one and relays the requests.
"""

import logging
from collections import deque
from collections.abc import Mapping
from contextlib import ExitStack
from types import MappingProxyType
from typing import Any

import trio
from attrs import define, field, frozen

from jasminewheel._internal.conversation.entry_list import (
    EntryList,
    ListedEntry,
)
from jasminewheel._internal.conversation.replica_set import Replica
from jasminewheel._internal.events import conversation as events
from jasminewheel._internal.peer.pool import PeerPool
from jasminewheel._internal.wire.codec import decode, encode
from jasminewheel._internal.wire.gen.conversation import ttypes as wire
from jasminewheel.errors import JasminewheelError, PeerError

# Entries that one search probes for a route to a replica.
MAX_PROBED_ENTRIES = 3
# An entry that is cut off from the replica too answers only after its own
# attempt has timed out, so the next one is probed beside it after this delay.
PROBE_HEDGE_SECONDS = 0.1
# Pause after a search without result, before the next entries are probed.
SEARCH_RETRY_SECONDS = 1.0
# An entry that failed to reach a replica is not used for it for this long.
FAILED_ENTRY_TTL_SECONDS = 10.0
# Short, because a probe is a small message with a small reply.
PROBE_TIMEOUT_SECONDS = 0.4
# Added to the replica's own time limit for the hop through the entry.
RELAY_HOP_SECONDS = 0.1

# Messages that entries relay, with their reply types. All are idempotent,
# because a message may arrive both directly and through a relay.
RELAYABLE_MESSAGES: Mapping[str, tuple[type, type]] = MappingProxyType(
    {
        'ReserveTokens': (wire.ReserveTokens, wire.ProgramTokens),
        'ReadProgramTokens': (wire.ReadProgramTokens, wire.ProgramTokens),
        'SettleTokens': (wire.SettleTokens, wire.Stored),
        'CommitTurn': (wire.CommitTurn, wire.Stored),
        'ReadChain': (wire.ReadChain, wire.ChainRead),
    }
)
_LOGGER = logging.getLogger(__name__)


@frozen
class ReplicaMessage:
    """Represent a message to one replica, its reply type and time limit."""

    replica: Replica
    message: Any
    reply_kind: type
    timeout_seconds: float

    def probe(self) -> 'ReplicaMessage':
        """Return a message without effects to the same replica."""
        return ReplicaMessage(
            self.replica,
            wire.ReadProgramTokens(scope=self.message.scope, program_id=''),
            wire.ProgramTokens,
            PROBE_TIMEOUT_SECONDS,
        )


@define(eq=False)
class RelayRoute:
    """Track the entry through which a disk is reached, if one is known."""

    entry: ListedEntry | None = None
    # Earliest time of the next search, after one without result.
    next_search_at: float = 0
    searching: bool = False
    # Set when the current search has ended.
    search_done: trio.Event = field(factory=trio.Event)

    def needs_search(self, now: float) -> bool:
        """Return whether a new search is due."""
        known = self.entry or self.searching
        return not known and now >= self.next_search_at

    def end_search(self) -> None:
        """Wake the requests that wait for the search."""
        self.searching = False
        self.search_done.set()

    def begin_search(self) -> None:
        """Mark a search as running, so that other requests wait for it."""
        self.searching = True
        self.search_done = trio.Event()


@define(eq=False)
class RelayClient:
    """Send messages to replicas through other entries.

    All requests to a disk share one search for a route, so the load on other
    entries does not grow with the number of requests.
    """

    pool: PeerPool
    entries: EntryList
    routes: dict[str, RelayRoute] = field(factory=dict)
    # Until when an entry is not used for a disk, by the entry's VM and disk.
    failed_until: dict[tuple[str, str], float] = field(factory=dict)

    async def ask(self, sent: ReplicaMessage) -> Any:
        """Return a replica's reply; raise PeerError if there is no route."""
        route = self.routes.setdefault(sent.replica.disk_id, RelayRoute())
        entry = await self.find_entry(sent, route)
        try:
            return await self.ask_through(entry, sent)
        except JasminewheelError as error:
            if route.entry is entry:
                route.entry = None
            self.note_failure(entry, sent.replica, error)
            raise

    async def find_entry(
        self, sent: ReplicaMessage, route: RelayRoute
    ) -> ListedEntry:
        """Return the relaying entry, searching for one if due.

        Raise PeerError if none is known.
        """
        if route.needs_search(trio.current_time()):
            route.begin_search()
            self.pool.nursery.start_soon(self.search, sent, route)
        if route.searching:
            await route.search_done.wait()
        if route.entry is None:
            vm = sent.replica.vm
            raise PeerError(f'no other entry has a route to {vm}')
        return route.entry

    async def search(self, sent: ReplicaMessage, route: RelayRoute) -> None:
        """Probe near entries until one reaches the disk."""
        with ExitStack() as stack:
            stack.callback(route.end_search)
            usable = self.usable(sent.replica, trio.current_time())
            await _RouteSearch(self, sent, route).run(deque(usable))
            if route.entry is None:
                route.next_search_at = (
                    trio.current_time() + SEARCH_RETRY_SECONDS
                )
                events.NO_ROUTE.log(
                    _LOGGER, replica=sent.replica.vm, asked=len(usable)
                )

    async def reaches(self, entry: ListedEntry, sent: ReplicaMessage) -> bool:
        """Return whether a probe through an entry reaches the replica."""
        try:
            await self.ask_through(entry, sent.probe())
        except JasminewheelError as error:
            self.note_failure(entry, sent.replica, error)
            return False
        return True

    def usable(self, replica: Replica, now: float) -> list[ListedEntry]:
        """Return the nearest entries that have not failed recently."""
        candidates = [
            entry
            for entry in self.entries.nearest_first()
            if self.failed_until.get((entry.vm, replica.disk_id), 0) <= now
        ]
        return candidates[:MAX_PROBED_ENTRIES]

    async def ask_through(
        self, entry: ListedEntry, sent: ReplicaMessage
    ) -> Any:
        """Return a replica's reply relayed by one entry."""
        relay_request = wire.RelayQuestion(
            replica=sent.replica.disk_id,
            message_name=type(sent.message).__name__,
            message=encode(sent.message),
            timeout_seconds=sent.timeout_seconds,
        )
        relay_reply = await self.pool.ask(
            entry.address,
            relay_request,
            wire.RelayAnswer,
            timeout_seconds=sent.timeout_seconds + RELAY_HOP_SECONDS,
        )
        return decode(sent.reply_kind, relay_reply.message)

    def note_failure(
        self, entry: ListedEntry, replica: Replica, error: JasminewheelError
    ) -> None:
        """Stop using an entry for this replica for a while."""
        self.failed_until[entry.vm, replica.disk_id] = (
            trio.current_time() + FAILED_ENTRY_TTL_SECONDS
        )
        events.RELAY_FAILED.log(
            _LOGGER, entry=entry.vm, replica=replica.vm, problem=error
        )


@frozen
class _RouteSearch:
    """Probe entries, nearest first, until one of them reaches a disk."""

    relays: RelayClient
    sent: ReplicaMessage
    route: RelayRoute

    async def run(self, entries: deque[ListedEntry]) -> None:
        """Probe the entries; a probe without a reply delays the next."""
        async with trio.open_nursery() as nursery:
            while entries:
                probe_ended = trio.Event()
                nursery.start_soon(
                    self.probe,
                    entries.popleft(),
                    nursery.cancel_scope,
                    probe_ended,
                )
                with trio.move_on_after(PROBE_HEDGE_SECONDS):
                    await probe_ended.wait()

    async def probe(
        self, entry: ListedEntry, search: trio.CancelScope, ended: trio.Event
    ) -> None:
        """Use an entry as the route and end the search if it is one."""
        if await self.relays.reaches(entry, self.sent):
            self.route.entry = entry
            search.cancel()
        ended.set()
