"""Check stored histories against the rules of the specification."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

from attrs import define, field, frozen

from jasminewheel._internal.history.entry import Entry, is_record
from jasminewheel._internal.history.segment import (
    Segment,
    offset_of,
    segment_numbers,
)
from jasminewheel._internal.replication.fence import Fence
from jasminewheel._internal.wire.gen.history.ttypes import StoredKind
from jasminewheel.errors import DamagedError


@frozen
class StoredEntry:
    """Represent an entry and the name of the disk that stored it."""

    disk: str
    entry: Entry


@frozen
class RecordKey:
    """Identify one index of one log."""

    slot: int
    log: str
    index: int


@define
class AuditReport:
    """Count what was checked and list the violations."""

    entries: int = 0
    records: int = 0
    logs: int = 0
    owners: int = 0
    problems: list[str] = field(factory=list)


def read_folder(folder: Path) -> Iterator[StoredEntry]:
    """Yield all entries of a data folder that no process is using.

    The torn end that a crash leaves in the last segment is skipped.
    """
    numbers = segment_numbers(folder)
    if not numbers:
        raise DamagedError(
            f'{folder} holds no disk log',
            remedy='name the data folder of a history process',
        )
    for number in numbers:
        segment = Segment.open(folder, number)
        entries = _entries(segment, torn_end=number == numbers[-1])
        yield from (StoredEntry(folder.name, entry) for entry in entries)
        segment.close()


def _entries(segment: Segment, *, torn_end: bool) -> Iterator[Entry]:
    try:
        for found in segment.scan(deep=True):
            yield segment.read(offset_of(found.position))
    except DamagedError:
        if not torn_end:
            raise


def audit_records(
    stored: Iterable[StoredEntry],
    majority: int,
    call_of: Callable[[Entry], str | None],
) -> AuditReport:
    """Check all entries; call_of returns the call that a record starts.

    A record is chosen once a majority of disks stored it under one fence.
    """
    audit = Audit(majority, call_of)
    for one in stored:
        audit.add(one)
    return audit.finish()


class Audit:
    """Collect the entries of all disks and check them."""

    def __init__(
        self, majority: int, call_of: Callable[[Entry], str | None]
    ) -> None:
        """Start without entries."""
        self.majority = majority
        self.call_of = call_of
        self.report = AuditReport()
        self.owners: dict[tuple[int, int, int], Fence] = {}
        self.records: dict[RecordKey, dict[Fence, Entry]] = defaultdict(dict)
        self.holders: dict[tuple[RecordKey, Fence], set[str]] = defaultdict(set)
        self.ended: set[tuple[int, str]] = set()
        self.first: Counter[tuple[int, str]] = Counter()

    def add(self, stored: StoredEntry) -> None:
        """Add one entry of one disk."""
        entry = stored.entry
        self.report.entries += 1
        if is_record(entry):
            self.add_record(stored.disk, entry)
        elif entry.what in {StoredKind.DROP, StoredKind.PURGE}:
            self.ended.add((entry.slot, entry.log))
        elif entry.what == StoredKind.TRIM:
            log = (entry.slot, entry.log)
            self.first[log] = max(self.first[log], entry.index)

    def add_record(self, disk: str, entry: Entry) -> None:
        """Check for one owner per term, and one record per fence and index."""
        self.report.records += 1
        ballot = (entry.slot, *entry.fence.ballot)
        owner = self.owners.setdefault(ballot, entry.fence)
        if owner != entry.fence:
            self.add_problem(entry, f'{owner} and {entry.fence} share a term')
        key = RecordKey(entry.slot, entry.log, entry.index)
        known = self.records[key].setdefault(entry.fence, entry)
        if not same_content(known, entry):
            self.add_problem(entry, 'two records under one fence')
        self.holders[key, entry.fence].add(disk)

    def add_problem(self, entry: Entry, problem: str) -> None:
        """Record a violation."""
        self.report.problems.append(
            f'slot {entry.slot} log {entry.log} index {entry.index}: {problem}'
        )

    def finish(self) -> AuditReport:
        """Check all logs and return the report."""
        logs: dict[tuple[int, str], dict[int, Entry]] = defaultdict(dict)
        for key, found in self.records.items():
            last = found[max(found)]
            self.check_chosen(key, found, last)
            logs[key.slot, key.log][key.index] = last
        for log, records in logs.items():
            if log not in self.ended:
                self.check_no_gaps(log, records)
            self.check_calls(records)
        self.report.logs = len(logs)
        self.report.owners = len(self.owners)
        return self.report

    def check_chosen(
        self, key: RecordKey, found: dict[Fence, Entry], last: Entry
    ) -> None:
        """Check that no record replaced one that a majority stored."""
        for fence, entry in found.items():
            chosen = len(self.holders[key, fence]) >= self.majority
            if chosen and not same_content(entry, last):
                self.add_problem(entry, f'chosen at {fence}, replaced later')

    def check_no_gaps(
        self, log: tuple[int, str], records: dict[int, Entry]
    ) -> None:
        """Check that a log has no gaps."""
        first = self.first[log]
        missing = [
            index
            for index in range(first, max(records))
            if index not in records
        ]
        if missing:
            entry = records[max(records)]
            self.add_problem(entry, f'records {missing} are lost')

    def check_calls(self, records: dict[int, Entry]) -> None:
        """Check that no call was started twice."""
        calls = Counter(
            call for call in map(self.call_of, records.values()) if call
        )
        for call, count in calls.items():
            if count > 1:
                entry = next(iter(records.values()))
                self.add_problem(entry, f'call {call} started {count} times')


def same_content(one: Entry, other: Entry) -> bool:
    """Return whether two records differ at most in their fence."""
    return (one.kind, one.snapshot, one.payload) == (
        other.kind,
        other.snapshot,
        other.payload,
    )
