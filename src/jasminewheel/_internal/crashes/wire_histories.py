"""Convert histories of calls to messages between processes and back."""

import math

from jasminewheel._internal.crashes.crash_board import CallHistory, CrashBoard
from jasminewheel._internal.wire.gen.conversation import ttypes as wire


def history_to_wire(
    call: bytes, history: CallHistory, now: float
) -> wire.CallCrashes:
    """Return a history as it is sent."""
    completed = math.isfinite(history.completed_at)
    return wire.CallCrashes(
        call=call,
        crashes=[
            wire.RunnerCrash(runner=runner, age_seconds=now - crashed_at)
            for runner, crashed_at in history.crashes.items()
        ],
        completed_age_seconds=now - history.completed_at if completed else None,
    )


def add_to_board(board: CrashBoard, told: wire.CallCrashes, now: float) -> None:
    """Record what another process tells of a call."""
    if not told.call:
        return
    for crash in told.crashes or ():
        age = max(0, crash.age_seconds or 0)
        board.add_crash(told.call, crash.runner or '', now - age)
    if told.completed_age_seconds is not None:
        age = max(0, told.completed_age_seconds)
        board.add_completion(told.call, now - age)
