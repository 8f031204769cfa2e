"""Draw the start times and classes of programs."""

from collections.abc import Iterator
from random import Random

from attrs import frozen

from jasminewheel._internal.load.workload import ProgramClass, Workload

BURST_SECONDS = 2


@frozen
class Bounds:
    """Limit a run of the load tool in programs and seconds."""

    programs: int = 50
    seconds: float = 30
    open_programs: int = 200
    # Programs still running this long after `seconds` are cancelled.
    grace_seconds: float = 60
    rate_factor: float = 1


@frozen
class Arrival:
    """Represent one program's start, in seconds since the run began."""

    at: float
    program_class: ProgramClass
    number: int


def draw_arrivals(
    workload: Workload, seed: int, bounds: Bounds
) -> Iterator[Arrival]:
    """Yield Poisson arrivals with bursts, within the bounds."""
    random = Random(f'{workload.name}-{seed}')
    weights = [program_class.weight for program_class in workload.classes]
    rate = workload.programs_per_second * bounds.rate_factor
    at = 0
    burst_until = 0
    for number in range(1, bounds.programs + 1):
        is_bursting = at < burst_until
        speed = workload.burst_factor if is_bursting else 1
        at += random.expovariate(rate * speed)
        if at > bounds.seconds:
            return
        if not is_bursting and _starts_burst(random, workload, rate):
            burst_until = at + BURST_SECONDS
        program_class = random.choices(workload.classes, weights)[0]
        yield Arrival(at, program_class, number)


def _starts_burst(random: Random, workload: Workload, rate: float) -> bool:
    return random.random() < workload.burst_share / (BURST_SECONDS * rate)
