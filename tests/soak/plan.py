"""Draw the faults of a seed."""

from random import Random

from attrs import frozen

# Mean time between the begins of two faults.
MEAN_GAP_SECONDS = 0.9
# A disk is replaced after its lease of 3 s and 1.5 s more, so some last long.
MAX_SECONDS = (3.0, 3.0, 3.0, 10.0)
MIN_SECONDS = 0.2
# A kind that stands here more than once comes more often.
PROCESS_KINDS = (
    'kill',
    'kill',
    'kill-several',
    'pause',
    'pause',
    'pause-several',
    'stop',
    'stop-several',
    'wipe',
)
LINK_KINDS = (
    'delayed',
    'cut-out',
    'cut-back',
    'silent',
    'reset',
    'mute',
    'isolate',
)
STORE_KINDS = (
    'store-refuses',
    'store-slow',
    'store-silent',
    'store-loses',
    'store-forgets',
)
OTHER_KINDS = ('configure', 'configure', 'faulty-runners', 'drain-runner')
KINDS = (*PROCESS_KINDS, *LINK_KINDS, *STORE_KINDS, *OTHER_KINDS)


@frozen
class PlannedFault:
    """Hold one fault to come; where picks its subject, from 0 to 1."""

    start_seconds: float
    kind: str
    position: float
    duration_seconds: float

    def pick(self, subjects: list) -> object:
        """Return the subject of the fault."""
        return subjects[int(self.position * len(subjects))]


def plan_faults(seed: int, seconds: float) -> list[PlannedFault]:
    """Return the faults of a seed."""
    random = Random(f'{seed} faults')
    planned = []
    start_seconds = random.expovariate(1 / MEAN_GAP_SECONDS)
    while start_seconds < seconds:
        max_seconds = random.choice(MAX_SECONDS)
        duration_seconds = random.uniform(
            MIN_SECONDS, min(max_seconds, seconds - start_seconds + 1)
        )
        kind = random.choice(KINDS)
        planned.append(
            PlannedFault(start_seconds, kind, random.random(), duration_seconds)
        )
        start_seconds += random.expovariate(1 / MEAN_GAP_SECONDS)
    return planned
