"""Places: zones, the regions that hold them, and above these what the operator names.

No I/O and no clock. Each zone has a path of names upwards; how far two zones lie apart is the number of steps up
to the first name that both paths have. What has no name in common lies farthest.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from oakvale.dissemination.tree import ring_position


@dataclass(slots=True, frozen=True)
class Hierarchy:
    paths: Mapping[str, tuple[str, ...]] = field(default_factory=dict)  # zone -> its region, and what is above

    def distance(self, one: str, other: str) -> int:
        """0 for the same zone."""
        if one == other:
            return 0
        theirs = set(self.paths.get(other, ()))
        mine = self.paths.get(one, ())
        return next((steps + 1 for steps, name in enumerate(mine) if name in theirs), len(mine) + 1)

    def tiers(self, home: str, among: Iterable[str]) -> list[list[str]]:
        """The nearest first; those that lie equally far stand together, in an order of the home's own."""
        found: dict[int, list[str]] = {}
        for zone in among:
            found.setdefault(self.distance(home, zone), []).append(zone)
        return [sorted(found[steps], key=lambda zone: ring_position(f"{home} {zone}")) for steps in sorted(found)]

    def locations(self) -> dict[str, frozenset[str]]:
        """Every place and the zones in it. A name above a zone that is a zone's too stands for the zone."""
        inside: dict[str, set[str]] = {}
        for zone, path in self.paths.items():
            for name in path:
                inside.setdefault(name, set()).add(zone)
        return {name: frozenset(zones) for name, zones in inside.items()} | {
            zone: frozenset({zone}) for zone in self.paths
        }


def build_hierarchy(zones: Mapping[str, str], above: Mapping[str, str]) -> Hierarchy:
    """From zone -> region, and name -> the name above it. Raises ValueError on a circle."""
    paths: dict[str, tuple[str, ...]] = {}
    for zone, region in zones.items():
        path = [region] if region else []
        while path and path[-1] in above:
            if above[path[-1]] in path:
                raise ValueError(f"{above[path[-1]]} is above itself")
            path.append(above[path[-1]])
        paths[zone] = tuple(path)
    return Hierarchy(paths)
