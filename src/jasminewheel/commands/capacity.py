"""Measure resource use per unit of load and update the capacity page."""

import sys
from pathlib import Path

import trio

from jasminewheel._internal.capacity.exchanges import exchange_points
from jasminewheel._internal.capacity.memory import (
    caller_points,
    program_points,
    turn_points,
)
from jasminewheel._internal.capacity.page import rewrite_page
from jasminewheel._internal.capacity.slope import (
    Measurement,
    fit,
    read_slopes,
)

_COMMAND = 'jasminewheel-load capacity'
_RESULT_FILE = 'entry.json'
_PAGE = 'CAPACITY.md'


def measure_capacity(folder: Path) -> int:
    """Measure the slopes, write them to the folder and rewrite the page."""
    slopes = (
        fit('caller-memory', 'MB', 'caller', caller_points()),
        fit('program-memory', 'MB', 'program of 4 turns', program_points()),
        fit('turn-memory', 'MB', 'turn of 1,000 programs', turn_points()),
        fit('exchange-cpu', 's', 'exchange', trio.run(exchange_points)),
    )
    Measurement(_COMMAND, slopes).write(folder / _RESULT_FILE)
    for slope in slopes:
        sys.stdout.write(f'{slope.describe()}\n')
    rewrite_page(folder.parent / _PAGE, read_slopes(folder))
    return 0
