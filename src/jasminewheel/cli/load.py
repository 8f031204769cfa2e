"""Parse the arguments of jasminewheel-load."""

import sys
from importlib.metadata import version
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from jasminewheel._internal.load.arrivals import Bounds
from jasminewheel.cli.experiment import experiment
from jasminewheel.cli.figures import figures
from jasminewheel.commands.capacity import measure_capacity
from jasminewheel.commands.decisions import DecisionOptions, measure
from jasminewheel.commands.load import LoadOptions, drive_workload
from jasminewheel.errors import SettingsError

_EXIT_USAGE = 2
DEFAULT_BOUNDS = Bounds()
DEFAULT_DECISIONS = DecisionOptions()
CAPACITY_FOLDER = Path('docs/capacity')
_Urls = Annotated[tuple[str, ...], Parameter(consume_multiple=True)]

app = App(
    name='jasminewheel-load',
    help='Generate load that resembles a deployment and check the answers.',
    version=version('jasminewheel'),
)
app.command(experiment)
app.command(figures)


@app.command
def run(
    workload: Path,
    *,
    entry: _Urls = (),
    engine: _Urls = (),
    service: _Urls = (),
    bounds: Annotated[Bounds, Parameter(name='*')] = DEFAULT_BOUNDS,
    seed: int = 1,
    result_file: Path | None = None,
) -> int:
    """Run the programs of a workload and print a report.

    Parameters
    ----------
    workload:
        Workload file in JSON with comments.
    entry:
        Address of an entry, such as http://127.0.0.1:8101; may be repeated.
    engine:
        Address of a stand-in of an engine, to read its counters; may be
        repeated.
    service:
        Address of a stand-in of a service, to read its counters; may be
        repeated.
    bounds:
        Limits of the run.
    seed:
        Seed of the random number generators.
    result_file:
        File that receives the report in JSON.
    """
    options = LoadOptions(
        workload, entry, engine, service, bounds, seed, result_file
    )
    try:
        return drive_workload(options)
    except SettingsError as error:
        sys.stderr.write(f'error: {error}\n')
        return _EXIT_USAGE


@app.command
def decisions(
    *,
    options: Annotated[DecisionOptions, Parameter(name='*')] = (
        DEFAULT_DECISIONS
    ),
) -> int:
    """Measure how long placement decisions take as the fleet grows.

    Parameters
    ----------
    options:
        Number of measured decisions, seed and result file.
    """
    return measure(options)


@app.command
def capacity(*, folder: Path = CAPACITY_FOLDER) -> int:
    """Measure resource use per unit of load for the capacity page.

    Parameters
    ----------
    folder:
        Folder that receives the result file.
    """
    return measure_capacity(folder)


def main() -> None:
    """Run the binary."""
    sys.exit(app())
