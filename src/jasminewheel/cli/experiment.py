"""Parse the arguments of `jasminewheel-load experiment`."""

import sys
from pathlib import Path
from typing import Annotated

from attrs import frozen
from cyclopts import Parameter

from jasminewheel._internal.load.arrivals import Bounds
from jasminewheel.commands.experiment import ExperimentOptions, run_experiment
from jasminewheel.commands.load import LoadOptions
from jasminewheel.errors import JasminewheelError

_EXIT_USAGE = 2
DEFAULT_BOUNDS = Bounds()
Many = Parameter(consume_multiple=True, negative=())


@Parameter(name='*')
@frozen
class FleetArguments:
    """Define the addresses of the fleet and its stand-ins.

    Parameters
    ----------
    entry:
        Addresses of entries, such as http://127.0.0.1:8101.
    engine:
        Addresses of stand-ins of engines, to read their counters.
    service:
        Addresses of stand-ins of services, to read their counters.
    """

    entry: Annotated[tuple[str, ...], Many] = ()
    engine: Annotated[tuple[str, ...], Many] = ()
    service: Annotated[tuple[str, ...], Many] = ()


@Parameter(name='*')
@frozen
class ExperimentArguments:
    """Define the compared policies and the result files.

    Parameters
    ----------
    title:
        Name of the result files, without suffix.
    key_file:
        File that contains an operator's key, used to change the policy.
    folder:
        Folder that receives the table, the plot and the results.
    variant:
        Policies: ours, a baseline, or without-PART.
    seeds:
        Seeds; each policy runs with each of them.
    rates:
        Factors by which the workload's arrival rate is multiplied.
    policy_file:
        File in JSON with comments, of fields that all policies share.
    """

    title: str
    key_file: Path
    folder: Path = Path('docs/experiments')
    variant: Annotated[tuple[str, ...], Many] = ('ours',)
    seeds: Annotated[tuple[int, ...], Many] = (1,)
    rates: Annotated[tuple[float, ...], Many] = (1.0,)
    policy_file: Path | None = None


NO_FLEET = FleetArguments()


def experiment(
    workload: Path,
    *,
    arguments: ExperimentArguments,
    fleet: FleetArguments = NO_FLEET,
    bounds: Annotated[Bounds, Parameter(name='*')] = DEFAULT_BOUNDS,
) -> int:
    """Run the same workload under different policies and compare them.

    Parameters
    ----------
    workload:
        Workload file in JSON with comments.
    """
    load = LoadOptions(
        workload, fleet.entry, fleet.engine, fleet.service, bounds
    )
    options = ExperimentOptions(
        title=arguments.title,
        key_file=arguments.key_file,
        folder=arguments.folder,
        variants=arguments.variant,
        seeds=arguments.seeds,
        rate_factors=arguments.rates,
        policy_file=arguments.policy_file,
    )
    try:
        return run_experiment(load, options)
    except JasminewheelError as error:
        sys.stderr.write(f'error: {error}\n')
        return _EXIT_USAGE
