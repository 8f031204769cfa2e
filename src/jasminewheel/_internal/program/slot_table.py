"""Keep the slots that this entry owns, with their programs in memory."""

import logging
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager

import trio
from attrs import define, field

from jasminewheel._internal.events import program as events
from jasminewheel._internal.program.hosted import HostedProgram, Holding
from jasminewheel._internal.program.ports import SlotLog, SlotOwnership

_LOGGER = logging.getLogger(__name__)
IDLE_PROGRAM_SECONDS = 60.0


@define(eq=False)
class HostedSlot:
    """Hold the programs of one owned slot."""

    slot: int
    log: SlotLog
    programs: dict[str, HostedProgram] = field(factory=dict)
    locks: dict[str, trio.Lock] = field(factory=dict)
    holding: Holding = field(factory=Holding)
    is_closing: bool = False

    @property
    def is_idle(self) -> bool:
        """Return whether no program runs a call or writes a record."""
        return all(hosted.is_idle for hosted in self.programs.values())

    @asynccontextmanager
    async def loading(self, program_id: str) -> AsyncIterator[None]:
        """Let one task at a time load a program."""
        lock = self.locks.setdefault(program_id, trio.Lock())
        async with lock:
            yield
        if not lock.statistics().tasks_waiting:
            self.locks.pop(program_id, None)

    def evict_idle(self, now: float) -> None:
        """Forget programs not used for long; their logs remain."""
        for program_id, hosted in list(self.programs.items()):
            unused_seconds = now - hosted.used_at
            if hosted.is_idle and unused_seconds > IDLE_PROGRAM_SECONDS:
                self.programs.pop(program_id)


class SlotTable:
    """Find owned slots; drop their programs when they are lost."""

    def __init__(
        self, ownership: SlotOwnership, slot_of: Callable[[str], int]
    ) -> None:
        """Start with no slot; slot_of takes the name of a log."""
        self.ownership = ownership
        self.slot_of = slot_of
        self.slots: dict[int, HostedSlot] = {}

    def slot(self, number: int) -> HostedSlot | None:
        """Return the slot if this entry owns it still."""
        log = self.ownership.owned(number)
        known = self.slots.get(number)
        if known and (log is not known.log or known.holding.is_lost):
            self.lose(known)
            known = None
            log = self.ownership.owned(number)
        if log is None:
            return None
        if known is None:
            known = HostedSlot(number, log)
            self.slots[number] = known
        return known

    def slot_with(self, program_id: str) -> HostedSlot | None:
        """Return the slot of a program if this entry owns it still."""
        return self.slot(self.slot_of(program_id))

    def owned_slots(self) -> Iterator[HostedSlot]:
        """Iterate over the slots owned now."""
        for number in list(self.slots):
            hosted_slot = self.slot(number)
            if hosted_slot:
                yield hosted_slot

    def lose(self, hosted_slot: HostedSlot) -> None:
        """Forget the programs of a slot that another entry may own."""
        events.SLOT_LOST.log(_LOGGER, slot=hosted_slot.slot)
        hosted_slot.holding.is_lost = True
        self.slots.pop(hosted_slot.slot, None)
        if self.ownership.owned(hosted_slot.slot) is hosted_slot.log:
            self.ownership.release(hosted_slot.slot)

    def release(self, hosted_slot: HostedSlot) -> None:
        """Give an idle slot up, so that another entry takes it."""
        hosted_slot.holding.is_lost = True
        self.slots.pop(hosted_slot.slot, None)
        self.ownership.release(hosted_slot.slot)
        events.SLOT_RELEASED.log(_LOGGER, slot=hosted_slot.slot)
