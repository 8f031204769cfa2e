"""Draw the faults of a seed."""

from random import Random

from attrs import frozen

# Mean time between the starts of two faults.
MEAN_GAP_SECONDS = 0.9
# Upper bounds to draw from. A disk is replaced 1.5 s after its lease of 3 s
# has expired, so some faults must last longer than that.
MAX_SECONDS = (3.0, 3.0, 3.0, 10.0)
MIN_SECONDS = 0.2
# A kind that is listed several times is drawn more often.
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
    """Represent one fault; its position from 0 to 1 selects the subject."""

    start_seconds: float
    kind: str
    position: float
    duration_seconds: float

    def pick(self, subjects: list) -> object:
        """Return the subject at the position of the fault."""
        return subjects[int(self.position * len(subjects))]


def plan_faults(seed: int, seconds: float) -> list[PlannedFault]:
    """Draw the faults of a seed for a soak of so many seconds."""
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
