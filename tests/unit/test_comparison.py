"""Check the comparison of experiments and the written page."""

import pytest

from jasminewheel._internal.load.comparison import Run, compare
from jasminewheel._internal.load.experiment_page import write_page, write_plot
from jasminewheel._internal.load.records import Outcome, Records
from jasminewheel._internal.load.report import (
    Report,
    report_cache,
    report_class,
)
from jasminewheel._internal.load.counts import EngineTotals
from jasminewheel._internal.load.variants import FULL_COST_VARIANT, VARIANTS
from jasminewheel._internal.load.workload import ProgramClass
from jasminewheel.models.policy import PARTS, RULES

CHAT = ProgramClass('chat', 'cafe', 'key', 1, favoured=True, model='helper')


def report(seconds: float, *, refused: int = 0) -> Report:
    """Return a report on ten programs with the same latency."""
    records = Records()
    record = records.class_record(CHAT)
    for _ in range(10):
        record.record_end(Outcome.finished, seconds)
        record.first_tokens.add(seconds)
    for _ in range(refused):
        record.record_end(Outcome.refused, 0)
    totals = EngineTotals(prompt_tokens=100, cached_tokens=40)
    records.new_tokens['block'] = 50
    return Report(
        'test',
        1,
        2,
        tuple(map(report_class, records.classes.values())),
        report_cache(records, totals),
        0,
        {},
        {},
        (),
    )


def test_rows_are_means_over_seeds_with_an_interval():
    runs = [
        Run(FULL_COST_VARIANT, 1, report(one, refused=10)) for one in (1, 2, 3)
    ]
    row = compare(runs)[0]
    assert row.seeds == 3
    measured = (
        row.favoured_p95,
        row.refused_share,
        row.wasted_tokens,
        row.finished_a_second,
    )
    means = [one.mean for one in measured]
    assert means == pytest.approx([2, 0.5, 10, 5], abs=0.01)
    interval = pytest.approx(1.13, abs=0.01)
    assert row.favoured_p95.half_width == interval


def test_page_and_plot_hold_every_policy(tmp_path):
    rows = compare(
        [Run(FULL_COST_VARIANT, rate, report(rate)) for rate in (1, 2)]
    )
    write_page(tmp_path / 'x.md', 'x', 'the command', rows)
    text = (tmp_path / 'x.md').read_text()
    assert text.count(f'| {FULL_COST_VARIANT} |') == 2
    assert 'the command' in text
    if write_plot(tmp_path / 'x.png', 'x', rows):
        assert (tmp_path / 'x.png').stat().st_size


def test_every_rule_and_part_has_a_variant():
    assert len(VARIANTS) == len(RULES) + len(PARTS)
