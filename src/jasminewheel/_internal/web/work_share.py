"""Share the time of a process between costly answers and all other work."""

import trio
from attrs import define, field

# After a costly piece of an answer the next one waits this many times as long
# as the piece took.
REST_FACTOR = 3


@define(eq=False)
class WorkShare:
    """Let one costly answer at a time go on, each after a rest.

    An answer in many small pieces costs far more time than its bytes suggest.
    Many such answers at once together take a part of the time of the process
    only, so that other calls go on.
    """

    turn: trio.Lock = field(factory=trio.Lock)

    async def rest(self, worked_seconds: float) -> None:
        """Wait for a turn, and then in proportion to the work that was done."""
        async with self.turn:
            await trio.sleep(worked_seconds * REST_FACTOR)
