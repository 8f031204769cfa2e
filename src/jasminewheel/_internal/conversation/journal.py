"""Make what one disk is told durable, in groups, and load it again."""

import logging
from collections.abc import Iterator
from pathlib import Path

import trio
from attrs import define, field

from jasminewheel._internal.conversation.log_file import (
    EntryKind,
    LogEntry,
    LogFile,
    file_number,
    join_entries,
    log_files,
    read_entries,
)
from jasminewheel._internal.conversation.state import ConversationState
from jasminewheel._internal.events import conversation as events
from jasminewheel._internal.wire.codec import decode, encode
from jasminewheel._internal.wire.gen.conversation.ttypes import (
    TokenReservation,
    TurnRecord,
)
from jasminewheel.errors import DiskFullError

# 32 MiB; a file larger than this and than twice what lives is written anew.
REWRITE_BYTES = 33554432
# A pause before a disk that failed is tried again.
RETRY_SECONDS = 0.5
# A quarter of the time for which entries wait for an answer.
SLOW_WRITE_SECONDS = 0.25
_LOGGER = logging.getLogger(__name__)


@define(eq=False)
class WriteGroup:
    """Hold entries that become durable together."""

    entries: list[LogEntry] = field(factory=list)
    done: trio.Event = field(factory=trio.Event)
    error: DiskFullError | None = None


@define(eq=False)
class Journal:
    """Write submitted entries by one task; the state holds them already."""

    folder: Path
    state: ConversationState
    group: WriteGroup = field(factory=WriteGroup)
    wake: trio.Event = field(factory=trio.Event)
    log_file: LogFile | None = None

    def load(self, now: float) -> None:
        """Replay the folder's files."""
        paths = log_files(self.folder)
        for path in paths:
            for entry in read_entries(path):
                self.apply(entry, now)
        events.LOADED.log(
            _LOGGER,
            turns=len(self.state.turns),
            programs=len(self.state.programs),
            files=len(paths),
        )

    def apply(self, entry: LogEntry, now: float) -> None:
        """Put a stored entry into the state."""
        if entry.kind == EntryKind.turn:
            self.state.add_turn(decode(TurnRecord, entry.payload), now)
        elif entry.kind == EntryKind.reservation:
            taken = decode(TokenReservation, entry.payload)
            self.state.add_reservation(taken, now)
        else:
            revision = int.from_bytes(entry.payload)
            self.state.set_revision = max(self.state.set_revision, revision)

    async def store(self, *entries: LogEntry) -> None:
        """Return when the entries are durable; raise if they are not."""
        group = self.group
        group.entries.extend(entries)
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
        """Write a group; after a failure everything is written anew."""
        began = trio.current_time()
        try:
            await self.append(group.entries)
        except OSError as fault:
            events.DISK_FAILED.log(_LOGGER, problem=repr(fault))
            self.forget_file()
            group.error = DiskFullError(
                f'{self.folder} takes no records: {fault!r}',
                remedy='replace this disk VM if this goes on',
            )
            await trio.sleep(RETRY_SECONDS)
        self.note_slow(group, trio.current_time() - began)

    def note_slow(self, group: WriteGroup, seconds: float) -> None:
        """Log a group that took long."""
        if seconds < SLOW_WRITE_SECONDS:
            return
        events.WRITE_SLOW.log(
            _LOGGER,
            entries=len(group.entries),
            seconds=round(seconds, 3),
            log_bytes=self.log_file.size if self.log_file else 0,
            turns=len(self.state.turns),
        )

    async def append(self, entries: list[LogEntry]) -> None:
        """Write the entries, or all that lives if a new file is due."""
        log_file = self.log_file
        if log_file is None or log_file.size > REWRITE_BYTES:
            began = trio.current_time()
            block = join_entries(self.live_entries())
            await trio.to_thread.run_sync(self.rewrite, block)
            events.LOG_REWRITTEN.log(
                _LOGGER,
                written=len(block),
                before=log_file.size if log_file else 0,
                seconds=round(trio.current_time() - began, 3),
            )
        else:
            block = join_entries(entries)
            await trio.to_thread.run_sync(log_file.append, block)

    def rewrite(self, block: bytes) -> None:
        """Write the block to a new file and remove the old ones."""
        old = log_files(self.folder)
        number = file_number(old[-1]) + 1 if old else 1
        log_file = LogFile.create(self.folder, number)
        try:
            log_file.append(block)
        except OSError:
            log_file.close()
            raise
        self.forget_file()
        self.log_file = log_file
        for path in old:
            path.unlink()

    def forget_file(self) -> None:
        """Close the file that is written, if there is one."""
        if self.log_file:
            self.log_file.close()
        self.log_file = None

    def live_entries(self) -> Iterator[LogEntry]:
        """Yield entries for all that the state holds."""
        yield revision_entry(self.state.set_revision)
        for kept in self.state.turns.values():
            yield turn_entry(kept.record)
        for reservation in self.state.reservations():
            yield reservation_entry(reservation)


def turn_entry(record: TurnRecord) -> LogEntry:
    """Return the entry of a turn."""
    return LogEntry(EntryKind.turn, encode(record))


def reservation_entry(reservation: TokenReservation) -> LogEntry:
    """Return the entry of a reservation."""
    return LogEntry(EntryKind.reservation, encode(reservation))


def revision_entry(revision: int) -> LogEntry:
    """Return the entry of the newest replica set that was seen."""
    size = 8
    return LogEntry(EntryKind.set_revision, revision.to_bytes(size))
