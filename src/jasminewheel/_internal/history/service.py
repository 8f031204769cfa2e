"""Handle the requests of owners to one disk."""

from collections.abc import Mapping

from attrs import frozen

from jasminewheel._internal.history.fence_guard import FenceGuard
from jasminewheel._internal.history.reader import DiskReader
from jasminewheel._internal.history.state import NO_POSITION, LogState
from jasminewheel._internal.history.writes import WriteService
from jasminewheel._internal.peer.server import Exchange, Handler
from jasminewheel._internal.wire.gen.history import ttypes as wire


def history_handlers(guard: FenceGuard, zone: str) -> Mapping[type, Handler]:
    """Return the handlers of a history process for its peer server."""
    reader = DiskReader(guard.journal.disk)
    writes = WriteService(guard, reader)
    reads = ReadService(guard, reader, zone)
    return {
        wire.SealSlot: writes.seal,
        wire.AppendRecords: writes.append,
        wire.DropLog: writes.drop,
        wire.TrimLog: writes.trim,
        wire.PurgeLogs: writes.purge,
        wire.MarkCopied: writes.mark_copied,
        wire.NoteCopying: writes.note_copying,
        wire.ReadIndex: reads.read_index,
        wire.ReadRecords: reads.read_records,
        wire.DescribeDisk: reads.describe_disk,
        wire.DescribeSlot: reads.describe_slot,
    }


@frozen
class ReadService:
    """Read logs for owners, and describe the disk."""

    guard: FenceGuard
    reader: DiskReader
    zone: str

    async def read_index(
        self, exchange: Exchange, request: wire.ReadIndex
    ) -> wire.LogIndexed:
        """List index and fence of each record of a log."""
        decision = await self.guard.check_fence_for_read(request.scope)
        slot = decision.slot
        log = slot.logs.get(request.log, LogState())
        heads = await self.reader.in_thread(
            self.reader.read_heads, _positions(log)
        )
        return wire.LogIndexed(
            accepted=decision.accepted,
            promised=decision.promised,
            dropped=request.log in slot.dropped,
            first=log.first,
            entries=[
                wire.IndexEntry(head.index, head.fence.to_wire(), head.snapshot)
                for head in heads
            ],
        )

    async def read_records(
        self, exchange: Exchange, request: wire.ReadRecords
    ) -> wire.LogPage:
        """Send the records of the indexes in pages."""
        decision = await self.guard.check_fence_for_read(request.scope)
        log = decision.slot.logs.get(request.log, LogState())
        positions = [log.position(index) for index in request.indexes]
        remaining = [
            position for position in positions if position != NO_POSITION
        ]
        page = wire.LogPage(decision.accepted, decision.promised, [])
        while remaining and decision.accepted:
            page.records = await self.reader.in_thread(
                self.reader.read_page, remaining
            )
            if remaining:
                await exchange.reply(page)
        return page

    async def describe_disk(
        self, exchange: Exchange, request: wire.DescribeDisk
    ) -> wire.DiskDescribed:
        """Return the disk's name, stored bytes and number of logs."""
        state = self.guard.journal.state
        return wire.DiskDescribed(
            replica=self.guard.replica,
            zone=self.zone,
            stored_bytes=self.guard.journal.disk.stored_bytes,
            logs=sum(len(slot.logs) for slot in state.slots.values()),
        )

    async def describe_slot(
        self, exchange: Exchange, request: wire.DescribeSlot
    ) -> wire.SlotDescribed:
        """Return the durable state of a slot; needs no fence."""
        self.guard.check_replica(request.replica)
        slot = self.guard.slot_numbered(request.slot)
        return wire.SlotDescribed(
            promised=slot.durable.to_wire(),
            joined_epoch=slot.joined_epoch,
            copied_epoch=slot.copied.epoch,
            copying_steps=slot.copying_steps,
        )


def _positions(log: LogState) -> list[int]:
    return [log.position(index) for index in log.indexes()]
