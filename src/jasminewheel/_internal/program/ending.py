"""End programs together with their children."""

from collections.abc import Callable

import trio
from attrs import define

from jasminewheel._internal.program.host import ProgramHost
from jasminewheel._internal.program.hosted import HostedProgram
from jasminewheel._internal.program.job import Clock
from jasminewheel._internal.wire.gen.program.ttypes import ProgramEnded


@define(eq=False)
class ProgramEnding:
    """Record the end of programs once their calls are done.

    `on_released` is called with the identifier of each program that ended.
    """

    host: ProgramHost
    clock: Clock
    on_released: Callable[[str], None]

    async def end(self, hosted: HostedProgram, reason: str) -> None:
        """End children first, so that a failed owner leaves no open child."""
        hosted.is_ending = True
        await hosted.wait_until_idle()
        program = hosted.program
        async with trio.open_nursery() as nursery:
            for child in program.children.values():
                child_id = program.child_id(child)
                nursery.start_soon(self.end_child, child_id, reason)
        ended = ProgramEnded(reason=reason, ended_at=self.clock())
        await hosted.append_decided(
            lambda decided: None if decided.ended else ended
        )
        self.on_released(program.program_id)

    async def end_child(self, child_id: str, reason: str) -> None:
        """End a child unless its opening was never recorded."""
        hosted = await self.host.find(child_id)
        if hosted.program.opened:
            await self.end(hosted, reason)
