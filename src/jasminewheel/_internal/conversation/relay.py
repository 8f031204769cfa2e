"""Reach replicas through other entries, for an entry that is cut off.

Answers the loss of the path between one entry and the disks while clients
go on to come to that entry: another entry of the zone still has a path.
"""

import logging
from collections import deque
from collections.abc import Mapping
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

# Entries that are asked for one message, one after the other.
MOST_ENTRIES = 3
# An entry that did not reach a replica is not asked for it again so soon.
FAILED_SECONDS = 2.0
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


@define(eq=False)
class RelayClient:
    """Ask other entries to pass messages on."""

    pool: PeerPool
    entries: EntryList
    # By VM and disk: until when the entry is not asked again.
    failed_until: dict[tuple[str, str], float] = field(factory=dict)

    async def ask(self, sent: ReplicaMessage) -> Any:
        """Return a replica's answer; raise PeerError if no entry gets it."""
        usable = self.usable(sent.replica, trio.current_time())
        while usable:
            entry = usable.popleft()
            try:
                return await self.ask_through(entry, sent)
            except JasminewheelError as error:
                self.note_failure(entry, sent.replica, error)
        vm = sent.replica.vm
        raise PeerError(f'no other entry reaches {vm}')

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
        question = wire.RelayQuestion(
            replica=sent.replica.disk_id,
            message_name=type(sent.message).__name__,
            message=encode(sent.message),
            timeout_seconds=sent.timeout_seconds,
        )
        answered = await self.pool.ask(
            entry.address,
            question,
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
