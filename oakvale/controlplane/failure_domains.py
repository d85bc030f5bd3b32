"""Failure domains: zones and regions that may fail as a whole, and how evenly replicas are spread over them.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class FailureDomains:
    """Which kinds of location may fail as a whole, and the region of each zone."""

    regions: Mapping[str, str] = field(default_factory=dict)  # zone -> region
    by_zone: bool = False  # a zone may fail as a whole
    by_region: bool = False  # a region may fail as a whole

    def colocation_cost(self, zones: Iterable[str | None]) -> tuple[int, int]:
        """Sums of squares of the numbers of replicas that share a region, and a zone; a lower cost is a more even
        spread. A kind of location that need not be tolerated costs 0, so that no replica is moved for it."""
        zones = list(zones)
        regions = Counter(self.regions.get(zone, zone) if zone else zone for zone in zones)
        return (
            sum(count * count for count in regions.values()) if self.by_region else 0,
            sum(count * count for count in Counter(zones).values()) if self.by_zone else 0,
        )
