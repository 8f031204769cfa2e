"""Parse the arguments of `jasminewheel-load figures`."""

import sys
from pathlib import Path
from typing import Annotated

from jasminewheel.cli.experiment import NO_FLEET, FleetArguments, Many
from jasminewheel.commands.figures import write_figures
from jasminewheel.commands.load import LoadOptions
from jasminewheel.errors import JasminewheelError

_EXIT_USAGE = 2
PAGE = Path('docs/figures.md')


def figures(
    workload: Path,
    *,
    process: Annotated[tuple[int, ...], Many],
    fleet: FleetArguments = NO_FLEET,
    page: Path = PAGE,
) -> int:
    """Measure the overhead of the fleet over direct calls to stand-ins.

    Parameters
    ----------
    workload:
        Workload file in JSON with comments.
    process:
        Process ids of the entries, to read their resident memory.
    page:
        File that receives the figures.
    """
    load = LoadOptions(workload, fleet.entry, fleet.engine, fleet.service)
    try:
        return write_figures(load, process, page)
    except JasminewheelError as error:
        sys.stderr.write(f'error: {error}\n')
        return _EXIT_USAGE
