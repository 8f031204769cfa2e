"""Store one slot's logs in memory, with lost answers and new owners."""

import trio
from attrs import define, field, frozen

from jasminewheel.errors import FencedError, QuorumError


@frozen
class Record:
    """Represent one record."""

    index: int
    kind: str
    payload: bytes
    snapshot: bool = False


@define
class MemoryLogs:
    """Represent the records that the replicas of a slot store.

    Each item of `faults` applies to one append, in order: 'ok'; 'lost', a
    majority stores the record but the answer is lost; 'minority', the next
    owner may or may not find the record; 'down', no replica stores it. After
    the last item all appends succeed.
    """

    logs: dict[str, list[Record]] = field(factory=dict)
    uncommitted: dict[str, Record] = field(factory=dict)
    fence: int = 0
    faults: list[str] = field(factory=list)
    adopts_uncommitted: bool = True

    def seal(self):
        """Return the slot for a new owner."""
        self.fence += 1
        return MemorySlot(self, self.fence)

    def store(self, log_id, record):
        """Store a record under the next fault."""
        fault = self.faults.pop(0) if self.faults else 'ok'
        if fault == 'minority':
            self.uncommitted[log_id] = record
        if fault in {'minority', 'down'}:
            raise QuorumError(fault)
        self.commit(log_id, record)
        if fault == 'lost':
            raise QuorumError(fault)

    def commit(self, log_id, record):
        """Store a record at a majority; a repetition has no effect."""
        log = self.logs.setdefault(log_id, [])
        last = log[-1].index if log else -1
        if record.index == last:
            assert log[-1] == record, 'another record at the same index'
            return
        assert record.index == last + 1, 'a hole in the log'
        if record.snapshot:
            log.clear()
        log.append(record)
        self.uncommitted.pop(log_id, None)

    def recover(self, log_id):
        """Commit or discard a record of an earlier owner's failed append."""
        record = self.uncommitted.pop(log_id, None)
        if record and self.adopts_uncommitted:
            self.commit(log_id, record)


@define(eq=False)
class MemorySlot:
    """Read and append until a newer owner has sealed the slot."""

    logs: MemoryLogs
    fence: int

    @property
    def lost(self):
        """Return whether a newer owner has sealed the slot."""
        return self.fence < self.logs.fence

    async def read(self, log_id):
        """Return the records of a log from its last snapshot on."""
        await self.check()
        self.logs.recover(log_id)
        return list(self.logs.logs.get(log_id, ()))

    async def append(self, log_id, index, kind, payload):
        """Append a record."""
        await self.check()
        self.logs.store(log_id, Record(index, kind, payload))

    async def snapshot(self, log_id, index, kind, payload):
        """Append a record that replaces all records before it."""
        await self.check()
        self.logs.store(log_id, Record(index, kind, payload, snapshot=True))

    async def check(self):
        """Raise FencedError for an earlier owner."""
        await trio.lowlevel.checkpoint()
        if self.lost:
            raise FencedError('sealed by another')


@define
class MemorySlots:
    """Own the slot for one process, sealing it again after a loss."""

    logs: MemoryLogs
    slot: MemorySlot | None = None
    # A paused owner does not notice that it has lost the slot.
    is_paused: bool = False

    async def own(self, subject):
        """Return the slot."""
        await trio.lowlevel.checkpoint()
        if self.slot is None or (self.slot.lost and not self.is_paused):
            self.slot = self.logs.seal()
        return self.slot
