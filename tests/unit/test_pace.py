"""Check the estimate of how slow a runner is."""

import pytest

from jasminewheel._internal.scheduling.pace import (
    HALF_LIFE_SECONDS,
    MAX_RATIO,
    RunnerPace,
)

USUAL_SECONDS = 0.05


def test_slow_runner_is_known_after_one_call():
    """A call six times as long as usual delays the next by more than once."""
    pace = RunnerPace()
    pace.learn(6, 10)
    assert pace.delay_seconds(USUAL_SECONDS, 10) > USUAL_SECONDS


def test_estimate_returns_to_usual_with_time():
    """Half of the difference is gone after the half-life."""
    pace = RunnerPace()
    pace.learn(6, 10)
    known = pace.estimate(10)
    later = pace.estimate(10 + HALF_LIFE_SECONDS)
    assert later - 1 == pytest.approx((known - 1) / 2)
    assert pace.estimate(1000) == pytest.approx(1)


def test_call_given_up_early_tells_only_that_it_was_slow():
    """A call that was cancelled soon is no sign of a fast runner."""
    pace = RunnerPace()
    pace.learn(6, 10)
    known = pace.estimate(10)
    pace.learn_at_least(0.1, 10)
    assert pace.estimate(10) == known
    pace.learn_at_least(8, 10)
    assert pace.estimate(10) > known


def test_fast_runner_is_never_preferred_by_its_pace():
    """A short call may be an easy one."""
    pace = RunnerPace()
    pace.learn(0.1, 10)
    assert not pace.delay_seconds(USUAL_SECONDS, 10)


def test_estimate_is_bounded():
    """One call that hung does not exclude a runner for long."""
    pace = RunnerPace()
    pace.learn(10000, 10)
    assert pace.estimate(10) < MAX_RATIO
