"""Generate the tables of the capacity page from the measured slopes."""

from collections.abc import Iterator, Mapping
from pathlib import Path

from attrs import frozen

from jasminewheel._internal.capacity import sizes
from jasminewheel._internal.capacity.memory import MEGABYTE
from jasminewheel._internal.capacity.slope import Slope

START_MARK = '<!-- tables: begin -->'
END_MARK = '<!-- tables: end -->'
# Resident bytes of a member process after its imports, from one trial.
_IMPORTED_BYTES = 47_100_000
_ROW = '| {0} | {1} | {2} | {3} |'
_RULE = '| --- | --- | --- | --- |'
_FIGURE = '{0:.3g} {1}'
_LINE = '{0:.3g} + {1:.3g} {2}'
_MEASURED = '{0}, up to {1:g}'

Slopes = Mapping[str, Slope]


@frozen
class Estimate:
    """Represent one figure at the target size and its limit."""

    name: str
    figure: float
    limit: float
    unit: str

    def row(self) -> str:
        """Return the table row, including whether the limit holds."""
        holds = 'yes' if self.figure <= self.limit else '**no**'
        return _ROW.format(
            self.name,
            _FIGURE.format(self.figure, self.unit),
            _FIGURE.format(self.limit, self.unit),
            holds,
        )


def estimates(slopes: Slopes) -> Iterator[Estimate]:
    """Yield the figures with a limit, extrapolated to the target size."""
    at_nodes = {
        name: slope.at(sizes.NODES)
        for name, slope in slopes.items()
        if name.startswith('membership.')
    }
    yield Estimate(
        'control: share of a core',
        at_nodes['membership.processor'],
        sizes.CONTROL_CORE_SHARE,
        'core',
    )
    yield Estimate(
        'control: memory',
        control_megabytes(slopes),
        sizes.CONTROL_MEGABYTES,
        'MB',
    )
    yield Estimate(
        'control: bytes, both ways',
        at_nodes['membership.bytes'],
        sizes.CONTROL_BYTES_PER_SECOND,
        'B/s',
    )
    yield Estimate(
        'a change in force after its commit',
        at_nodes['membership.spread'],
        sizes.IN_FORCE_SECONDS,
        's',
    )
    yield Estimate(
        'the whole configuration in force after its commit',
        slopes['configuration.in_force'].at(sizes.CALLERS),
        sizes.IN_FORCE_SECONDS,
        's',
    )
    yield Estimate(
        'store: lease renewals in calm',
        sizes.NODES / sizes.LEASE_RENEW_SECONDS,
        sizes.STORE_WRITES_PER_SECOND,
        'writes/s',
    )


def control_megabytes(slopes: Slopes) -> float:
    """Return the memory of membership and configuration, in megabytes.

    The memory of a process that has only imported its modules is deducted.
    """
    members = slopes['membership.resident'].at(sizes.NODES)
    callers = slopes['configuration.resident'].slope * sizes.CALLERS
    return (members - _IMPORTED_BYTES + callers) / MEGABYTE


def slope_rows(slopes: Slopes) -> Iterator[str]:
    """Yield a table row for each slope, with its largest measured size."""
    for slope in slopes.values():
        largest = max(size for size, _ in slope.points)
        yield _ROW.format(
            slope.name,
            _LINE.format(slope.intercept, slope.slope, slope.unit),
            _MEASURED.format(slope.per, largest),
            format(slope.residual, '.1%'),
        )


def tables(slopes: Slopes) -> str:
    """Return both tables in Markdown."""
    lines = [
        _ROW.format('at the target size', 'worked out', 'limit', 'holds'),
        _RULE,
        *(estimate.row() for estimate in estimates(slopes)),
        '',
        _ROW.format('slope', 'line', 'per, measured', 'residual'),
        _RULE,
        *slope_rows(slopes),
    ]
    return '\n'.join(lines)


def rewrite_page(path: Path, slopes: Slopes) -> None:
    """Replace the text between the marks; raise ValueError if missing."""
    text = path.read_text(encoding='utf-8')
    head, begin, rest = text.partition(START_MARK)
    _, end, tail = rest.partition(END_MARK)
    if not (begin and end):
        raise ValueError(f'{path} has no marks for the tables')
    body = f'{head}{begin}\n{tables(slopes)}\n{end}{tail}'
    path.write_text(body, encoding='utf-8')
