"""End programs past their deadline and drop logs of ended programs."""

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
# Spreads the log reads of one pass over time.
_STEP_PAUSE_SECONDS = 0.02


@define(eq=False)
class ProgramRetention:
    """Check the programs of the owned slots, one at a time."""

    host: ProgramHost
    ending: ProgramEnding
    clock: Clock

    async def run(self) -> None:
        """Check all programs periodically until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            await self.check_all()

    async def check_all(self) -> None:
        """Check each program of each owned slot once."""
        for hosted_slot in self.host.table.owned_slots():
            # One pass checks the logs one after the other.
            await self.check_slot(hosted_slot)  # noqa: WPS476

    async def check_slot(self, hosted_slot: HostedSlot) -> None:
        """Check each due program of a slot, in memory or not."""
        for program_id in hosted_slot.due_program_ids(self.clock()):
            if hosted_slot.ownership_status.is_lost or hosted_slot.is_closing:
                return
            # The pause keeps the checks from delaying calls.
            await trio.sleep(_STEP_PAUSE_SECONDS)  # noqa: WPS476
            await self.check_program(hosted_slot, program_id)  # noqa: WPS476

    async def check_program(
        self, hosted_slot: HostedSlot, program_id: str
    ) -> None:
        """End or drop a program if it is due; the next pass retries errors."""
        known = program_id in hosted_slot.programs
        try:
            hosted = await self.host.find(program_id)
            last_used_at = hosted.used_at
            await self.end_or_drop(hosted_slot, hosted)
        except JasminewheelError as error:
            _LOGGER.debug('cannot check program %s: %s', program_id, error)
            return
        if not known and hosted.used_at == last_used_at:
            # No request used the program meanwhile, so it may be evicted.
            hosted.used_at = 0

    async def end_or_drop(
        self, hosted_slot: HostedSlot, hosted: HostedProgram
    ) -> None:
        """End a program past its deadline; drop one past its retention."""
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
