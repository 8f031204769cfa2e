"""Check the fit of slopes."""

import pytest

from jasminewheel._internal.capacity.slope import Measurement, fit, read_slopes


def test_fit_finds_the_line(tmp_path):
    """A straight line is fitted, stored and read back."""
    slope = fit(
        'rss', 'MB', 'program', [(size, 3 * size + 2) for size in range(5)]
    )
    assert slope.at(100) == pytest.approx(302)
    assert slope.residual == pytest.approx(0)
    Measurement('scripts/capacity', (slope,)).write(tmp_path / 'a.json')
    assert read_slopes(tmp_path) == {'rss': slope}


def test_too_few_points_are_refused():
    """Fewer than four points are refused."""
    with pytest.raises(ValueError, match='need 4'):
        fit('rss', 'MB', 'program', [(1, 1), (2, 2), (3, 3)])
