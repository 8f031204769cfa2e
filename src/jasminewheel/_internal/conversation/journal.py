"""Write the records of one disk durably in groups, and replay them."""

import logging
from pathlib import Path

import trio
from attrs import define, field

from jasminewheel._internal.conversation.records import (
    StoredRecord,
    StoredRevision,
)
from jasminewheel._internal.conversation.segments import (
    LogBlock,
    Segment,
    SegmentedLog,
)
from jasminewheel._internal.conversation.state import ConversationState
from jasminewheel._internal.events import conversation as events
from jasminewheel.errors import DiskFullError

# Pause after a failed write.
RETRY_SECONDS = 0.5
# A quarter of the time that entries wait for a reply.
SLOW_WRITE_SECONDS = 0.25
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class WriteGroup:
    """Represent records that are written together (group commit)."""

    records: list[StoredRecord] = field(factory=list)
    # Live records from a segment under compaction; already in the state.
    moved: list[StoredRecord] = field(factory=list)
    done: trio.Event = field(factory=trio.Event)
    error: DiskFullError | None = None


@define(eq=False)
class Journal:
    """Write submitted records in one task, then apply them to the state."""

    folder: Path
    state: ConversationState
    group: WriteGroup = field(factory=WriteGroup)
    wake: trio.Event = field(factory=trio.Event)
    log: SegmentedLog = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the log for the folder; `load` reads it."""
        self.log = SegmentedLog(self.folder)

    def load(self, now: float) -> None:
        """Replay the log into the state."""
        for record in self.log.load():
            record.apply(self.state, now)
        events.LOADED.log(
            _LOGGER,
            turns=len(self.state.turns),
            programs=len(self.state.programs),
            files=len(self.log.closed),
            log_bytes=self.log.stored_bytes,
        )

    async def store(self, *records: StoredRecord) -> None:
        """Write records durably; raise DiskFullError if that fails."""
        self.group.records.extend(records)
        await self.wait_durable()

    async def move(self, *records: StoredRecord) -> None:
        """Write records that are already in the state to the newest file."""
        self.group.moved.extend(records)
        await self.wait_durable()

    async def wait_durable(self) -> None:
        """Wait until the current group is durable; raise if it failed."""
        group = self.group
        self.wake.set()
        await group.done.wait()
        if group.error:
            raise group.error

    async def run(self) -> None:
        """Write groups until cancelled."""
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            group = self.group
            self.group = WriteGroup()
            await self.write(group)
            group.done.set()

    async def write(self, group: WriteGroup) -> None:
        """Write a group; after a failure the next one opens a new file."""
        started_at = trio.current_time()
        try:
            await self.append(group)
        except OSError as fault:
            events.DISK_FAILED.log(_LOGGER, problem=repr(fault))
            self.log.close_head()
            group.error = DiskFullError(
                f'cannot write records to {self.folder}: {fault!r}',
                remedy='replace this disk VM if this goes on',
            )
            await trio.sleep(RETRY_SECONDS)
        else:
            self.apply(group.records)
        self.log_slow_write(group, trio.current_time() - started_at)

    async def append(self, group: WriteGroup) -> None:
        """Append a group; a new file starts with the durable set revision."""
        self.log.prepare()
        written = [*group.records, *group.moved]
        if self.log.head is None:
            written.insert(0, StoredRevision(self.state.durable_revision))
        block = LogBlock.of(written)
        await trio.to_thread.run_sync(self.log.write, block)
        self.log.note_written(block)

    def apply(self, records: list[StoredRecord]) -> None:
        """Apply durable records to the state before their writers resume.

        A reader that sees a replica set in force therefore also sees all
        records accepted under older sets.
        """
        now = trio.current_time()
        for record in records:
            record.apply(self.state, now)

    def log_slow_write(self, group: WriteGroup, seconds: float) -> None:
        """Log a write that took longer than SLOW_WRITE_SECONDS."""
        if seconds < SLOW_WRITE_SECONDS:
            return
        events.WRITE_SLOW.log(
            _LOGGER,
            records=len(group.records),
            moved=len(group.moved),
            seconds=round(seconds, 3),
            log_bytes=self.log.stored_bytes,
            turns=len(self.state.turns),
        )

    async def remove(self, segment: Segment) -> None:
        """Remove a segment without live records."""
        await trio.to_thread.run_sync(self.log.unlink, segment)
        self.log.forget(segment)
