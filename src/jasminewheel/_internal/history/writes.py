"""Handle the writes of owners to one disk."""

from attrs import frozen

from jasminewheel._internal.history.entry import Entry
from jasminewheel._internal.history.fence_guard import FenceGuard
from jasminewheel._internal.history.reader import DiskReader
from jasminewheel._internal.history.records import (
    check_records,
    must_write,
    entry_from_wire,
)
from jasminewheel._internal.history.state import (
    NO_POSITION,
    CopyReport,
    LogState,
    SlotState,
)
from jasminewheel._internal.peer.server import Exchange
from jasminewheel._internal.replication.fence import Fence
from jasminewheel._internal.replication.record import DROPPED_KIND
from jasminewheel._internal.wire.gen.history import ttypes as wire
from jasminewheel.errors import NotFoundError


@frozen
class WriteService:
    """Write logs for owners; only the highest fence of a slot may write."""

    guard: FenceGuard
    reader: DiskReader

    async def seal(
        self, exchange: Exchange, request: wire.SealSlot
    ) -> wire.SlotSealed:
        """Promise to refuse all lower fences; list the slot's logs."""
        slot = self.guard.slot_of(request.scope)
        fence = Fence.from_wire(request.scope.fence)
        if not slot.may_seal(fence):
            return wire.SlotSealed(
                accepted=False,
                promised=slot.promised.to_wire(),
                logs=[],
                dropped=[],
            )
        promise = slot.promise_entry(fence, request.scope.joined_epoch or 0)
        await self.guard.journal.commit(self.guard.journal.submit([promise]))
        return wire.SlotSealed(
            accepted=slot.promised == fence,
            promised=slot.promised.to_wire(),
            logs=list(slot.logs),
            dropped=slot.live_dropped(),
        )

    async def append(
        self, exchange: Exchange, request: wire.AppendRecords
    ) -> wire.Acknowledged:
        """Store records unless a higher fence was promised."""
        check_records(request)
        slot = self.guard.slot_of(request.scope)
        fence = Fence.from_wire(request.scope.fence)
        entries = [
            entry_from_wire(slot.slot, fence, request.log, record)
            for record in request.records
        ]
        missing_entries = await self.missing_entries(slot, entries)
        if request.log in slot.dropped:
            raise NotFoundError(f'log {request.log} has ended')
        decision = self.guard.check_fence(request.scope)
        # The record that ends a log is accepted even on a full disk, because it
        # allows the log to be freed.
        filling = [
            entry for entry in missing_entries if entry.kind != DROPPED_KIND
        ]
        if decision.accepted and filling:
            self.guard.journal.check_space(filling)
        return await self.guard.acknowledge(decision, missing_entries)

    async def missing_entries(
        self, slot: SlotState, entries: list[Entry]
    ) -> list[Entry]:
        """Return the entries to store; raise ConflictError on a changed one."""
        log = slot.logs.get(entries[0].log, LogState())
        stored_positions = {
            entry.index: log.position(entry.index)
            for entry in entries
            if log.position(entry.index) != NO_POSITION
        }
        if not stored_positions:
            return entries
        stored = await self.reader.in_thread(
            self.reader.read_entries, list(stored_positions.values())
        )
        stored_by_index = {entry.index: entry for entry in stored}
        return [
            entry
            for entry in entries
            if entry.index not in stored_by_index
            or must_write(stored_by_index[entry.index], entry)
        ]

    async def drop(
        self, exchange: Exchange, request: wire.DropLog
    ) -> wire.Acknowledged:
        """Free an ended log and record that it is dropped."""
        decision = self.guard.check_fence(request.scope)
        entry = decision.entry(wire.StoredKind.DROP, request.log)
        return await self.guard.acknowledge(decision, [entry])

    async def trim(
        self, exchange: Exchange, request: wire.TrimLog
    ) -> wire.Acknowledged:
        """Free the records before a snapshot that a majority has stored."""
        decision = self.guard.check_fence(request.scope)
        log = decision.slot.logs.get(request.log, LogState())
        if log.position(request.index) == NO_POSITION:
            return await self.guard.acknowledge(decision, [])
        entry = decision.entry(wire.StoredKind.TRIM, request.log, request.index)
        return await self.guard.acknowledge(decision, [entry])

    async def purge(
        self, exchange: Exchange, request: wire.PurgeLogs
    ) -> wire.Acknowledged:
        """Stop listing dropped logs that no replica stores."""
        decision = self.guard.check_fence(request.scope)
        known = decision.slot.live_dropped()
        entries = [
            decision.entry(wire.StoredKind.PURGE, name)
            for name in request.logs
            if name in known
        ]
        return await self.guard.acknowledge(decision, entries)

    async def mark_copied(
        self, exchange: Exchange, request: wire.MarkCopied
    ) -> wire.Acknowledged:
        """Record that the slot's logs are complete at the fence's epoch."""
        decision = self.guard.check_fence(request.scope)
        entry = decision.entry(wire.StoredKind.COPIED)
        return await self.guard.acknowledge(decision, [entry])

    async def note_copying(
        self, exchange: Exchange, request: wire.NoteCopying
    ) -> wire.Acknowledged:
        """Record the owner's copy progress in memory only."""
        decision = self.guard.check_fence(request.scope)
        if decision.accepted:
            decision.slot.record_copying(
                CopyReport(decision.fence, request.steps)
            )
        return await self.guard.acknowledge(decision, [])
