"""Host the programs of the slots that this entry owns."""

import logging
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager

import trio
from attrs import define, field

from jasminewheel._internal.events import program as events
from jasminewheel._internal.program.call import finish_record
from jasminewheel._internal.program.flow import CallFlow
from jasminewheel._internal.program.hosted import HostedProgram, Holding
from jasminewheel._internal.program.job import Clock
from jasminewheel._internal.program.ports import SlotLog, SlotOwnership
from jasminewheel.errors import JasminewheelError, MovedError

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


class ProgramHost:
    """Load programs from their logs and drop them with their slot."""

    def __init__(
        self,
        ownership: SlotOwnership,
        slot_of: Callable[[str], int],
        flow: CallFlow,
        nursery: trio.Nursery,
        clock: Clock,
    ) -> None:
        """Start with no program in memory."""
        self.ownership = ownership
        self.slot_of = slot_of
        self.flow = flow
        self.nursery = nursery
        self.clock = clock
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

    def lose_slot(self, number: int) -> None:
        """Forget a slot that another entry has taken."""
        known = self.slots.get(number)
        if known:
            self.lose(known)
        else:
            self.ownership.release(number)

    def release(self, hosted_slot: HostedSlot) -> None:
        """Give an idle slot up, so that another entry takes it."""
        hosted_slot.holding.is_lost = True
        self.slots.pop(hosted_slot.slot, None)
        self.ownership.release(hosted_slot.slot)
        events.SLOT_RELEASED.log(_LOGGER, slot=hosted_slot.slot)

    def check_accepts(self, hosted: HostedProgram) -> None:
        """Raise MovedError for a new call while the slot is handed over."""
        number = self.slot_of(hosted.program.program_id)
        hosted_slot = self.slot(number)
        if hosted_slot is None or hosted_slot.is_closing:
            raise MovedError('the program is being handed over')

    async def find(
        self, program_id: str, *, opens: bool = False
    ) -> HostedProgram:
        """Return the program, loaded from its log if need be.

        An unknown program is kept in memory only if it is to be opened.
        """
        hosted_slot = self.slot(self.slot_of(program_id))
        if hosted_slot is None:
            raise MovedError('the program is owned by another entry')
        async with hosted_slot.loading(program_id):
            hosted = hosted_slot.programs.get(program_id)
            if hosted is None:
                hosted = await self.load(hosted_slot, program_id)
            if hosted.program.opened or opens:
                hosted_slot.programs[program_id] = hosted
        hosted.check_held()
        hosted.used_at = self.clock()
        return hosted

    async def load(
        self, hosted_slot: HostedSlot, program_id: str
    ) -> HostedProgram:
        """Read a program and settle the call its last owner left open."""
        hosted = await HostedProgram.load(
            hosted_slot.log, hosted_slot.holding, program_id, self.clock()
        )
        lost = hosted.program.lost_outcome()
        unfinished = hosted.program.unfinished
        if lost and unfinished:
            events.CALL_UNCERTAIN.log(
                _LOGGER, program=program_id, request=unfinished.request_id
            )
            await hosted.append(
                finish_record(unfinished.request_id, lost, self.clock())
            )
        elif unfinished:
            events.CALL_TAKEN_UP.log(
                _LOGGER, program=program_id, request=unfinished.request_id
            )
            self.flow.take_up(hosted, unfinished, self.nursery)
        return hosted

    async def guarded(
        self, task: Callable[..., Awaitable[None]], *arguments: object
    ) -> None:
        """Run a background task that the loss of the slot may end."""
        try:
            await task(*arguments)
        except JasminewheelError as error:
            _LOGGER.debug('background task ended: %s', error)
