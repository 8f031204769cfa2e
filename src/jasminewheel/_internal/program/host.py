"""Host the programs of the slots that this entry owns."""

import logging
from collections.abc import Awaitable, Callable

import trio

from jasminewheel._internal.events import program as events
from jasminewheel._internal.program.call import finish_record
from jasminewheel._internal.program.flow import CallFlow
from jasminewheel._internal.program.hosted import HostedProgram
from jasminewheel._internal.program.job import Clock
from jasminewheel._internal.program.slot_table import HostedSlot, SlotTable
from jasminewheel.errors import JasminewheelError, MovedError

_LOGGER = logging.getLogger(__name__)


class ProgramHost:
    """Load programs from their logs and drop them with their slot."""

    def __init__(
        self,
        table: SlotTable,
        flow: CallFlow,
        nursery: trio.Nursery,
        clock: Clock,
    ) -> None:
        """Start with no program in memory."""
        self.table = table
        self.flow = flow
        self.nursery = nursery
        self.clock = clock

    def check_accepts(self, hosted: HostedProgram) -> None:
        """Raise MovedError for a new call while the slot is being released."""
        hosted_slot = self.table.slot_with(hosted.program.program_id)
        if hosted_slot is None or hosted_slot.is_closing:
            raise MovedError('the slot of the program is being released')

    async def find(
        self, program_id: str, *, opens: bool = False
    ) -> HostedProgram:
        """Return the program, loaded from its log if it is not in memory.

        An unknown program stays in memory only if it is about to be opened.
        """
        hosted_slot = self.table.slot_with(program_id)
        if hosted_slot is None:
            raise MovedError('the program is owned by another entry')
        async with hosted_slot.loading(program_id):
            hosted = hosted_slot.programs.get(program_id)
            if hosted is None:
                hosted = await self.load(hosted_slot, program_id)
            if hosted.program.opened or opens:
                hosted_slot.programs[program_id] = hosted
        hosted.check_owned()
        hosted.used_at = self.clock()
        return hosted

    async def load(
        self, hosted_slot: HostedSlot, program_id: str
    ) -> HostedProgram:
        """Load a program; resume or fail its unfinished call."""
        hosted = await HostedProgram.load(
            hosted_slot.log,
            hosted_slot.ownership_status,
            program_id,
            self.clock(),
        )
        lost = hosted.program.lost_outcome()
        unfinished = hosted.program.unfinished
        if lost and unfinished:
            events.CALL_OUTCOME_UNKNOWN.log(
                _LOGGER, program=program_id, request=unfinished.request_id
            )
            await hosted.append(
                finish_record(unfinished.request_id, lost, self.clock())
            )
        elif unfinished:
            events.CALL_RESUMED.log(
                _LOGGER, program=program_id, request=unfinished.request_id
            )
            self.flow.resume_call(hosted, unfinished, self.nursery)
        return hosted

    async def run_guarded(
        self, task: Callable[..., Awaitable[None]], *arguments: object
    ) -> None:
        """Run a background task; log errors such as a lost slot."""
        try:
            await task(*arguments)
        except JasminewheelError as error:
            _LOGGER.debug('background task ended: %s', error)
