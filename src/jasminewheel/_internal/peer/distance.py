"""Estimate round-trip times between availability zones."""

from collections.abc import Mapping
from typing import Protocol

from attrs import frozen

SAME_ZONE_SECONDS = 0.0004
SAME_REGION_SECONDS = 0.002
OTHER_REGION_SECONDS = 0.04


class Distance(Protocol):
    """Estimate the round-trip time to an availability zone."""

    def __call__(self, zone: str) -> float:
        """Return the round-trip time in seconds."""


@frozen
class ZoneDistance:
    """Estimate round-trip times from one zone by the regions of the zones."""

    zone: str
    regions: Mapping[str, str]

    def __call__(self, zone: str) -> float:
        """Return the round-trip time in seconds."""
        if zone == self.zone:
            return SAME_ZONE_SECONDS
        region = self.regions.get(zone)
        if region and region == self.regions.get(self.zone):
            return SAME_REGION_SECONDS
        return OTHER_REGION_SECONDS
