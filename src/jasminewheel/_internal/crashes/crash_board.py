"""Remember under which calls runners ended."""

import math
from collections.abc import Iterator

import trio
from attrs import define, field

# A call under which so many runners ended, without any that answered it since,
# is sent to no other one. Callers try the same call up to three times, and
# innocent calls end with their runner too.
MAX_CRASHES = 3
# Others are told of calls with so many; most calls lose one runner by chance.
TOLD_CRASHES = 2
# A call is remembered for so long after its last crash or answer.
MEMORY_SECONDS = 60.0
MAX_CALLS = 1024


@define(eq=False)
class CallHistory:
    """Track the runners that ended under one call."""

    # When each runner ended.
    crashes: dict[str, float] = field(factory=dict)
    completed_at: float = -math.inf

    def add_crash(self, runner: str, at: float) -> bool:
        """Record a crash; return whether it was unknown and counts."""
        if runner in self.crashes or at <= self.completed_at:
            return False
        self.crashes[runner] = at
        return True

    def add_completion(self, at: float) -> bool:
        """Record an answer, which clears earlier crashes; return if it did."""
        self.completed_at = max(self.completed_at, at)
        later = {
            runner: crashed_at
            for runner, crashed_at in self.crashes.items()
            if crashed_at > self.completed_at
        }
        cleared = len(later) < len(self.crashes)
        self.crashes = later
        return cleared

    def latest_at(self) -> float:
        """Return when the last crash or answer was."""
        return max(self.completed_at, *self.crashes.values(), -math.inf)


@define(eq=False)
class CrashBoard:
    """Keep the histories of calls, and wake whoever waits for a change."""

    calls: dict[bytes, CallHistory] = field(factory=dict)
    changes: int = 0
    changed: trio.Event = field(factory=trio.Event)

    def add_crash(self, call: bytes, runner: str, at: float) -> bool:
        """Record that a runner ended under a call; return if it was news."""
        history = self.calls.get(call)
        if history is None or history.latest_at() < at - MEMORY_SECONDS:
            history = self.begin_history(call)
        news = history.add_crash(runner, at)
        if news and len(history.crashes) >= TOLD_CRASHES:
            self.wake()
        return news

    def begin_history(self, call: bytes) -> CallHistory:
        """Return a new history of a call, in place of a former one."""
        self.calls.pop(call, None)
        self.make_room()
        self.calls[call] = CallHistory()
        return self.calls[call]

    def add_completion(self, call: bytes, at: float) -> bool:
        """Record that a runner answered a call; return if it was cleared."""
        history = self.calls.get(call)
        if history is None:
            return False
        cleared = history.add_completion(at)
        if cleared:
            self.wake()
        return cleared

    def crash_count(self, call: bytes) -> int:
        """Return how many runners ended under a call since its last answer."""
        history = self.calls.get(call)
        return len(history.crashes) if history else 0

    def barred_seconds(self, call: bytes, now: float) -> float:
        """Return for how long a call is sent to no runner; 0 if it may be."""
        if self.crash_count(call) < MAX_CRASHES:
            return 0
        until = self.calls[call].latest_at() + MEMORY_SECONDS
        return max(0, until - now)

    def told(self, now: float) -> Iterator[tuple[bytes, CallHistory]]:
        """Yield the calls that others should know, and forget old ones."""
        self.forget(now)
        for call, history in self.calls.items():
            completed = math.isfinite(history.completed_at)
            if completed or len(history.crashes) >= TOLD_CRASHES:
                yield call, history

    def forget(self, now: float) -> None:
        """Forget the calls of which nothing was heard for long."""
        since = now - MEMORY_SECONDS
        for call, history in list(self.calls.items()):
            if history.latest_at() < since:
                self.calls.pop(call)

    def make_room(self) -> None:
        """Forget the call of which nothing was heard for longest."""
        if len(self.calls) >= MAX_CALLS:
            oldest = min(
                self.calls, key=lambda one: self.calls[one].latest_at()
            )
            self.calls.pop(oldest)

    def wake(self) -> None:
        """Count a change, and wake the waiting tasks."""
        self.changes += 1
        self.changed.set()
        self.changed = trio.Event()
