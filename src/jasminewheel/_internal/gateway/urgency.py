"""Decide how urgent a call is to a runner that serves the urgent ones first.

This answers runners with too few places: a program that ends late earns little,
so those that can still end in time go first, and of these the ones under way.
"""

from jasminewheel._internal.gateway.call import TurnRequest

# Ranks within one priority of an organisation or a route.
UNDER_WAY = 0
NOT_BEGUN = 1
LATE = 2
RANKS = 3


def urgency(priority: int, turn: TurnRequest, *, begun: bool) -> int:
    """Return the rank of a turn; lower is more urgent."""
    left = turn.program_seconds_left
    rank = UNDER_WAY if begun else NOT_BEGUN
    if left is not None and left <= 0:
        rank = LATE
    return priority * RANKS + rank
