"""Remember how long each program's calls have waited so far."""

from collections import OrderedDict

MAX_PROGRAMS = 10_000


class WaitTimes:
    """Keep the seconds waited by program, least recent ones dropped."""

    def __init__(self) -> None:
        """Start with no program known."""
        self.seconds: OrderedDict[str, float] = OrderedDict()

    def seconds_of(self, program_id: str) -> float:
        """Return how long the program's calls have waited."""
        return self.seconds.get(program_id, 0)

    def add(self, program_id: str, seconds: float) -> None:
        """Count the wait of one more call."""
        if seconds <= 0:
            return
        self.seconds[program_id] = self.seconds_of(program_id) + seconds
        self.seconds.move_to_end(program_id)
        if len(self.seconds) > MAX_PROGRAMS:
            self.seconds.popitem(last=False)
