"""Generate load on a fleet and report the measurements."""

import json
import sys
from collections import Counter
from pathlib import Path

import httpx
import trio
from attrs import evolve, frozen
from rich.console import Console

from jasminewheel._internal.load.arrivals import Bounds
from jasminewheel._internal.load.counts import (
    check_pins_released,
    find_run_breaches,
    read_engine_totals,
    read_runs,
)
from jasminewheel._internal.load.drive import LoadDriver, open_http
from jasminewheel._internal.load.records import Records
from jasminewheel._internal.load.report import (
    Report,
    print_report,
    report_cache,
    report_class,
    report_fields,
)
from jasminewheel._internal.load.workload import Workload, check_loopback
from jasminewheel._internal.settings.loader import load_settings
from jasminewheel.errors import SettingsError

EXIT_PROMISE_BROKEN = 1
CONSOLE_COLUMNS = 132


@frozen
class LoadOptions:
    """Configure a load run and its result file."""

    workload: Path
    entries: tuple[str, ...] = ()
    engines: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    bounds: Bounds = Bounds()
    seed: int = 1
    result_file: Path | None = None


def read_workload(options: LoadOptions) -> Workload:
    """Load the workload; addresses of the options override its own."""
    workload = load_settings(options.workload, Workload)
    workload = evolve(
        workload,
        entries=options.entries or workload.entries,
        engines=options.engines or workload.engines,
        services=options.services or workload.services,
    )
    if not workload.entries:
        raise SettingsError(
            f'{options.workload} lists no entries',
            remedy='add "entries" to the file or pass --entry',
        )
    check_loopback(workload.entries + workload.engines + workload.services)
    return workload


async def run_load(
    workload: Workload, bounds: Bounds, seed: int, console: Console
) -> Report:
    """Run the workload and return the report."""
    progress = ProgressLine(console)
    started_at = trio.current_time()
    async with open_http() as http:
        before = await read_engine_totals(http, workload.engines)
        driver = LoadDriver(workload, http, progress.show)
        records = await driver.drive(bounds, seed)
        seconds = trio.current_time() - started_at
        await check_pins_released(http, workload.engines, records)
        runs = await _check_runs(http, workload, records)
        after = await read_engine_totals(http, workload.engines)
    return Report(
        workload=workload.name,
        seed=seed,
        seconds=seconds,
        classes=tuple(map(report_class, records.classes.values())),
        cache=report_cache(records, after.since(before)),
        once_calls=len(records.once_calls),
        once_runs=runs,
        problems=records.problems,
        breaches=tuple(records.breaches),
    )


async def _check_runs(
    http: httpx.AsyncClient, workload: Workload, records: Records
) -> dict[int, int]:
    runs = await read_runs(http, workload.services)
    records.breaches.extend(find_run_breaches(records.once_calls, runs))
    times = Counter(runs.get(call.request_id, 0) for call in records.once_calls)
    return dict(sorted(times.items()))


class ProgressLine:
    """Print the number of ended programs, at most once a second."""

    def __init__(self, console: Console) -> None:
        """Start without any program ended."""
        self.console = console
        self.ended = 0
        self.printed_at = trio.current_time()

    def show(self, records: Records) -> None:
        """Count an ended program; print if the last line is a second old."""
        self.ended += 1
        now = trio.current_time()
        if now - self.printed_at < 1:
            return
        self.printed_at = now
        breaches = len(records.breaches)
        self.console.print(
            f'{self.ended} programs ended, {breaches} breaches', style='dim'
        )


def drive_workload(options: LoadOptions) -> int:
    """Run the load; return 1 if a guarantee was violated, else 0."""
    workload = read_workload(options)
    console = Console(file=sys.stdout, width=CONSOLE_COLUMNS)
    report = trio.run(run_load, workload, options.bounds, options.seed, console)
    print_report(report, console)
    if options.result_file:
        text = json.dumps(report_fields(report), indent=2)
        options.result_file.write_text(f'{text}\n', encoding='utf-8')
    return 0 if report.passed else EXIT_PROMISE_BROKEN
