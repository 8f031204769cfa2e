"""Check scheduling rules: queue, load, prefixes, breaker, pauses."""

from random import Random

from jasminewheel._internal.load.decision_cost import (
    DecisionBench,
    FleetSize,
    make_target,
)
from jasminewheel._internal.scheduling.admission import (
    Throughput,
    check_admission,
)
from jasminewheel._internal.scheduling.breaker import CircuitBreaker
from jasminewheel._internal.scheduling.fleet import TargetFleet
from jasminewheel._internal.scheduling.load import RunnerLoad
from jasminewheel._internal.scheduling.pause import (
    PAUSE_BOUNDS_SECONDS,
    PauseLearner,
    PauseSituation,
    Retention,
    decide_retention,
)
from jasminewheel._internal.scheduling.placement import WAIT_REASON
from jasminewheel._internal.scheduling.prefixes import (
    NO_CACHED_PREFIX,
    PrefixIndex,
)
from jasminewheel._internal.scheduling.queue import (
    STARVATION_BOUND_SECONDS,
    ProgramOrdering,
    ProgramQueue,
    QueuedCall,
)
from jasminewheel._internal.scheduling.rates import CrowdingSlope
from jasminewheel._internal.scheduling.request import PlacementRequest
from jasminewheel._internal.scheduling.view import headroom_share
from jasminewheel._internal.targets.engine import CacheEvent
from jasminewheel._internal.targets.load_report import LoadReport
from jasminewheel._internal.targets.prefix import PrefixBlock
from jasminewheel.models.policy import Policy


def make_request(program: str = 'p', priority: int = 0, attained: int = 0):
    """Return a request with the fields that determine its rank."""
    return PlacementRequest(
        program, 'caller', priority, 'guide', (), 8, 100, attained, True, 'r'
    )


def queued(at: float, **parts) -> QueuedCall:
    """Return a queued call."""
    request = make_request(**parts)
    return QueuedCall(request, at, ProgramOrdering().rank_offset(request, 0))


def test_order_is_priority_then_attained_then_arrival():
    queue = ProgramQueue()
    late = queued(2, program='late', priority=9)
    served = queued(0, program='served', priority=9, attained=90_000)
    low = queued(0, program='low')
    early = queued(1, program='early', priority=9)
    for call in (low, served, late, early):
        queue.push(call)
    order = [queue.at(place).request.program_id for place in range(4)]
    assert order == ['early', 'late', 'served', 'low']
    assert queue.count_ahead(served) == 2


def test_starvation_bound_beats_every_priority():
    queue = ProgramQueue()
    old = queued(0, program='old', attained=10**9)
    queue.push(queued(STARVATION_BOUND_SECONDS + 0.1, priority=9))
    queue.push(old)
    assert queue.at(0) is old


def test_removal_distinguishes_calls_of_equal_rank():
    queue = ProgramQueue()
    first, second = queued(1), queued(1)
    queue.push(first)
    queue.push(second)
    assert queue.remove(second)
    assert not queue.remove(second)
    assert queue.at(0) is first


def test_load_counts_own_calls_once_and_others_from_reports():
    load = RunnerLoad(lag_seconds=1)
    load.started(0)
    load.started(10)
    load.started(10.5)
    # Measured at 9.6, when one of this entry's calls was running.
    load.reported(LoadReport(3, 1, 0, 100), 10.6)
    assert load.others_running == 3
    assert load.estimate(10.6) == 6
    load.ended(11)
    assert load.estimate(10.6) == 5
    assert load.estimate(60) == 2


def cached_tokens(index: PrefixIndex, chain, now: float) -> int:
    """Return the estimated number of cached tokens at the runner `r`."""
    return (
        dict(index.find_prefixes(chain, now)).get('r', NO_CACHED_PREFIX).tokens
    )


def test_prefix_is_dropped_on_eviction_and_cache_turnover():
    index = PrefixIndex()
    index.cache('r').capacity_tokens = 100
    chain = [PrefixBlock('a', 40), PrefixBlock('b', 40)]
    index.touch('r', chain, 0)
    assert cached_tokens(index, chain, 0) == 80
    index.observe('r', CacheEvent(3, 'evicted', 'b', 40), 1)
    assert cached_tokens(index, chain, 1) == 40
    # The event of the eviction of `a` is missed, but 110 newer tokens have
    # filled the cache of 100.
    index.observe('r', CacheEvent(4, 'stored', 'c', 60), 2)
    index.observe('r', CacheEvent(6, 'stored', 'd', 50), 2)
    assert cached_tokens(index, chain, 2) == 0
    assert 'c' not in index.blocks


def test_confidence_falls_with_gaps_age_and_misses():
    index = PrefixIndex()
    chain = [PrefixBlock('a', 40)]
    index.observe('r', CacheEvent(1, 'stored', 'x', 1), 0)
    index.touch('r', chain, 0)

    def confidence(now: float) -> float:
        return dict(index.find_prefixes(chain, now))['r'].confidence

    fresh = confidence(0)
    index.observe('r', CacheEvent(9, 'stored', 'z', 1), 0)
    after_gap = confidence(0)
    assert after_gap < fresh
    assert confidence(600) < after_gap
    index.cache('r').learn(40, 0)
    assert confidence(0) < after_gap


def test_index_of_long_prompts_is_bounded():
    index = PrefixIndex()
    chain = [PrefixBlock(str(number), 1) for number in range(200)]
    index.touch('r', chain, 0)
    assert len(index.blocks) <= 10
    assert cached_tokens(index, chain, 0) == 200
    index.drop(chain)
    assert cached_tokens(index, chain, 0) == 2
    index.forget('r')
    assert cached_tokens(index, chain, 0) == 0


def test_breaker_opens_probes_once_and_backs_off():
    breaker = CircuitBreaker()
    for _ in range(3):
        breaker.failed(0)
    assert not breaker.allows(0.4)
    assert breaker.allows(0.6)
    breaker.sent(0.6)
    assert not breaker.allows(0.6)
    breaker.failed(1)
    assert not breaker.allows(1.9)
    assert breaker.allows(2.1)
    breaker.sent(2.1)
    breaker.succeeded()
    assert breaker.allows(2.1)


def test_admission_refuses_calls_with_long_expected_wait():
    throughput = Throughput()
    for second in range(100):
        throughput.record_completion(second)
    assert check_admission(5, 30, throughput) is None
    refusal = check_admission(50, 30, throughput)
    assert 19 < refusal.retry_after_seconds < 21


def pause_situation(tool: str, occupied: float) -> PauseSituation:
    """Return a paused program whose prefix is a tenth of the cache."""
    return PauseSituation(tool, 1000, 2, 1, occupied, 10_000)


def test_pauses_are_estimated_by_tool():
    learner = PauseLearner()
    for _ in range(200):
        learner.learn('lookup', 0.4)
        learner.learn('donor-reply', 900)
    short = decide_retention(learner, pause_situation('lookup', 1))
    assert short.retention is Retention.keep
    assert short.hold_seconds is PAUSE_BOUNDS_SECONDS[1]
    endless = decide_retention(learner, pause_situation('donor-reply', 1))
    assert endless.retention is Retention.drop
    idle = decide_retention(learner, pause_situation('lookup', 0.3))
    assert idle.retention is Retention.demote


def test_few_runners_are_weighed_however_many_there_are():
    bench = DecisionBench(FleetSize(600, 200, 10), Random(1))
    weighed = bench.dispatcher.choose(bench.request(9), 0).weighed
    regions = {option.runner.region for option in weighed}
    assert len(regions) == 3
    assert len(weighed) <= 10
    assert bench.decide_once() > 0


def test_an_idle_runner_has_room_for_every_priority():
    fleet = TargetFleet(make_target(1), 'salt')
    fleet.update('runner-0', 0)
    assert fleet.has_capacity(headroom_share(0, Policy(reserved_share=1)))


def test_crowding_slope_has_a_lower_bound():
    slope = CrowdingSlope()
    for running in (0, 4, 8) * 50:
        # Prefills on idle runners make the idle runners look slower.
        slope.learn(running, 0.02 - running * 0.001)
    assert slope.seconds > slope.mean_seconds / 20


def test_a_wait_for_one_runner_is_bounded():
    bench = DecisionBench(FleetSize(2, 1, 0), Random(1))
    dispatcher = bench.dispatcher
    records = dispatcher.runners.prefixes.blocks['0-39']
    cached_at = next(iter(records))
    dispatcher.runners.state(cached_at).load.own_running = 16
    dispatcher.fleets.update(cached_at, 0)
    request = bench.request(9)
    assert dispatcher.choose(request, 0).reason == WAIT_REASON
    after_limit = dispatcher.choose(request, 0, 60)
    assert after_limit.option.runner.name != cached_at
