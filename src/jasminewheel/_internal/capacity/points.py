"""Collect the points of several slopes."""

from collections.abc import Mapping
from types import MappingProxyType

from attrs import define, field, frozen

from jasminewheel._internal.capacity.slope import Slope, fit

Point = tuple[float, float]
_MEMBER = 'member'
_CALLER = 'caller'


@frozen
class Unit:
    """Represent the unit of a slope and the quantity that it is per."""

    unit: str
    per: str


UNITS: Mapping[str, Unit] = MappingProxyType(
    {
        'membership.messages': Unit('messages sent/s a member', _MEMBER),
        'membership.bytes': Unit('bytes/s a member, both ways', _MEMBER),
        'membership.processor': Unit('share of a core a member', _MEMBER),
        'membership.resident': Unit('bytes resident a member', _MEMBER),
        'membership.spread': Unit('s until all have a version', _MEMBER),
        'membership.rejoin': Unit('s until a third is known again', _MEMBER),
        'membership.storm_reads': Unit('store reads in a storm', _MEMBER),
        'membership.storm_writes': Unit('store writes in a storm', _MEMBER),
        'membership.storm_refused': Unit('refused calls in a storm', _MEMBER),
        'configuration.commit': Unit('s to commit all callers', _CALLER),
        'configuration.in_force': Unit('s until all are in force', _CALLER),
        'configuration.change': Unit('s until one is in force', _CALLER),
        'configuration.change_bytes': Unit('bytes a member, one', _CALLER),
        'configuration.resident': Unit('bytes resident a member', _CALLER),
    },
)


@define
class Points:
    """Collect points by the name of their slope."""

    points: dict[str, list[Point]] = field(factory=dict)

    def add(self, name: str, size: float, measured: float) -> None:
        """Add a point to the named slope."""
        self.points.setdefault(name, []).append((size, measured))

    def slopes(self) -> tuple[Slope, ...]:
        """Fit a line to the points of each slope."""
        return tuple(
            fit(name, UNITS[name].unit, UNITS[name].per, name_points)
            for name, name_points in self.points.items()
        )
