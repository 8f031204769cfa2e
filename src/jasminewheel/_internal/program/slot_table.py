"""Track the slots that this entry owns and their programs in memory."""

import logging
import math
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager

import trio
from attrs import define, field

from jasminewheel._internal.events import program as events
from jasminewheel._internal.program.hosted import HostedProgram, OwnershipStatus
from jasminewheel._internal.program.ports import SlotLog, SlotOwnership
from jasminewheel._internal.program.program import Program

_LOGGER = logging.getLogger(__name__)
IDLE_PROGRAM_SECONDS = 60.0
# For this long after a program's end, retries get the recorded answer.
RETENTION_SECONDS = 600.0


@define(eq=False)
class HostedSlot:
    """Represent one owned slot and its programs in memory."""

    slot: int
    log: SlotLog
    programs: dict[str, HostedProgram] = field(factory=dict)
    locks: dict[str, trio.Lock] = field(factory=dict)
    ownership_status: OwnershipStatus = field(factory=OwnershipStatus)
    is_closing: bool = False
    due_times: dict[str, float] = field(factory=dict)
    dropped: set[str] = field(factory=set)

    @property
    def is_idle(self) -> bool:
        """Return whether no program runs a call or writes a record."""
        return all(hosted.is_idle for hosted in self.programs.values())

    @asynccontextmanager
    async def loading(self, program_id: str) -> AsyncIterator[None]:
        """Lock a program so that one task at a time loads it."""
        lock = self.locks.setdefault(program_id, trio.Lock())
        async with lock:
            yield
        if not lock.statistics().tasks_waiting:
            self.locks.pop(program_id, None)

    def due_program_ids(self, now: float) -> list[str]:
        """Return programs to end or drop, and programs not yet checked."""
        for program_id, hosted in self.programs.items():
            self.due_times[program_id] = due_time(hosted.program)
        logged = filter(_is_program, self.log.log_ids)
        unknown = set(logged) - self.due_times.keys() - self.dropped
        overdue = [name for name, at in self.due_times.items() if at <= now]
        return sorted([*unknown, *overdue])

    def mark_dropped(self, program_id: str) -> None:
        """Remove a program whose log was dropped."""
        self.programs.pop(program_id, None)
        self.due_times.pop(program_id, None)
        self.dropped.add(program_id)

    def evict_idle(self, now: float) -> None:
        """Evict idle programs from memory; their logs remain."""
        for program_id, hosted in list(self.programs.items()):
            unused_seconds = now - hosted.used_at
            if hosted.is_idle and unused_seconds > IDLE_PROGRAM_SECONDS:
                self.due_times[program_id] = due_time(hosted.program)
                self.programs.pop(program_id)


class SlotTable:
    """Look up owned slots; drop their programs when a slot is lost."""

    def __init__(
        self, ownership: SlotOwnership, slot_of: Callable[[str], int]
    ) -> None:
        """Start with no slot; slot_of takes the name of a log."""
        self.ownership = ownership
        self.slot_of = slot_of
        self.slots: dict[int, HostedSlot] = {}

    def slot(self, number: int) -> HostedSlot | None:
        """Return the slot if this entry still owns it."""
        log = self.ownership.owned(number)
        known = self.slots.get(number)
        if known and (log is not known.log or known.ownership_status.is_lost):
            self.discard_lost(known)
            known = None
            log = self.ownership.owned(number)
        if log is None:
            return None
        if known is None:
            known = HostedSlot(number, log)
            self.slots[number] = known
        return known

    def slot_with(self, program_id: str) -> HostedSlot | None:
        """Return the slot of a program if this entry still owns it."""
        return self.slot(self.slot_of(program_id))

    def owned_slots(self) -> Iterator[HostedSlot]:
        """Iterate over the slots owned now."""
        for number in list(self.slots):
            hosted_slot = self.slot(number)
            if hosted_slot:
                yield hosted_slot

    def discard_lost(self, hosted_slot: HostedSlot) -> None:
        """Drop the programs of a slot that another entry may own."""
        events.SLOT_LOST.log(_LOGGER, slot=hosted_slot.slot)
        hosted_slot.ownership_status.is_lost = True
        self.slots.pop(hosted_slot.slot, None)
        if self.ownership.owned(hosted_slot.slot) is hosted_slot.log:
            self.ownership.release(hosted_slot.slot)

    def release(self, hosted_slot: HostedSlot) -> None:
        """Release an idle slot, so that another entry acquires it."""
        hosted_slot.ownership_status.is_lost = True
        self.slots.pop(hosted_slot.slot, None)
        self.ownership.release(hosted_slot.slot)
        events.SLOT_RELEASED.log(_LOGGER, slot=hosted_slot.slot)


def due_time(program: Program) -> float:
    """Return when to end a program or drop its log, as Unix time."""
    if program.ended:
        return program.ended.ended_at + RETENTION_SECONDS
    if program.opened and program.opened.deadline_at:
        return program.opened.deadline_at
    return math.inf


def _is_program(log_id: str) -> bool:
    """Return whether a log belongs to a program.

    The names of all other logs contain a colon.
    """
    return ':' not in log_id
