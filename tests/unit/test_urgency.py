"""Check which turns runners with too few places serve first."""

from itertools import pairwise

from jasminewheel._internal.gateway.call import TurnRequest
from jasminewheel._internal.gateway.urgency import urgency


def _turn(seconds_left: float | None) -> TurnRequest:
    return TurnRequest(program_seconds_left=seconds_left)


def test_programs_that_can_end_in_time_go_first():
    """Under way before not begun, and late ones last."""
    ranks = [
        urgency(1, _turn(2), begun=True),
        urgency(1, _turn(2), begun=False),
        urgency(1, _turn(0), begun=True),
    ]
    assert ranks == sorted(set(ranks))


def test_priority_goes_before_the_state_of_a_program():
    """No late program of a priority goes behind one of a lower priority."""
    late = [urgency(one, _turn(-1), begun=True) for one in range(3)]
    in_time = [urgency(one, _turn(1), begun=True) for one in range(1, 4)]
    assert all(one < other for one, other in zip(late, in_time))
    assert all(one < other for one, other in pairwise(late))


def test_unknown_time_counts_as_in_time():
    """A caller that names no time is not taken for late."""
    assert urgency(1, _turn(None), begun=True) == urgency(
        1, _turn(1), begun=True
    )
