"""Say how long a message to another availability zone and back takes."""

from collections.abc import Mapping
from typing import Protocol

from attrs import frozen

SAME_ZONE_SECONDS = 0.0004
SAME_REGION_SECONDS = 0.002
OTHER_REGION_SECONDS = 0.04


class Distance(Protocol):
    """Say how far an availability zone is."""

    def __call__(self, zone: str) -> float:
        """Return the seconds there and back."""


@frozen
class ZoneDistance:
    """Know the regions of availability zones, seen from one of them."""

    zone: str
    regions: Mapping[str, str]

    def __call__(self, zone: str) -> float:
        """Return the seconds there and back."""
        if zone == self.zone:
            return SAME_ZONE_SECONDS
        region = self.regions.get(zone)
        if region and region == self.regions.get(self.zone):
            return SAME_REGION_SECONDS
        return OTHER_REGION_SECONDS
