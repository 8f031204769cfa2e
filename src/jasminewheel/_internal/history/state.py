"""Track the positions of the live entries of each slot on disk."""

from array import array
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from itertools import repeat

from attrs import define, field, frozen

from jasminewheel._internal.history.entry import Entry
from jasminewheel._internal.history.segment import segment_of
from jasminewheel._internal.replication.fence import LOWEST_FENCE, Fence
from jasminewheel._internal.wire.gen.history.ttypes import StoredKind

# Positions have 64 bits; this one marks a record that the disk lacks.
NO_POSITION = 0xFFFFFFFFFFFFFFFF


@define
class LogState:
    """Track the positions of one log's records from its first index on."""

    first: int = 0
    oldest_segment: int = 0
    trim_position: int = NO_POSITION
    positions: array = field(factory=lambda: array('Q'))

    def position(self, index: int) -> int:
        """Return the position of the record, or NO_POSITION."""
        offset = index - self.first
        if 0 <= offset < len(self.positions):
            return self.positions[offset]
        return NO_POSITION

    def put(self, index: int, position: int) -> int:
        """Set a record's position; return that of the replaced one."""
        offset = index - self.first
        missing = offset + 1 - len(self.positions)
        if missing > 0:
            self.positions.extend(repeat(NO_POSITION, missing))
        replaced = self.positions[offset]
        self.positions[offset] = position
        return replaced

    def trim(self, index: int) -> list[int]:
        """Remove the records before the index; return their positions."""
        count = index - self.first
        freed = list(self.positions[:count])
        self.positions = self.positions[count:]
        self.first = index
        return freed

    def indexes(self) -> list[int]:
        """Return the indexes of the records on this disk."""
        return [
            self.first + offset
            for offset, position in enumerate(self.positions)
            if position != NO_POSITION
        ]

    def live_positions(self) -> list[int]:
        """Return the positions of all records and of the trim entry."""
        positions = [self.trim_position, *self.positions]
        return [position for position in positions if position != NO_POSITION]


@define
class DroppedLog:
    """Track a dropped log while its entries may remain on disk.

    No segment outside `oldest` to `newest` has dead entries of the log.
    """

    position: int
    oldest: int
    newest: int
    purged: bool = False

    def include_segment(self, segment: int) -> None:
        """Widen the range of segments that may hold entries of the log."""
        self.oldest = min(self.oldest, segment)
        self.newest = max(self.newest, segment)

    def is_obsolete(self, segments: Iterable[int]) -> bool:
        """Return whether no segment can have entries of the purged log."""
        touched = (self.oldest <= number <= self.newest for number in segments)
        return self.purged and not any(touched)


@frozen(order=True)
class CopyReport:
    """Represent the reported copy progress of an owner; it is not stored."""

    fence: Fence = LOWEST_FENCE
    steps: int = 0


@define
class SlotState:
    """Represent the state of a slot on one disk.

    `promised` includes promises that are not on disk yet; `durable` is the
    fence after a restart.
    """

    slot: int
    promised: Fence = LOWEST_FENCE
    durable: Fence = LOWEST_FENCE
    joined_epoch: int = 0
    copied: Fence = LOWEST_FENCE
    copying: CopyReport = CopyReport()
    logs: dict[str, LogState] = field(factory=dict)
    dropped: dict[str, DroppedLog] = field(factory=dict)

    def may_seal(self, fence: Fence) -> bool:
        """Return whether a new owner may seal the slot at this fence."""
        return fence == self.promised or fence.ballot > self.promised.ballot

    def may_write(self, fence: Fence) -> bool:
        """Return whether no higher fence was promised."""
        return fence >= self.promised

    def promise_entry(self, fence: Fence, joined_epoch: int) -> Entry:
        """Raise the promise; return the entry that makes it durable."""
        self.promised = fence
        return Entry(
            StoredKind.PROMISE,
            self.slot,
            fence,
            joined_epoch=max(joined_epoch, self.joined_epoch),
        )

    def entries_to_keep(self) -> Iterator[Entry]:
        """Yield the entries to repeat before a segment is removed."""
        yield Entry(
            StoredKind.PROMISE,
            self.slot,
            self.durable,
            joined_epoch=self.joined_epoch,
        )
        yield Entry(StoredKind.COPIED, self.slot, self.copied)

    def record_copying(self, report: CopyReport) -> None:
        """Record the report if it is the newest."""
        self.copying = max(self.copying, report)

    @property
    def copying_steps(self) -> int:
        """Return the copy steps of the owner with the durable promise."""
        return self.copying.steps if self.copying.fence == self.durable else 0

    def live_dropped(self) -> list[str]:
        """Return the dropped logs that are not purged yet."""
        return [name for name, log in self.dropped.items() if not log.purged]


class DiskState:
    """Apply entries, in any order, to the states of the slots."""

    def __init__(self, read_head: Callable[[int], Entry]) -> None:
        """Start empty; read_head returns the entry at a position."""
        self.read_head = read_head
        self.slots: dict[int, SlotState] = {}
        self.live_counts: Counter[int] = Counter()
        self.total_counts: Counter[int] = Counter()
        self.appliers = {
            StoredKind.RECORD: self.apply_record,
            StoredKind.PROMISE: self.apply_promise,
            StoredKind.DROP: self.apply_drop,
            StoredKind.PURGE: self.apply_drop,
            StoredKind.TRIM: self.apply_trim,
            StoredKind.COPIED: self.apply_copied,
        }

    def slot(self, number: int) -> SlotState:
        """Return the state of a slot."""
        state = self.slots.get(number)
        if state is None:
            state = SlotState(number)
            self.slots[number] = state
        return state

    def apply(self, entry: Entry, position: int) -> None:
        """Apply a durable entry."""
        state = self.slot(entry.slot)
        self.total_counts[segment_of(position)] += 1
        state.durable = max(state.durable, entry.fence)
        state.promised = max(state.promised, state.durable)
        self.appliers[entry.what](state, entry, position)

    def apply_promise(
        self, state: SlotState, entry: Entry, position: int
    ) -> None:
        """Void the records from before the disk joined the replica set."""
        if entry.joined_epoch <= state.joined_epoch:
            return
        state.joined_epoch = entry.joined_epoch
        for log in state.logs.values():
            self.mark_dead(log.live_positions())
        for dropped in state.dropped.values():
            self.mark_dead([dropped.position])
        state.logs.clear()
        state.dropped.clear()

    def apply_copied(
        self, state: SlotState, entry: Entry, position: int
    ) -> None:
        """Record that the slot's logs are complete at the entry's epoch."""
        state.copied = max(state.copied, entry.fence)

    def apply_record(
        self, state: SlotState, entry: Entry, position: int
    ) -> None:
        """Apply a record unless its log is dropped or it is void."""
        if entry.fence.epoch < state.joined_epoch:
            return
        dropped = state.dropped.get(entry.log)
        if dropped:
            dropped.include_segment(segment_of(position))
            return
        log = _log_of(state, entry, position)
        if entry.index < log.first:
            return
        # Compaction may copy a replaced record behind its replacement.
        if not self.is_replaced(log.position(entry.index), entry):
            self.live_counts[segment_of(position)] += 1
            self.mark_dead([log.put(entry.index, position)])

    def is_replaced(self, held_at: int, entry: Entry) -> bool:
        """Return whether the stored record has a higher fence."""
        if held_at == NO_POSITION:
            return False
        return self.read_head(held_at).fence > entry.fence

    def apply_drop(self, state: SlotState, entry: Entry, position: int) -> None:
        """Remove a log's records; a purge also stops listing it as dropped."""
        if entry.fence.epoch < state.joined_epoch:
            return
        log = state.logs.pop(entry.log, LogState())
        self.mark_dead(log.live_positions())
        segment = segment_of(position)
        dropped = state.dropped.setdefault(
            entry.log, DroppedLog(NO_POSITION, segment, segment)
        )
        dropped.include_segment(log.oldest_segment or segment)
        purges = entry.what == StoredKind.PURGE
        if dropped.purged and not purges:
            return
        self.mark_dead([dropped.position])
        dropped.position = position
        dropped.purged = purges
        self.live_counts[segment] += 1

    def apply_trim(self, state: SlotState, entry: Entry, position: int) -> None:
        """Remove the records before a snapshot."""
        if entry.log in state.dropped or entry.fence.epoch < state.joined_epoch:
            return
        log = _log_of(state, entry, position)
        if entry.index < log.first:
            return
        self.mark_dead([log.trim_position, *log.trim(entry.index)])
        log.trim_position = position
        self.live_counts[segment_of(position)] += 1

    def mark_dead(self, positions: list[int]) -> None:
        """Subtract entries from the live counts of their segments."""
        for position in positions:
            if position != NO_POSITION:
                self.live_counts[segment_of(position)] -= 1

    def is_live(self, entry: Entry, position: int) -> bool:
        """Return whether the entry at the position is live."""
        state = self.slot(entry.slot)
        log = state.logs.get(entry.log)
        if entry.what == StoredKind.RECORD:
            return log is not None and log.position(entry.index) == position
        if entry.what == StoredKind.TRIM:
            return log is not None and log.trim_position == position
        dropped = state.dropped.get(entry.log)
        return dropped is not None and dropped.position == position

    def forget_segment(self, number: int, remaining: Iterable[int]) -> None:
        """Forget a removed segment and the drops that became obsolete."""
        self.live_counts.pop(number, None)
        self.total_counts.pop(number, None)
        for state in self.slots.values():
            for name, dropped in tuple(state.dropped.items()):
                if dropped.is_obsolete(remaining):
                    self.mark_dead([dropped.position])
                    state.dropped.pop(name)

    def reset_promises(self) -> None:
        """Revert promises whose entries were not written."""
        for state in self.slots.values():
            state.promised = state.durable

    def entries_to_keep(self) -> Iterator[Entry]:
        """Yield the entries to repeat before a segment is removed."""
        for state in tuple(self.slots.values()):
            yield from state.entries_to_keep()


def _log_of(state: SlotState, entry: Entry, position: int) -> LogState:
    """Return the log of an entry and widen its range of segments."""
    segment = segment_of(position)
    log = state.logs.setdefault(entry.log, LogState())
    log.oldest_segment = min(log.oldest_segment or segment, segment)
    return log
