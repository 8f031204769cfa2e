"""End programs that are overdue and drop the logs of ended ones."""

import logging

import trio
from attrs import define

from jasminewheel._internal.events import program as events
from jasminewheel._internal.program.ending import ProgramEnding
from jasminewheel._internal.program.host import ProgramHost
from jasminewheel._internal.program.hosted import HostedProgram
from jasminewheel._internal.program.job import Clock
from jasminewheel._internal.program.slot_table import HostedSlot, due_time
from jasminewheel.errors import JasminewheelError

_LOGGER = logging.getLogger(__name__)
CHECK_INTERVAL_SECONDS = 30.0
# Spreads the reads of one sweep.
_STEP_PAUSE_SECONDS = 0.02


@define(eq=False)
class ProgramRetention:
    """Sweep the logs of the owned slots, one log at a time."""

    host: ProgramHost
    ending: ProgramEnding
    clock: Clock

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            await self.check_all()

    async def check_all(self) -> None:
        """Look once at each log of each owned slot."""
        for hosted_slot in self.host.table.owned_slots():
            # A sweep goes through the logs one after the other.
            await self.check_slot(hosted_slot)  # noqa: WPS476

    async def check_slot(self, hosted_slot: HostedSlot) -> None:
        """Look at each program of a slot, in memory or not."""
        for program_id in hosted_slot.due_programs(self.clock()):
            if hosted_slot.ownership_status.is_lost or hosted_slot.is_closing:
                return
            # The pause keeps the sweep from crowding out calls.
            await trio.sleep(_STEP_PAUSE_SECONDS)  # noqa: WPS476
            await self.check_program(hosted_slot, program_id)  # noqa: WPS476

    async def check_program(
        self, hosted_slot: HostedSlot, program_id: str
    ) -> None:
        """End or drop a program if it is time; a failure waits for a sweep."""
        known = program_id in hosted_slot.programs
        try:
            hosted = await self.host.find(program_id)
            found_at = hosted.used_at
            await self.end_or_drop(hosted_slot, hosted)
        except JasminewheelError as error:
            _LOGGER.debug('sweep of %s: %s', program_id, error)
            return
        if not known and hosted.used_at == found_at:
            # Nobody else asked for it, so it need not stay in memory.
            hosted.used_at = 0

    async def end_or_drop(
        self, hosted_slot: HostedSlot, hosted: HostedProgram
    ) -> None:
        """End an overdue program; drop one that ended long ago."""
        program = hosted.program
        if due_time(program) > self.clock() or not hosted.is_idle:
            return
        if program.ended:
            await self.drop(hosted_slot, hosted)
            return
        events.PROGRAM_EXPIRED.log(_LOGGER, program=program.program_id)
        await self.ending.end(hosted, 'its deadline passed')

    async def drop(
        self, hosted_slot: HostedSlot, hosted: HostedProgram
    ) -> None:
        """Remove the log and the program in memory."""
        program_id = hosted.program.program_id
        await hosted.log.drop(program_id)
        hosted_slot.mark_dropped(program_id)
        events.PROGRAM_DROPPED.log(_LOGGER, program=program_id)
