"""The platform between clients and gateways: it passes each new connection to a gateway in the client's zone, by a
hash of the client, as far as gateways call themselves ready. Decisions alone."""

from __future__ import annotations

import hashlib
from collections.abc import Collection
from dataclasses import dataclass

from oakvale.base.address import Address

MISSES = 2
LOOK = 1_000_000  # between two looks at a gateway, microseconds


@dataclass(frozen=True, slots=True)
class Edge:
    machine: str
    zone: str
    http: Address
    readyz: Address


class Platform:
    def __init__(self, edges: list[Edge], zones: list[str]) -> None:
        """`zones`: in such an order that neighbours are near."""
        self._zones = zones
        self.edges = edges
        self._missed = {edge.machine: 0 for edge in edges}

    def looked(self, machine: str, ready: bool) -> None:
        self._missed[machine] = 0 if ready else self._missed[machine] + 1

    def inside(self, machine: str) -> bool:
        return self._missed[machine] < MISSES

    def _of(self, zone: str) -> list[Edge]:
        """Fewer than half of a zone's in: all are used; none in: nobody."""
        all_of = [edge for edge in self.edges if edge.zone == zone]
        ready = [edge for edge in all_of if self.inside(edge.machine)]
        return ready if 2 * len(ready) >= len(all_of) or not ready else all_of

    def reach(self, zone: str) -> list[Edge]:
        at = self._zones.index(zone)
        for near in sorted(self._zones, key=lambda z: abs(self._zones.index(z) - at)):
            if found := self._of(near):
                return found
        return [edge for edge in self.edges if edge.zone == zone] or self.edges

    def lead(self, zone: str, client: str, number: int, met: Collection[str] = ()) -> Edge:
        """The gateway for a client's connection; further tries (`met`: where those before went) reach others."""
        found = self.reach(zone)
        fresh = [edge for edge in found if edge.machine not in met] or found
        seed = hashlib.blake2b(f"{client}.{number if met else 0}".encode(), digest_size=8).digest()
        return fresh[int.from_bytes(seed) % len(fresh)]
