"""Failure domains: zones and regions that may be lost at once, and how unevenly seats stand in them.

No I/O and no clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class FailureDomains:
    regions: Mapping[str, str] = field(default_factory=dict)  # of each zone
    by_zone: bool = False  # a zone may be lost at once
    by_region: bool = False

    def colocation_cost(self, zones: Iterable[str | None]) -> tuple[int, int]:
        """Sums of the squares of how many share a region, and a zone; less is more even. 0 for what need not be borne:
        seats are moved only where it matters."""
        zones = list(zones)
        regions = Counter(self.regions.get(zone, zone) if zone else zone for zone in zones)
        return (
            sum(n * n for n in regions.values()) if self.by_region else 0,
            sum(n * n for n in Counter(zones).values()) if self.by_zone else 0,
        )
