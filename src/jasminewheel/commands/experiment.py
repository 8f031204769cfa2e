"""Run the same workload under different policies and compare them."""

import json
import sys
import time
from collections.abc import Iterator, Mapping
from itertools import product
from pathlib import Path
from typing import Any

import jsonc
import trio
from attrs import asdict, evolve, frozen
from rich.console import Console

from jasminewheel._internal.load.comparison import Run, compare
from jasminewheel._internal.load.experiment_page import write_page, write_plot
from jasminewheel._internal.load.report import report_fields
from jasminewheel._internal.load.variants import FULL_COST_VARIANT, VARIANTS
from jasminewheel.commands.ctl.client import OperatorClient, read_key
from jasminewheel.commands.load import (
    CONSOLE_COLUMNS,
    LoadOptions,
    read_workload,
    run_load,
)
from jasminewheel.errors import SettingsError

POLICY_TIMEOUT_SECONDS = 20
POLL_SECONDS = 0.1
# Lets calls of the previous run end at the engines.
PAUSE_SECONDS = 1


@frozen
class ExperimentOptions:
    """Configure an experiment and its result files."""

    title: str
    key_file: Path
    folder: Path
    variants: tuple[str, ...] = (FULL_COST_VARIANT,)
    seeds: tuple[int, ...] = (1,)
    rate_factors: tuple[float, ...] = (1.0,)
    policy_file: Path | None = None


def run_experiment(load: LoadOptions, options: ExperimentOptions) -> int:
    """Run all variants; return 1 if a guarantee was violated, else 0."""
    _check_variants(options.variants)
    console = Console(file=sys.stdout, width=CONSOLE_COLUMNS)
    runs: list[Run] = []
    for run in _run_all(load, options, console):
        runs.append(run)
        # Written after each run, so that an interrupted experiment keeps
        # the results of its finished runs.
        _write_results(load, options, runs)
    return 1 if any(one.report.breaches for one in runs) else 0


def _write_results(
    load: LoadOptions, options: ExperimentOptions, runs: list[Run]
) -> None:
    rows = compare(runs)
    stem = options.folder / options.title
    command = _command(load, options)
    write_page(stem.with_suffix('.md'), options.title, command, rows)
    write_plot(stem.with_suffix('.png'), options.title, rows)
    results = {
        'command': command,
        'rows': [asdict(row) for row in rows],
        'runs': [_run_fields(run) for run in runs],
    }
    text = json.dumps(results, indent=1)
    stem.with_suffix('.json').write_text(f'{text}\n', encoding='utf-8')


def _command(load: LoadOptions, options: ExperimentOptions) -> str:
    arguments = [
        ('title', [options.title]),
        ('variant', options.variants),
        ('rates', options.rate_factors),
        ('seeds', options.seeds),
        ('programs', [load.bounds.programs]),
        ('seconds', [load.bounds.seconds]),
        ('grace-seconds', [load.bounds.grace_seconds]),
    ]
    if options.policy_file is not None:
        arguments.append(('policy-file', [options.policy_file]))
    words = ['scripts/experiment', load.workload.parent.name]
    for name, given in arguments:
        words.extend((f'--{name}', *map(str, given)))
    return ' '.join(words)


def _run_all(
    load: LoadOptions, options: ExperimentOptions, console: Console
) -> Iterator[Run]:
    workload = read_workload(load)
    # Variants alternate within a seed, so that a temporary slowdown of the
    # machine does not affect only one of them.
    plan = product(options.rate_factors, options.seeds, options.variants)
    for rate_factor, seed, variant in plan:
        fields = {**_base_policy(options), **VARIANTS[variant]}
        switch_policy(workload.entries, options.key_file, fields)
        bounds = evolve(load.bounds, rate_factor=rate_factor)
        report = trio.run(run_load, workload, bounds, seed, console)
        console.print(_summary(Run(variant, rate_factor, report)))
        yield Run(variant, rate_factor, report)
        time.sleep(PAUSE_SECONDS)


def switch_policy(
    entries: tuple[str, ...], key_file: Path, fields: Mapping[str, Any]
) -> None:
    """Apply a policy to all entries; raise SettingsError on timeout."""
    key = read_key(key_file)
    document = {'kind': 'policy', 'name': 'default', 'spec': dict(fields)}
    with OperatorClient(entries[0], key) as client:
        version = client.post('apply', {'resources': [document]})['version']
    deadline = time.monotonic() + POLICY_TIMEOUT_SECONDS
    for entry in entries:
        with OperatorClient(entry, key) as client:
            while client.get('policies')['version'] < version:
                if time.monotonic() > deadline:
                    raise SettingsError(
                        f'{entry} did not apply the policy in time'
                    )
                time.sleep(POLL_SECONDS)


def _base_policy(options: ExperimentOptions) -> Mapping[str, Any]:
    if options.policy_file is None:
        return {}
    return jsonc.loads(options.policy_file.read_text(encoding='utf-8'))


def _check_variants(names: tuple[str, ...]) -> None:
    unknown = [name for name in names if name not in VARIANTS]
    if unknown:
        known = ', '.join(VARIANTS)
        raise SettingsError(
            f'unknown policies: {unknown}', remedy=f'choose from {known}'
        )


def _summary(run: Run) -> str:
    row = compare([run])[0]
    return (
        f'{run.variant} at {run.rate_factor}: favoured p95 '
        f'{row.favoured_p95}, wasted {row.wasted_tokens}, '
        f'refused {row.refused_share}'
    )


def _run_fields(run: Run) -> dict[str, Any]:
    return {
        'variant': run.variant,
        'rate_factor': run.rate_factor,
        'report': report_fields(run.report),
    }
