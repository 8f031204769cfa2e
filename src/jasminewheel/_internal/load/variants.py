"""Define the policy variants that experiments compare."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from jasminewheel.models.policy import COST_RULE, PARTS, RULES

FULL_COST_VARIANT = 'ours'


def _make_variants() -> dict[str, Mapping[str, Any]]:
    variants = {FULL_COST_VARIANT: {'rule': COST_RULE}}
    for rule in RULES:
        if rule != COST_RULE:
            variants[rule] = {'rule': rule}
    for part in PARTS:
        variants[f'without-{part}'] = {'rule': COST_RULE, 'without': [part]}
    return variants


VARIANTS = MappingProxyType(_make_variants())
