"""Make what one disk is told durable, in groups, and load it again."""

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

# A pause before a disk that failed is tried again.
RETRY_SECONDS = 0.5
# A quarter of the time for which entries wait for an answer.
SLOW_WRITE_SECONDS = 0.25
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class WriteGroup:
    """Hold records that become durable together."""

    records: list[StoredRecord] = field(factory=list)
    # Records that the state holds already, from a file that is to go.
    moved: list[StoredRecord] = field(factory=list)
    done: trio.Event = field(factory=trio.Event)
    error: DiskFullError | None = None


@define(eq=False)
class Journal:
    """Write submitted records by one task, then put them into the state."""

    folder: Path
    state: ConversationState
    group: WriteGroup = field(factory=WriteGroup)
    wake: trio.Event = field(factory=trio.Event)
    log: SegmentedLog = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Use the folder's files."""
        self.log = SegmentedLog(self.folder)

    def load(self, now: float) -> None:
        """Replay the folder's files."""
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
        """Return when the records are durable; raise if they are not."""
        self.group.records.extend(records)
        await self.wait_durable()

    async def move(self, *records: StoredRecord) -> None:
        """Write records that the state holds to the newest file."""
        self.group.moved.extend(records)
        await self.wait_durable()

    async def wait_durable(self) -> None:
        """Return when the present group is durable; raise if it is not."""
        group = self.group
        self.wake.set()
        await group.done.wait()
        if group.error:
            raise group.error

    async def run(self) -> None:
        """Write group after group until cancelled."""
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
                f'{self.folder} takes no records: {fault!r}',
                remedy='replace this disk VM if this goes on',
            )
            await trio.sleep(RETRY_SECONDS)
        else:
            self.apply(group.records)
        self.log_slow_write(group, trio.current_time() - started_at)

    async def append(self, group: WriteGroup) -> None:
        """Write a group; a new file begins with the revision in force."""
        self.log.prepare()
        written = [*group.records, *group.moved]
        if self.log.head is None:
            written.insert(0, StoredRevision(self.state.durable_revision))
        block = LogBlock.of(written)
        await trio.to_thread.run_sync(self.log.write, block)
        self.log.note_written(block)

    def apply(self, records: list[StoredRecord]) -> None:
        """Put durable records into the state, before their writers go on.

        Who learns that a replica set is in force then finds all that was
        taken under older ones.
        """
        now = trio.current_time()
        for record in records:
            record.apply(self.state, now)

    def log_slow_write(self, group: WriteGroup, seconds: float) -> None:
        """Log a group that took long."""
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
        """Remove a file of which nothing is needed any more."""
        await trio.to_thread.run_sync(self.log.unlink, segment)
        self.log.forget(segment)
