"""Store an account in a replicated log."""

from typing import Any, Self

from attrs import define, frozen

from jasminewheel._internal.budget.account import Account
from jasminewheel._internal.budget.ports import AccountRecord, SlotLog
from jasminewheel._internal.wire.codec import decode, encode
from jasminewheel._internal.wire.gen.budget.ttypes import (
    AccountChange,
    AccountSnapshot,
)

SNAPSHOT_KIND = 'account-snapshot'
CHANGE_KIND = 'account-change'
# Bounds the number of records that a new owner reads.
_RECORDS_PER_SNAPSHOT = 512


def account_log_id(caller: str) -> str:
    """Return the name of the log that stores a caller's account."""
    return f'budget:{caller}'


@frozen
class _Pending:
    index: int
    kind: str
    message: Any


@define
class AccountJournal:
    """Apply changes to an account after a majority has stored them.

    A record whose append has an unknown outcome is appended again before any
    other record. A journal must be used by one task at a time.
    """

    slot: SlotLog
    log_id: str
    account: Account
    next_index: int = 0
    record_count: int = 0
    pending: _Pending | None = None

    @classmethod
    async def load(cls, slot: SlotLog, caller: str) -> Self:
        """Read the account of a caller from a slot owned here."""
        log_id = account_log_id(caller)
        journal = cls(slot, log_id, Account())
        for record in await slot.read(log_id):
            journal.replay(record)
        return journal

    def replay(self, record: AccountRecord) -> None:
        """Apply a record of the log."""
        kind = AccountChange
        if record.kind == SNAPSHOT_KIND:
            kind = AccountSnapshot
        message = decode(kind, record.payload)
        self.apply(_Pending(record.index, record.kind, message))

    def apply(self, pending: _Pending) -> None:
        """Apply a record that is committed to the log."""
        self.next_index = pending.index + 1
        self.record_count += 1
        if pending.kind == SNAPSHOT_KIND:
            self.account = Account.from_snapshot(pending.message)
            self.record_count = 1
        else:
            self.account.apply(pending.message)

    async def open_window(self, window_start_ms: int) -> None:
        """Start a window with nothing granted, unless it is already open."""
        if (
            window_start_ms != self.account.window_start_ms
            or not self.record_count
        ):
            await self.write_snapshot(Account(window_start_ms))

    async def commit(self, change: AccountChange) -> None:
        """Commit a change; raise QuorumError if its outcome is unknown."""
        await self.commit_pending()
        if self.record_count >= _RECORDS_PER_SNAPSHOT:
            await self.write_snapshot(self.account)
        if change.taken or change.returned:
            await self.write(CHANGE_KIND, change)

    async def write_snapshot(self, account: Account) -> None:
        """Append a snapshot, which lets the log drop the records before it."""
        await self.write(SNAPSHOT_KIND, account.snapshot())

    async def write(self, kind: str, message: Any) -> None:
        """Append one record."""
        self.pending = _Pending(self.next_index, kind, message)
        await self.commit_pending()

    async def commit_pending(self) -> None:
        """Append the record whose outcome is unknown again, if there is one."""
        pending = self.pending
        if pending is None:
            return
        append = self.slot.append
        if pending.kind == SNAPSHOT_KIND:
            append = self.slot.snapshot
        payload = encode(pending.message)
        await append(self.log_id, pending.index, pending.kind, payload)
        self.apply(pending)
        self.pending = None
