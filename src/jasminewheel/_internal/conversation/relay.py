"""Reach replicas through other entries, for an entry that is cut off.

Answers the loss of the path between one entry and the disks while clients
go on to come to that entry: another entry of the zone still has a path.
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

# Entries that are asked for a way to a replica, one after the other.
MAX_PROBED_ENTRIES = 3
# Where none of these reached it, the next are asked after this pause.
SEARCH_RETRY_SECONDS = 1.0
# An entry that did not reach a replica is not asked for it again so soon.
FAILED_ENTRY_TTL_SECONDS = 10.0
# A search asks little, so its answers are not waited for any longer.
PROBE_TIMEOUT_SECONDS = 0.4
# Beyond the time that the replica itself is given.
RELAY_HOP_SECONDS = 0.1

# What is passed on, with the kind of its answer. All of it may arrive twice.
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
    """Hold a message for one replica, and how its answer is awaited."""

    replica: Replica
    message: Any
    reply_kind: type
    timeout_seconds: float

    def probe(self) -> 'ReplicaMessage':
        """Return a question to the same replica that changes nothing."""
        return ReplicaMessage(
            self.replica,
            wire.ReadProgramTokens(scope=self.message.scope, program_id=''),
            wire.ProgramTokens,
            PROBE_TIMEOUT_SECONDS,
        )


@define(eq=False)
class RelayRoute:
    """Hold the entry through which a disk is reached, while one is known."""

    entry: ListedEntry | None = None
    # Until when no other entry is asked for one.
    next_search_at: float = 0
    searching: bool = False
    # Set when the present search has ended.
    search_done: trio.Event = field(factory=trio.Event)

    def needs_search(self, now: float) -> bool:
        """Tell whether another entry is to be looked for."""
        known = self.entry or self.searching
        return not known and now >= self.next_search_at

    def end_search(self) -> None:
        """Wake the questions that wait for the search."""
        self.searching = False
        self.search_done.set()

    def begin_search(self) -> None:
        """Let later questions wait for the search that begins."""
        self.searching = True
        self.search_done = trio.Event()


@define(eq=False)
class RelayClient:
    """Ask other entries to pass messages on.

    One search at a time looks for a way to a disk, for all questions, so
    that what others are asked does not grow with the questions.
    """

    pool: PeerPool
    entries: EntryList
    routes: dict[str, RelayRoute] = field(factory=dict)
    # By VM and disk: until when the entry is not asked again.
    failed_until: dict[tuple[str, str], float] = field(factory=dict)

    async def ask(self, sent: ReplicaMessage) -> Any:
        """Return a replica's answer; raise PeerError if no entry gets it."""
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
        """Return the entry to ask; raise PeerError if none is known."""
        if route.needs_search(trio.current_time()):
            route.begin_search()
            self.pool.nursery.start_soon(self.search, sent, route)
        if route.searching:
            await route.search_done.wait()
        if route.entry is None:
            vm = sent.replica.vm
            raise PeerError(f'no other entry reaches {vm}')
        return route.entry

    async def search(self, sent: ReplicaMessage, route: RelayRoute) -> None:
        """Look for an entry that reaches the disk."""
        with ExitStack() as stack:
            stack.callback(route.end_search)
            usable = self.usable(sent.replica, trio.current_time())
            asked = len(usable)
            while usable and route.entry is None:
                await self.probe(usable.popleft(), sent, route)
            if route.entry is None:
                route.next_search_at = (
                    trio.current_time() + SEARCH_RETRY_SECONDS
                )
                events.NO_ROUTE.log(
                    _LOGGER, replica=sent.replica.vm, asked=asked
                )

    async def probe(
        self, entry: ListedEntry, sent: ReplicaMessage, route: RelayRoute
    ) -> None:
        """Use an entry as the way to the disk if it reaches it."""
        try:
            await self.ask_through(entry, sent.probe())
        except JasminewheelError as error:
            self.note_failure(entry, sent.replica, error)
        else:
            route.entry = entry

    def usable(self, replica: Replica, now: float) -> deque[ListedEntry]:
        """Return near entries that have not failed a moment ago."""
        candidates = [
            entry
            for entry in self.entries.nearest_first()
            if self.failed_until.get((entry.vm, replica.disk_id), 0) <= now
        ]
        return deque(candidates[:MAX_PROBED_ENTRIES])

    async def ask_through(
        self, entry: ListedEntry, sent: ReplicaMessage
    ) -> Any:
        """Return a replica's answer that one entry passed on."""
        relay_request = wire.RelayQuestion(
            replica=sent.replica.disk_id,
            message_name=type(sent.message).__name__,
            message=encode(sent.message),
            timeout_seconds=sent.timeout_seconds,
        )
        answered = await self.pool.ask(
            entry.address,
            relay_request,
            wire.RelayAnswer,
            timeout_seconds=sent.timeout_seconds + RELAY_HOP_SECONDS,
        )
        return decode(sent.reply_kind, answered.message)

    def note_failure(
        self, entry: ListedEntry, replica: Replica, error: JasminewheelError
    ) -> None:
        """Spare an entry questions that it cannot pass on."""
        self.failed_until[entry.vm, replica.disk_id] = (
            trio.current_time() + FAILED_ENTRY_TTL_SECONDS
        )
        events.RELAY_FAILED.log(
            _LOGGER, entry=entry.vm, replica=replica.vm, problem=error
        )
