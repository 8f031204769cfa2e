"""Write the table and the plot of an experiment."""

from collections.abc import Sequence
from importlib import import_module
from importlib.util import find_spec
from pathlib import Path

from attrs import fields

from jasminewheel._internal.load.comparison import Row

_PLOTTED = (
    ('favoured_p95', 'favoured program latency p95, s'),
    ('wasted_tokens', 'wasted tokens'),
    ('refused_share', 'share of programs refused'),
)


def write_page(
    path: Path, title: str, command: str, rows: Sequence[Row]
) -> None:
    """Write the table and the command that produced it."""
    names = [one.name for one in fields(Row)]
    head = ' | '.join(names)
    rule = ' | '.join('---' for _ in names)
    lines = [
        f'# {title}',
        '',
        'Made by',
        '',
        f'    {command}',
        '',
        'Means over seeds with half of the 95% confidence interval;',
        'durations in seconds. Percentiles are those of the classes that call',
        'models, weighed by finished programs.',
        '',
        f'| {head} |',
        f'| {rule} |',
    ]
    for row in rows:
        cells = ' | '.join(str(getattr(row, name)) for name in names)
        lines.append(f'| {cells} |')
    text = '\n'.join(lines)
    path.write_text(f'{text}\n', encoding='utf-8')


def write_plot(path: Path, title: str, rows: Sequence[Row]) -> bool:
    """Plot each policy by rate; return False if matplotlib is missing."""
    if find_spec('matplotlib') is None:
        return False
    import_module('matplotlib').use('Agg')
    pyplot = import_module('matplotlib.pyplot')
    figure, axes = pyplot.subplots(1, len(_PLOTTED), figsize=(15, 4))
    for axis, (name, label) in zip(axes, _PLOTTED, strict=True):
        _plot_rows(axis, name, rows)
        axis.set_xlabel('rate factor')
        axis.set_title(label, fontsize=9)
    axes[0].legend(fontsize=7)
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
    return True


def _plot_rows(axis, name: str, rows: Sequence[Row]) -> None:
    for variant in dict.fromkeys(row.variant for row in rows):
        own = sorted(
            (row for row in rows if row.variant == variant),
            key=_rate_factor,
        )
        axis.errorbar(
            [row.rate_factor for row in own],
            [getattr(row, name).mean for row in own],
            [getattr(row, name).half_width for row in own],
            marker='o',
            label=variant,
        )


def _rate_factor(row: Row) -> float:
    return row.rate_factor
