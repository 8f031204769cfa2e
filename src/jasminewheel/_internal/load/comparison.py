"""Compare runs of the same workload under different policies."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from math import sqrt
from statistics import mean, stdev

from attrs import frozen

from jasminewheel._internal.load.report import ClassReport, Report

# Half the width of a 95% interval of a mean, in standard errors.
INTERVAL_STANDARD_ERRORS = 1.96


@frozen
class Run:
    """Represent one run of an experiment: variant, rate and report."""

    variant: str
    rate_factor: float
    report: Report


@frozen
class Measured:
    """Represent a mean over seeds with half its 95% confidence interval."""

    mean: float
    half_width: float

    def __str__(self) -> str:
        """Return the mean with three digits and the half width with two."""
        average = format(self.mean, '.3g')
        interval = format(self.half_width, '.2g')
        return f'{average} ({interval})'


@frozen
class Row:
    """Represent the results of one policy at one rate, over all seeds."""

    variant: str
    rate_factor: float
    seeds: int
    favoured_p50: Measured
    favoured_p95: Measured
    favoured_p99: Measured
    other_p95: Measured
    first_token_p95: Measured
    between_tokens_p95: Measured
    cached_share: Measured
    wasted_tokens: Measured
    refused_share: Measured
    finished_a_second: Measured
    breaches: int


def compare(runs: Iterable[Run]) -> list[Row]:
    """Return one row for each policy and rate."""
    groups: dict[tuple[str, float], list[Report]] = defaultdict(list)
    for run in runs:
        groups[run.variant, run.rate_factor].append(run.report)
    return [
        _make_row(variant, rate, reports)
        for (variant, rate), reports in groups.items()
    ]


def _make_row(variant: str, rate: float, reports: Sequence[Report]) -> Row:
    favoured = [_model_classes(report, favoured=True) for report in reports]
    others = [_model_classes(report, favoured=False) for report in reports]
    return Row(
        variant=variant,
        rate_factor=rate,
        seeds=len(reports),
        favoured_p50=_estimate_mean(
            _weighted_percentile(one, 'p50') for one in favoured
        ),
        favoured_p95=_estimate_mean(
            _weighted_percentile(one, 'p95') for one in favoured
        ),
        favoured_p99=_estimate_mean(
            _weighted_percentile(one, 'p99') for one in favoured
        ),
        other_p95=_estimate_mean(
            _weighted_percentile(one, 'p95') for one in others
        ),
        first_token_p95=_estimate_mean(map(_first_token, favoured)),
        between_tokens_p95=_estimate_mean(map(_between_tokens, favoured)),
        cached_share=_estimate_mean(one.cache.hit_ratio for one in reports),
        wasted_tokens=_estimate_mean(
            one.cache.wasted_tokens for one in reports
        ),
        refused_share=_estimate_mean(map(_refused_share, reports)),
        finished_a_second=_estimate_mean(map(_goodput, reports)),
        breaches=sum(len(one.breaches) for one in reports),
    )


def _estimate_mean(numbers: Iterable[float]) -> Measured:
    found = list(numbers)
    if len(found) < 2:
        return Measured(found[0], 0)
    return Measured(
        mean(found), INTERVAL_STANDARD_ERRORS * stdev(found) / sqrt(len(found))
    )


def _model_classes(report: Report, *, favoured: bool) -> list[ClassReport]:
    return [
        one
        for one in report.classes
        if one.favoured is favoured and one.first_token.count
    ]


def _weighted_percentile(
    classes: Sequence[ClassReport], percentile: str
) -> float:
    # Weights each class by its number of finished programs.
    finished = sum(one.finished for one in classes)
    weighed = sum(
        getattr(one.program, percentile) * one.finished for one in classes
    )
    return weighed / max(1, finished)


def _first_token(classes: Sequence[ClassReport]) -> float:
    return max((one.first_token.p95 for one in classes), default=0)


def _between_tokens(classes: Sequence[ClassReport]) -> float:
    return max((one.between_tokens.p95 for one in classes), default=0)


def _refused_share(report: Report) -> float:
    refused = sum(one.refused for one in report.classes)
    ended = sum(one.finished + one.failed for one in report.classes)
    return refused / max(1, refused + ended)


def _goodput(report: Report) -> float:
    finished = sum(one.finished for one in report.classes)
    return finished / report.seconds
