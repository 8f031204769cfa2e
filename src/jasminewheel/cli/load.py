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
    help='Drive programs shaped like a deployment and check the answers.',
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
    """Run a workload's programs and print a report.

    Parameters
    ----------
    workload:
        File in JSON with comments.
    entry:
        Address of an entry, such as http://127.0.0.1:8101; may be repeated.
    engine:
        Address of an engine's stand-in, for its counts; may be repeated.
    service:
        Address of a service's stand-in, for its counts; may be repeated.
    bounds:
        Bounds of the run.
    seed:
        Seed of all draws.
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
        How much is measured and where the result goes.
    """
    return measure(options)


@app.command
def capacity(*, folder: Path = CAPACITY_FOLDER) -> int:
    """Measure the slopes behind the capacity page.

    Parameters
    ----------
    folder:
        Folder that receives the result file.
    """
    return measure_capacity(folder)


def main() -> None:
    """Run the tool and exit with its code."""
    sys.exit(app())
