"""Define the parameters of scheduling."""

from typing import Annotated

from attrs import frozen

from jasminewheel.models.fields import Count, Ratio, Seconds, Weight
from jasminewheel.models.rules import Between, OneOf

POLICY_NAME = 'default'
COST_RULE = 'cost'
RULES = (
    COST_RULE,
    'round-robin',
    'least-loaded',
    'session-hash',
    'priority-fifo',
)
PARTS = (
    'priority',
    'attained',
    'age',
    'prefix',
    'waiting',
    'reserve',
    'admission',
    'retention',
)


@frozen
class Policy:
    """Represent the parameters of admission, queueing and placement.

    The link of the fields `link_...` is the one between regions. `rule`
    places calls; all but `cost` are simple baselines for comparison.
    `without` disables parts of the policy, to measure the effect of each.
    """

    name: Annotated[str, OneOf((POLICY_NAME,))] = POLICY_NAME
    max_queue_per_target: Count = 1000
    max_queue_seconds: Seconds = 30.0
    attained_weight: Weight = 1.0
    prefix_weight: Weight = 1.0
    load_weight: Weight = 1.0
    link_weight: Weight = 1.0
    link_bytes_per_second: Annotated[float, Between(1, 10**12)] = 1_875_000.0
    link_share: Ratio = 0.5
    prefix_hold_seconds: Seconds = 60.0
    prefix_belief_seconds: Seconds = 600.0
    breaker_failures: Count = 3
    breaker_seconds: Seconds = 0.5
    reserved_share: Ratio = 0.1
    rule: Annotated[str, OneOf(RULES)] = COST_RULE
    without: tuple[Annotated[str, OneOf(PARTS)], ...] = ()
