"""Locations: zones, the regions that contain them, and larger areas that the operator names.

No I/O and no clock. Each zone has a path of names from its region upwards. The distance of two zones is the number of
steps to the first name that is on both paths; zones without a common name are farthest apart.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from oakvale.dissemination.tree import ring_position


@dataclass(slots=True, frozen=True)
class Hierarchy:
    """All zones with the locations that contain them."""

    paths: Mapping[str, tuple[str, ...]] = field(default_factory=dict)  # zone -> its region and the areas above

    def distance(self, one: str, other: str) -> int:
        """0 for the same zone."""
        if one == other:
            return 0
        other_path = set(self.paths.get(other, ()))
        one_path = self.paths.get(one, ())
        return next((steps + 1 for steps, name in enumerate(one_path) if name in other_path), len(one_path) + 1)

    def tiers(self, home: str, zones: Iterable[str]) -> list[list[str]]:
        """The zones grouped by distance from `home`, nearest first; the order within a group depends on `home`."""
        by_distance: dict[int, list[str]] = {}
        for zone in zones:
            by_distance.setdefault(self.distance(home, zone), []).append(zone)
        return [
            sorted(by_distance[steps], key=lambda zone: ring_position(f"{home} {zone}"))
            for steps in sorted(by_distance)
        ]

    def locations(self) -> dict[str, frozenset[str]]:
        """Every location with its zones. A name that is used for both a zone and an area stands for the zone."""
        zones_of: dict[str, set[str]] = {}
        for zone, path in self.paths.items():
            for name in path:
                zones_of.setdefault(name, set()).add(zone)
        return {name: frozenset(zones) for name, zones in zones_of.items()} | {
            zone: frozenset({zone}) for zone in self.paths
        }


def build_hierarchy(zones: Mapping[str, str], above: Mapping[str, str]) -> Hierarchy:
    """Builds the hierarchy from zone -> region and name -> containing area. Raises ValueError on a cycle."""
    paths: dict[str, tuple[str, ...]] = {}
    for zone, region in zones.items():
        path = [region] if region else []
        while path and path[-1] in above:
            if above[path[-1]] in path:
                raise ValueError(f"{above[path[-1]]} is above itself")
            path.append(above[path[-1]])
        paths[zone] = tuple(path)
    return Hierarchy(paths)
