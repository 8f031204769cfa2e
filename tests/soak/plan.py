"""Draw the faults of a seed."""

from random import Random

from attrs import frozen

# Mean time between the begins of two faults.
GAP_SECONDS = 0.9
# A disk is replaced after its lease of 3 s and 1.5 s more, so some last long.
MOST_SECONDS = (3.0, 3.0, 3.0, 10.0)
FEWEST_SECONDS = 0.2
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
class Planned:
    """Hold one fault to come; where picks its subject, from 0 to 1."""

    at: float
    kind: str
    where: float
    seconds: float

    def pick(self, subjects: list) -> object:
        """Return the subject of the fault."""
        return subjects[int(self.where * len(subjects))]


def plan(seed: int, seconds: float) -> list[Planned]:
    """Return the faults of a seed."""
    random = Random(f'{seed} faults')
    planned = []
    at = random.expovariate(1 / GAP_SECONDS)
    while at < seconds:
        most = random.choice(MOST_SECONDS)
        lasts = random.uniform(FEWEST_SECONDS, min(most, seconds - at + 1))
        kind = random.choice(KINDS)
        planned.append(Planned(at, kind, random.random(), lasts))
        at += random.expovariate(1 / GAP_SECONDS)
    return planned
