"""Track how long the calls of each program have waited so far."""

from collections import OrderedDict

MAX_PROGRAMS = 10_000


class WaitTimes:
    """Track seconds waited by program; evict those that waited longest ago."""

    def __init__(self) -> None:
        """Start without programs."""
        self.seconds: OrderedDict[str, float] = OrderedDict()

    def seconds_of(self, program_id: str) -> float:
        """Return the seconds that the program's calls have waited."""
        return self.seconds.get(program_id, 0)

    def add(self, program_id: str, seconds: float) -> None:
        """Add the wait of one call."""
        if seconds <= 0:
            return
        self.seconds[program_id] = self.seconds_of(program_id) + seconds
        self.seconds.move_to_end(program_id)
        if len(self.seconds) > MAX_PROGRAMS:
            self.seconds.popitem(last=False)
