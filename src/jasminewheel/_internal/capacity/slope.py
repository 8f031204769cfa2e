"""Fit a straight line to measured points."""

import json
from pathlib import Path
from statistics import linear_regression

from attrs import asdict, frozen

MIN_POINTS = 4


@frozen
class Slope:
    """Represent the points of one measurement and the fitted line."""

    name: str
    unit: str
    per: str
    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size, in the slope's unit."""
        return self.intercept + self.slope * size

    def describe(self) -> str:
        """Return the slope with its unit and its residual, as text."""
        rate = format(self.slope, '.3g')
        residual = format(self.residual, '.1%')
        parts = (self.name, rate, self.unit, 'per', self.per, 'off', residual)
        return ' '.join(parts)


@frozen
class Measurement:
    """Represent the slopes of one run and the command that produced them."""

    command: str
    slopes: tuple[Slope, ...]

    def write(self, path: Path) -> None:
        """Write the measurement to a JSON file; create its folder."""
        path.parent.mkdir(parents=True, exist_ok=True)
        text = json.dumps(asdict(self), indent=1)
        path.write_text(f'{text}\n', encoding='utf-8')


def fit(
    name: str,
    unit: str,
    per: str,
    points: list[tuple[float, float]],
) -> Slope:
    """Fit a line to the points.

    The residual is the largest distance of a point from the line, as a share
    of the largest value. Raises ValueError for fewer than MIN_POINTS points.
    """
    if len(points) < MIN_POINTS:
        raise ValueError(f'{name}: {len(points)} points, need {MIN_POINTS}')
    sizes = [size for size, _ in points]
    values = [measured for _, measured in points]
    line = linear_regression(sizes, values)
    distances = [
        abs(measured - line.intercept - line.slope * size)
        for size, measured in points
    ]
    largest = max(map(abs, values)) or 1
    return Slope(
        name=name,
        unit=unit,
        per=per,
        points=tuple(points),
        slope=line.slope,
        intercept=line.intercept,
        residual=max(distances) / largest,
    )


def read_slopes(folder: Path) -> dict[str, Slope]:
    """Return the slopes of all result files in a folder, by name."""
    found = {}
    for path in sorted(folder.glob('*.json')):
        stored = json.loads(path.read_text(encoding='utf-8'))
        # Files of another structure, such as single points, have no slopes.
        for raw in stored.get('slopes', ()):
            raw['points'] = tuple(tuple(point) for point in raw['points'])
            slope = Slope(**raw)
            found[slope.name] = slope
    return found
