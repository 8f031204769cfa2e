"""Commit entries in groups, with one sync for a group."""

import logging

import trio
from attrs import define, field

from jasminewheel._internal.events import history as events
from jasminewheel._internal.history.disk import DiskLog
from jasminewheel._internal.history.entry import PREFIX, Entry
from jasminewheel._internal.history.segment import Segment
from jasminewheel._internal.history.state import DiskState
from jasminewheel.errors import DiskFullError, JasminewheelError

# Limit on the entries that compaction submits at once: 1 MiB.
GROUP_BYTES = 1048576
_LOGGER = logging.getLogger(__name__)


@define
class Submission:
    """Represent entries that become durable together."""

    entries: list[Entry]
    blocks: list[bytes]
    done: trio.Event = field(factory=trio.Event)
    error: JasminewheelError | None = None

    def finish(self, error: JasminewheelError | None = None) -> None:
        """Record the outcome and wake the waiting tasks."""
        self.error = error
        self.done.set()


class Journal:
    """Write submitted entries in order from one task."""

    def __init__(self, disk: DiskLog, state: DiskState) -> None:
        """Start with an empty queue."""
        self.disk = disk
        self.state = state
        self.queue: list[Submission] = []
        self.queued_bytes = 0
        self.wake = trio.Event()
        self.syncs = 0

    def load(self) -> None:
        """Rebuild the state from the entries on disk."""
        for found in self.disk.scan():
            self.state.apply(found.entry, found.position)
        events.LOADED.log(
            _LOGGER,
            slots=len(self.state.slots),
            stored_bytes=self.disk.stored_bytes,
        )

    def submit(self, entries: list[Entry]) -> Submission:
        """Queue entries without waiting, so that earlier checks stay valid."""
        blocks = [entry.to_bytes() for entry in entries]
        self.queued_bytes += sum(map(len, blocks))
        submission = Submission(entries, blocks)
        self.queue.append(submission)
        self.wake.set()
        return submission

    async def commit(self, submission: Submission) -> None:
        """Wait until the entries are durable; raise if they are not."""
        await submission.done.wait()
        if submission.error:
            raise submission.error

    def check_space(self, entries: list[Entry]) -> None:
        """Raise DiskFullError for records that do not fit."""
        payload_bytes = sum(len(entry.payload) for entry in entries)
        if not self.disk.has_space(self.queued_bytes + payload_bytes):
            raise self.disk.disk_full_error()

    async def run(self) -> None:
        """Write groups until cancelled; a failed sync stops the process."""
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            batch = self.drain_queue()
            if batch:
                await self.write(batch)

    def drain_queue(self) -> list[Submission]:
        """Return the queued submissions and empty the queue."""
        taken = self.queue
        self.queue = []
        self.queued_bytes = 0
        return taken

    async def write(self, batch: list[Submission]) -> None:
        """Write one group and finish its submissions."""
        blocks = [block for one in batch for block in one.blocks]
        try:
            positions = await self.sync(blocks)
        except DiskFullError as error:
            events.DISK_FULL.log(_LOGGER, folder=self.disk.folder)
            self.fail_batch(batch, error)
            return
        except OSError as fault:
            # After a failed sync the content of the disk is unknown.
            events.DISK_FAILED.log(_LOGGER, problem=repr(fault))
            raise
        entries = [entry for one in batch for entry in one.entries]
        for entry, position in zip(entries, positions, strict=True):
            self.state.apply(entry, position)
        for submission in batch:
            submission.finish()

    async def sync(self, blocks: list[bytes]) -> list[int]:
        """Make blocks durable in a worker thread."""
        if not blocks:
            return []
        self.syncs += 1
        return await trio.to_thread.run_sync(self.disk.write, blocks)

    def fail_batch(self, batch: list[Submission], error: DiskFullError) -> None:
        """Fail a group and all entries checked against its promises."""
        waiting = self.drain_queue()
        self.state.reset_promises()
        for submission in (*batch, *waiting):
            submission.finish(error)


class Compactor:
    """Move live entries out of segments with mostly dead entries."""

    def __init__(self, journal: Journal, interval_seconds: float) -> None:
        """Start with no removed segments."""
        self.journal = journal
        self.interval_seconds = interval_seconds
        self.retired: list[Segment] = []

    async def run(self) -> None:
        """Compact one segment at each interval until cancelled."""
        while True:
            await trio.sleep(self.interval_seconds)
            self.close_retired()
            await self.compact_next()

    def close_retired(self) -> None:
        """Close files removed an interval ago, which have no readers now."""
        for segment in self.retired:
            segment.close()
        self.retired.clear()

    async def compact_next(self) -> None:
        """Compact a segment that is at most half live, if there is one."""
        number = self.pick_segment()
        if number is None:
            return
        segment = self.journal.disk.segments[number]
        moved = await trio.to_thread.run_sync(self.live_entries, segment)
        await self.move(moved)
        if self.journal.state.live_counts[number]:
            return
        disk = self.journal.disk
        self.retired.append(await trio.to_thread.run_sync(disk.remove, number))
        self.journal.state.forget_segment(number, tuple(disk.segments))
        events.SEGMENT_REMOVED.log(_LOGGER, segment=number, moved=len(moved))

    async def move(self, entries: list[Entry]) -> None:
        """Write entries again in small groups, with all promises."""
        promises = list(self.journal.state.entries_to_keep())
        pending = [*promises, *entries]
        while pending:
            group = _take_group(pending)
            await self.journal.commit(self.journal.submit(group))

    def pick_segment(self) -> int | None:
        """Return the closed segment with the fewest live entries.

        Only segments of which at most half the entries are live count.
        """
        state = self.journal.state
        closed = [
            number
            for number in self.journal.disk.segments
            if number != self.journal.disk.active_segment.number
            and state.live_counts[number] * 2 <= state.total_counts[number]
        ]
        return min(
            closed, key=lambda number: state.live_counts[number], default=None
        )

    def live_entries(self, segment: Segment) -> list[Entry]:
        """Read the live entries of the segment."""
        state = self.journal.state
        found = []
        for scanned in segment.scan(deep=False):
            if state.is_live(scanned.entry, scanned.position):
                found.append(self.journal.disk.read(scanned.position))
        return found


def _take_group(pending: list[Entry]) -> list[Entry]:
    group: list[Entry] = []
    count = 0
    while pending and count < GROUP_BYTES:
        entry = pending.pop()
        count += len(entry.payload) + PREFIX.size
        group.append(entry)
    return group
