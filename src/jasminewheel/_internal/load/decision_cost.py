"""Measure the duration of placement decisions in a large fleet."""

import time
from collections.abc import Sequence
from itertools import chain
from random import Random

from attrs import define, field, frozen

from jasminewheel._internal.configuration.snapshot import Snapshot
from jasminewheel._internal.scheduling.decision import PlacementDecision
from jasminewheel._internal.scheduling.dispatch import Dispatcher
from jasminewheel._internal.scheduling.queue import QueuedCall, ordering_of
from jasminewheel._internal.scheduling.request import PlacementRequest
from jasminewheel._internal.scheduling.waiting import Waiter
from jasminewheel._internal.targets.engine import EngineUsage
from jasminewheel._internal.targets.prefix import PrefixBlock
from jasminewheel.models.policy import Policy
from jasminewheel.models.target import MODEL, Runner, Target

TARGET = 'guide'
ZONES_PER_REGION = 3
REGIONS = 3
RUNNING_LIMIT = 16
BLOCKS_PER_PROGRAM = 40
BLOCK_TOKENS = 400
HIGH_PRIORITY = 9
LOW_PRIORITY = 0
LOW_SHARE = 0.5
MAX_ATTAINED_TOKENS = 100_000
P50_SHARE = 0.5
P99_SHARE = 0.99
DEADLINE = 1e12
MICROSECONDS = 1_000_000


@frozen
class FleetSize:
    """Represent the fleet size at which decisions are measured."""

    runners: int
    programs: int
    queued: int


@frozen
class DecisionCost:
    """Represent percentiles of the duration of a decision, in microseconds.

    `choose` covers the choice of a runner. `whole` also covers queueing,
    recording and explaining the call, and processing its outcome.
    """

    size: FleetSize
    choose_p50: float
    choose_p99: float
    whole_p50: float
    whole_p99: float


@define
class _FixedConfiguration:
    current: Snapshot


def make_target(runners: int) -> Target:
    """Return a model target with runners in several regions."""
    return Target(
        TARGET,
        MODEL,
        tuple(_make_runner(number) for number in range(runners)),
    )


def _make_runner(number: int) -> Runner:
    region = number % REGIONS
    zone = number % (REGIONS * ZONES_PER_REGION)
    return Runner(
        f'runner-{number}',
        f'http://127.0.0.1:{number}',
        f'region-{region}',
        f'zone-{zone}',
        max_running=RUNNING_LIMIT,
    )


@define(eq=False)
class DecisionBench:
    """Time decisions of a dispatcher with cached prefixes and queued calls."""

    size: FleetSize
    random: Random
    dispatcher: Dispatcher = field(init=False)
    target: Target = field(init=False)
    now: float = 0
    request_count: int = 0

    def __attrs_post_init__(self) -> None:
        """Set up prefixes, runner loads and the queue."""
        self.target = make_target(self.size.runners)
        policy = Policy(reserved_share=LOW_SHARE)
        snapshot = Snapshot(1, {}, {TARGET: self.target}, {}, policy)
        self.dispatcher = Dispatcher(
            _FixedConfiguration(snapshot), 'region-0', 'bench'
        )
        prefixes = self.dispatcher.runners.prefixes
        prefixes.max_blocks = self.size.programs * BLOCKS_PER_PROGRAM
        for program in range(self.size.programs):
            runner = self.random.choice(self.target.runners)
            prefixes.touch(runner.name, self.blocks(program), self.now)
        self.fill_runners()
        self.fill_queue()

    def blocks(self, program: int) -> Sequence[PrefixBlock]:
        """Return a program's prompt; all programs share the first block."""
        shared = PrefixBlock('shared', BLOCK_TOKENS)
        own = (
            PrefixBlock(f'{program}-{number}', BLOCK_TOKENS)
            for number in range(1, BLOCKS_PER_PROGRAM)
        )
        return tuple(chain((shared,), own))

    def request(self, priority: int) -> PlacementRequest:
        """Return a call of a random program."""
        program = self.random.randrange(self.size.programs)
        self.request_count += 1
        return PlacementRequest(
            f'program-{program}',
            'cafe',
            priority,
            TARGET,
            self.blocks(program),
            BLOCK_TOKENS,
            DEADLINE,
            self.random.randrange(MAX_ATTAINED_TOKENS),
            repeatable=True,
            request_id=f'call-{self.request_count}',
        )

    def fill_runners(self) -> None:
        """Load the runners up to the share that low priorities may use."""
        for name in self.dispatcher.fleets.fleet(self.target, 0).runners:
            load = self.dispatcher.runners.state(name).load
            load.own_running = RUNNING_LIMIT // 2
            self.dispatcher.fleets.update(name, self.now)

    def fill_queue(self) -> None:
        """Queue low-priority calls, for which no runner has capacity."""
        for _ in range(self.size.queued):
            self.submit(LOW_PRIORITY)

    def choose_once(self) -> float:
        """Return the duration of choosing a runner, in seconds."""
        request = self.request(HIGH_PRIORITY)
        started = time.perf_counter()
        self.dispatcher.choose(request, self.now)
        return time.perf_counter() - started

    def decide_once(self) -> float:
        """Return the duration of all steps of a favoured call, in seconds."""
        request = self.request(HIGH_PRIORITY)
        started = time.perf_counter()
        waiter = self.submit_request(request)
        self.dispatcher.dispatch(TARGET, self.now)
        if waiter.decision is None:
            self.dispatcher.targets.state(TARGET).remove(waiter)
        else:
            self.finish(waiter.decision)
        return time.perf_counter() - started

    def finish(self, decision: PlacementDecision) -> None:
        """Report the first token and the end of an answer."""
        prompt = decision.request.prompt_tokens
        decision.first_token(self.now)
        usage = EngineUsage(prompt, 0, BLOCK_TOKENS, 'stop')
        decision.finished(usage, self.now)

    def submit(self, priority: int) -> None:
        """Queue a call of a random program."""
        self.submit_request(self.request(priority))

    def submit_request(self, request: PlacementRequest) -> Waiter:
        """Queue a call."""
        policy = self.dispatcher.configuration.current.policy
        rank_offset = ordering_of(policy).rank_offset(request, 0)
        waiter = Waiter(QueuedCall(request, self.now, rank_offset))
        self.dispatcher.targets.state(TARGET).push(waiter)
        return waiter


def measure_decisions(
    size: FleetSize, decisions: int, seed: int
) -> DecisionCost:
    """Return the duration of decisions at a fleet size."""
    bench = DecisionBench(size, Random(seed))
    choose = [bench.choose_once() for _ in range(decisions)]
    whole = [bench.decide_once() for _ in range(decisions)]
    return DecisionCost(
        size,
        choose_p50=_percentile(choose, P50_SHARE),
        choose_p99=_percentile(choose, P99_SHARE),
        whole_p50=_percentile(whole, P50_SHARE),
        whole_p99=_percentile(whole, P99_SHARE),
    )


def _percentile(durations: list[float], share: float) -> float:
    position = min(len(durations) - 1, round(len(durations) * share))
    return round(sorted(durations)[position] * MICROSECONDS, 1)
