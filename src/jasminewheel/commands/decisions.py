"""Measure how long placement decisions take as the fleet grows."""

import json
import sys
from pathlib import Path

from attrs import asdict, frozen
from rich.console import Console

from jasminewheel._internal.load.decision_cost import (
    DecisionCost,
    FleetSize,
    measure_decisions,
)

LARGEST_RUNNERS = 630
LARGEST_PROGRAMS = 89_000
SHARES = (0.1, 0.25, 0.5, 1)
QUEUES = (0, 100, 1000, 10_000)


@frozen
class DecisionOptions:
    """Configure a measurement of placement decisions."""

    decisions: int = 2000
    seed: int = 1
    result_file: Path | None = None


def fleet_sizes() -> list[FleetSize]:
    """Return growing fleets, then the largest fleet with growing queues."""
    grown = [
        FleetSize(
            round(LARGEST_RUNNERS * share), round(LARGEST_PROGRAMS * share), 0
        )
        for share in SHARES
    ]
    queued = [
        FleetSize(LARGEST_RUNNERS, LARGEST_PROGRAMS, queue)
        for queue in QUEUES[1:]
    ]
    return grown + queued


def measure(options: DecisionOptions) -> int:
    """Measure decisions at each size; print and write the results."""
    console = Console(file=sys.stdout)
    costs = []
    for size in fleet_sizes():
        cost = measure_decisions(size, options.decisions, options.seed)
        console.print(_line(cost))
        costs.append(cost)
    if options.result_file:
        text = json.dumps(_result(options, costs), indent=2)
        options.result_file.write_text(f'{text}\n', encoding='utf-8')
    return 0


def _line(cost: DecisionCost) -> str:
    size = cost.size
    return (
        f'{size.runners} runners, {size.programs} programs, '
        f'{size.queued} queued: choose {cost.choose_p50} / {cost.choose_p99} '
        f'us, whole {cost.whole_p50} / {cost.whole_p99} us (p50 / p99)'
    )


def _result(
    options: DecisionOptions, costs: list[DecisionCost]
) -> dict[str, object]:
    command = (
        f'jasminewheel-load decisions --decisions {options.decisions} '
        f'--seed {options.seed} --result-file docs/capacity/scheduling.json'
    )
    return {
        'command': command,
        'unit': 'microseconds',
        'points': [asdict(cost) for cost in costs],
    }
