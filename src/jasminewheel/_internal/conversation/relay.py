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
MOST_ENTRIES = 3
# Where none of these reached it, the next are asked after this pause.
SEARCH_SECONDS = 1.0
# An entry that did not reach a replica is not asked for it again so soon.
FAILED_SECONDS = 10.0
# A search asks little, so its answers are not waited for any longer.
PROBE_SECONDS = 0.4
# Beyond the time that the replica itself is given.
WAY_SECONDS = 0.1

# What is passed on, with the kind of its answer. All of it may arrive twice.
RELAYED: Mapping[str, tuple[type, type]] = MappingProxyType(
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
            PROBE_SECONDS,
        )


@define(eq=False)
class WayToDisk:
    """Hold the entry through which a disk is reached, while one is known."""

    entry: ListedEntry | None = None
    # Until when no other entry is asked for one.
    none_until: float = 0
    searching: bool = False
    # Set when the present search has ended.
    settled: trio.Event = field(factory=trio.Event)

    def needs_search(self, now: float) -> bool:
        """Tell whether another entry is to be looked for."""
        known = self.entry or self.searching
        return not known and now >= self.none_until

    def end_search(self) -> None:
        """Wake the questions that wait for the search."""
        self.searching = False
        self.settled.set()

    def begin_search(self) -> None:
        """Let later questions wait for the search that begins."""
        self.searching = True
        self.settled = trio.Event()


@define(eq=False)
class RelayClient:
    """Ask other entries to pass messages on.

    One search at a time looks for a way to a disk, for all questions, so
    that what others are asked does not grow with the questions.
    """

    pool: PeerPool
    entries: EntryList
    ways: dict[str, WayToDisk] = field(factory=dict)
    # By VM and disk: until when the entry is not asked again.
    failed_until: dict[tuple[str, str], float] = field(factory=dict)

    async def ask(self, sent: ReplicaMessage) -> Any:
        """Return a replica's answer; raise PeerError if no entry gets it."""
        way = self.ways.setdefault(sent.replica.disk_id, WayToDisk())
        entry = await self.entry_to(sent, way)
        try:
            return await self.ask_through(entry, sent)
        except JasminewheelError as error:
            if way.entry is entry:
                way.entry = None
            self.note_failure(entry, sent.replica, error)
            raise

    async def entry_to(
        self, sent: ReplicaMessage, way: WayToDisk
    ) -> ListedEntry:
        """Return the entry to ask; raise PeerError if none is known."""
        if way.needs_search(trio.current_time()):
            way.begin_search()
            self.pool.nursery.start_soon(self.search, sent, way)
        if way.searching:
            await way.settled.wait()
        if way.entry is None:
            vm = sent.replica.vm
            raise PeerError(f'no other entry reaches {vm}')
        return way.entry

    async def search(self, sent: ReplicaMessage, way: WayToDisk) -> None:
        """Look for an entry that reaches the disk."""
        with ExitStack() as stack:
            stack.callback(way.end_search)
            usable = self.usable(sent.replica, trio.current_time())
            asked = len(usable)
            while usable and way.entry is None:
                await self.probe(usable.popleft(), sent, way)
            if way.entry is None:
                way.none_until = trio.current_time() + SEARCH_SECONDS
                events.NO_WAY.log(_LOGGER, replica=sent.replica.vm, asked=asked)

    async def probe(
        self, entry: ListedEntry, sent: ReplicaMessage, way: WayToDisk
    ) -> None:
        """Use an entry as the way to the disk if it reaches it."""
        try:
            await self.ask_through(entry, sent.probe())
        except JasminewheelError as error:
            self.note_failure(entry, sent.replica, error)
        else:
            way.entry = entry

    def usable(self, replica: Replica, now: float) -> deque[ListedEntry]:
        """Return near entries that have not failed a moment ago."""
        trusted = [
            entry
            for entry in self.entries.near_first()
            if self.failed_until.get((entry.vm, replica.disk_id), 0) <= now
        ]
        return deque(trusted[:MOST_ENTRIES])

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
            timeout_seconds=sent.timeout_seconds + WAY_SECONDS,
        )
        return decode(sent.reply_kind, answered.message)

    def note_failure(
        self, entry: ListedEntry, replica: Replica, error: JasminewheelError
    ) -> None:
        """Spare an entry questions that it cannot pass on."""
        self.failed_until[entry.vm, replica.disk_id] = (
            trio.current_time() + FAILED_SECONDS
        )
        events.RELAY_FAILED.log(
            _LOGGER, entry=entry.vm, replica=replica.vm, problem=error
        )
