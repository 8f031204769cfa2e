"""Report the measurements and breaches of a run of the load tool."""

from collections.abc import Mapping

from attrs import asdict, frozen
from rich.console import Console
from rich.table import Table

from jasminewheel._internal.load.counts import EngineTotals
from jasminewheel._internal.load.records import (
    Breach,
    ClassRecord,
    Durations,
    Outcome,
    Records,
)

_PERCENTILES = (50.0, 95.0, 99.0)
_MAX_SHOWN_BREACHES = 20
_MILLISECONDS = 1000


@frozen
class Percentiles:
    """Represent the percentiles of durations, in seconds."""

    p50: float
    p95: float
    p99: float
    count: int


@frozen
class ClassReport:
    """Represent the results of one class of programs."""

    name: str
    caller: str
    favoured: bool
    finished: int
    refused: int
    failed: int
    calls: int
    restarts: int
    program: Percentiles
    first_token: Percentiles
    between_tokens: Percentiles


@frozen
class CacheReport:
    """Represent the prompt and cache totals, in tokens.

    Wasted tokens were computed again or transferred although an engine had
    computed them before. Evicted unused tokens were evicted before any reuse.
    Shipped tokens were transferred between engines.
    """

    prompt_tokens: int
    cached_tokens: int
    computed_tokens: int
    first_time_tokens: int
    wasted_tokens: int
    evicted_unused_tokens: int
    shipped_tokens: int

    @property
    def hit_ratio(self) -> float:
        """Return the cached share of all prompt tokens."""
        return self.cached_tokens / max(1, self.prompt_tokens)


@frozen
class Report:
    """Represent the results of one run of the load tool."""

    workload: str
    seed: int
    seconds: float
    classes: tuple[ClassReport, ...]
    cache: CacheReport
    once_calls: int
    once_runs: Mapping[int, int]
    problems: Mapping[str, int]
    breaches: tuple[Breach, ...]

    @property
    def passed(self) -> bool:
        """Return whether no promise broke and every class finished some."""
        finished = all(one.finished for one in self.classes)
        return finished and bool(self.classes) and not self.breaches


def report_class(record: ClassRecord) -> ClassReport:
    """Return the report of one class."""
    outcomes = record.outcomes
    return ClassReport(
        name=record.name,
        caller=record.caller,
        favoured=record.favoured,
        finished=outcomes.get(Outcome.finished, 0),
        refused=outcomes.get(Outcome.refused, 0),
        failed=outcomes.get(Outcome.failed, 0),
        calls=record.calls,
        restarts=record.restarts,
        program=_percentiles(record.programs),
        first_token=_percentiles(record.first_tokens),
        between_tokens=_percentiles(record.token_gaps),
    )


def report_cache(records: Records, totals: EngineTotals) -> CacheReport:
    """Return the cache report; shipped tokens count towards waste."""
    first_time = sum(records.new_tokens.values())
    computed = totals.computed_tokens
    spent = computed + totals.imported_tokens
    return CacheReport(
        prompt_tokens=totals.prompt_tokens,
        cached_tokens=totals.cached_tokens,
        computed_tokens=computed,
        first_time_tokens=first_time,
        wasted_tokens=max(0, spent - first_time),
        evicted_unused_tokens=totals.evicted_unused_tokens,
        shipped_tokens=totals.imported_tokens,
    )


def _percentiles(durations: Durations) -> Percentiles:
    values = (durations.percentile(percent) for percent in _PERCENTILES)
    return Percentiles(*values, count=durations.count)


def print_report(report: Report, console: Console) -> None:
    """Print the report as tables."""
    console.print('* favoured; durations in seconds or milliseconds')
    console.print(_class_table(report))
    cache = report.cache
    parts = (
        ('prompt tokens', cache.prompt_tokens),
        ('cached share', _join(3, cache.hit_ratio)),
        ('wasted (computed again or shipped)', cache.wasted_tokens),
        ('evicted unused', cache.evicted_unused_tokens),
        ('shipped', cache.shipped_tokens),
    )
    console.print(', '.join(f'{name} {count}' for name, count in parts))
    console.print('runs of calls that may not be repeated:', report.once_runs)
    for text, count in report.problems.items():
        console.print('problem', count, 'times:', text, markup=False)
    _print_verdict(report, console)


def _class_table(report: Report) -> Table:
    table = Table(title=f'{report.workload}, seed {report.seed}')
    headings = (
        'class',
        'finished',
        'refused',
        'failed',
        'program s p50 p95 p99',
        'first token s p50 p95',
        'between ms p50 p95',
    )
    for heading in headings:
        table.add_column(heading, no_wrap=True)
    for one in report.classes:
        table.add_row(*_class_cells(one))
    return table


def _class_cells(one: ClassReport) -> tuple[str, ...]:
    mark = ' *' if one.favoured else ''
    counts = (one.finished, one.refused, one.failed)
    program, first, between = one.program, one.first_token, one.between_tokens
    durations = (
        _join(2, program.p50, program.p95, program.p99),
        _join(3, first.p50, first.p95),
        _join(1, between.p50 * _MILLISECONDS, between.p95 * _MILLISECONDS),
    )
    return (one.name + mark, *map(str, counts), *durations)


def _join(digits: int, *durations: float) -> str:
    return ' '.join(str(round(one, digits)) for one in durations)


def _print_verdict(report: Report, console: Console) -> None:
    if report.passed:
        console.print('all checked promises held')
        return
    console.print(f'{len(report.breaches)} breaches of promises')
    for breach in report.breaches[:_MAX_SHOWN_BREACHES]:
        parts = (breach.promise.value, breach.request_id, breach.detail)
        console.print('  ', *parts, markup=False)


def report_fields(report: Report) -> dict[str, object]:
    """Return the report as the fields of a result file."""
    return asdict(report, value_serializer=_enum_value)


def _enum_value(_instance: object, _attribute: object, raw: object) -> object:
    return getattr(raw, 'value', raw)
