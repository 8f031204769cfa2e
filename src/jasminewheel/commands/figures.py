"""Measure the overhead of calls through the fleet over direct calls."""

import sys
from pathlib import Path

import trio
from attrs import frozen

from jasminewheel._internal.load.drive import open_http
from jasminewheel._internal.load.figures import (
    OverheadDriver,
    StreamTimes,
    FleetUnderTest,
    resident_mebibytes,
)
from jasminewheel._internal.load.records import Durations
from jasminewheel._internal.load.workload import ProgramClass, Workload
from jasminewheel._internal.targets.engine import EngineClient
from jasminewheel.commands.load import LoadOptions, read_workload

CALLS = 300
STREAMS = 60
CLIENTS = 32
RATE_SECONDS = 5
PROGRAMS = 1000
MEDIAN = 50
TAIL_PERCENTILE = 99
MIN_SECONDS = 0.000001


@frozen
class Figure:
    """Compare durations of direct calls and calls through the entries.

    All durations are in seconds.
    """

    name: str
    direct: Durations
    via_fleet: Durations

    def lines(self) -> list[str]:
        """Return the table rows of the median and the 99th percentile."""
        return [self._line(MEDIAN), self._line(TAIL_PERCENTILE)]

    def _line(self, percent: int) -> str:
        direct = self.direct.percentile(percent)
        via_fleet = self.via_fleet.percentile(percent)
        cells = (
            f'{self.name} p{percent}',
            f'{direct:.4f}',
            f'{via_fleet:.4f}',
            format(via_fleet / max(direct, MIN_SECONDS), '.2f'),
        )
        joined = ' | '.join(cells)
        return f'| {joined} |'


@frozen
class Figures:
    """Represent all results of one run; memory is in MiB."""

    compared: tuple[Figure, ...]
    requests_per_second: float
    idle_mebibytes: float
    growth_mebibytes: float


def write_figures(
    load: LoadOptions, process_ids: tuple[int, ...], page: Path
) -> int:
    """Measure the fleet and write the page of figures."""
    subject = make_subject(read_workload(load), process_ids)
    figures = trio.run(measure_figures, subject)
    text = '\n'.join(page_lines(figures, len(process_ids)))
    page.write_text(f'{text}\n', encoding='utf-8')
    sys.stdout.write(f'{text}\n')
    return 0


def make_subject(
    workload: Workload, process_ids: tuple[int, ...]
) -> FleetUnderTest:
    """Return the addresses, processes and classes to measure."""
    model = next(kind for kind in workload.classes if kind.model)
    service_class = next(kind for kind in workload.classes if not kind.model)
    return FleetUnderTest(
        workload.entries,
        process_ids,
        workload.engines[0],
        workload.services[0],
        model,
        _repeatable(service_class),
        service_class.key,
    )


def _repeatable(kind: ProgramClass):
    return next(tool for tool in kind.tools if tool.repeatable)


async def measure_figures(subject: FleetUnderTest) -> Figures:
    """Return all figures; read the memory at rest before any call."""
    at_rest = resident_mebibytes(subject.process_ids)
    async with open_http() as http, EngineClient(subject.engine) as engine:
        driver = OverheadDriver(subject, http, engine)
        lookups = await _compare_lookups(driver)
        streams = await _compare_streams(driver)
        rate = await driver.measure_request_rate(CLIENTS, RATE_SECONDS)
        slope = await _measure_slope(driver)
    return Figures((lookups, *streams), rate, at_rest, slope)


async def _compare_lookups(driver: OverheadDriver) -> Figure:
    direct, via_fleet = Durations(), Durations()
    remaining = CALLS
    while remaining:
        remaining -= 1
        direct.add(await driver.time_direct_lookup())
        via_fleet.add(await driver.time_lookup())
    return Figure('plain call', direct, via_fleet)


async def _compare_streams(driver: OverheadDriver) -> tuple[Figure, Figure]:
    direct, via_fleet = StreamTimes(), StreamTimes()
    remaining = STREAMS
    while remaining:
        remaining -= 1
        direct.add(await driver.stream_direct())
        via_fleet.add(await driver.stream())
    return (
        Figure('first token', direct.first_token, via_fleet.first_token),
        Figure(
            'between tokens', direct.between_tokens, via_fleet.between_tokens
        ),
    )


async def _measure_slope(driver: OverheadDriver) -> float:
    process_ids = driver.subject.process_ids
    before = resident_mebibytes(process_ids)
    remaining = PROGRAMS
    while remaining:
        remaining -= 1
        await driver.open_program()
    return resident_mebibytes(process_ids) - before


def page_lines(figures: Figures, processes: int) -> list[str]:
    """Return the lines of the page of figures."""
    at_rest = figures.idle_mebibytes / processes
    lines = [
        '# Figures',
        '',
        'Made by `scripts/figures` in one run. Direct calls go to the same',
        'stand-ins; calls through the fleet go to each entry in turn, so that',
        'two of three take a hop to the owner. Seconds.',
        '',
        '| figure | direct | through the fleet | ratio |',
        '| --- | --- | --- | --- |',
    ]
    for figure in figures.compared:
        lines.extend(figure.lines())
    lines += [
        '',
        f'Plain calls a second at one entry: {figures.requests_per_second:.0f}',
        f'({CLIENTS} callers for {RATE_SECONDS} s; its peers own two thirds',
        'of the programs).',
        '',
        f'Resident memory of an entry at rest: {at_rest:.1f} MiB; all',
        f'{processes} entries together grow by {figures.growth_mebibytes:.1f}',
        f'MiB for {PROGRAMS} open programs.',
    ]
    return lines
