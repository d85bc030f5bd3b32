"""Where a gateway's news come from: the tree that all gateways work out alike from the list of gateways.

No I/O and no clock. In each zone the gateways stand in the order of the ring; the first takes the news from the
primary, the others from those before them, so many a relay. Who has no fresh news goes up: to its parent's
parent, at last to the core itself. A relay that failed lately is asked last.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

FAN_OUT = 4


@dataclass(slots=True, frozen=True)
class Member:
    node: str
    address: str
    zone: str
    life: str


@lru_cache(4096)
def place(name: str) -> int:
    """On the ring."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def ring(members: Iterable[Member]) -> list[Member]:
    return sorted(members, key=lambda member: (place(member.node), member.node))


def watchers(members: Iterable[Member], node: str, count: int) -> list[Member]:
    """The few that a gateway sends its heartbeats to: those next on the ring."""
    order = ring(members)
    at = next((n for n, member in enumerate(order) if member.node == node), None)
    if at is None:
        return []
    turned = order[at + 1:] + order[:at]
    return turned[:count]


def watched(members: Iterable[Member], node: str, count: int) -> list[Member]:
    """Those whose heartbeats a gateway gets: the few before it on the ring."""
    order = ring(members)
    at = next((n for n, member in enumerate(order) if member.node == node), None)
    if at is None:
        return []
    turned = order[at + 1:] + order[:at]
    return turned[max(0, len(turned) - count):]


def next_on_ring(members: Iterable[Member], duty: str, count: int) -> list[Member]:
    """The few that stand for a duty: those next on the ring from its own place."""
    order = ring(members)
    start = place(duty)
    at = next((n for n, member in enumerate(order) if place(member.node) >= start), 0)
    return (order[at:] + order[:at])[:count]


def sources(members: Mapping[str, Member], node: str, zone: str, core: list[str],
            failed: Mapping[str, int]) -> list[str]:
    """Addresses to take news from, the best first. `core` begins with the primary."""
    order = [member for member in ring(members.values()) if member.zone == zone]
    at = next((n for n, member in enumerate(order) if member.node == node), None)
    above = []
    while at:
        at = (at - 1) // FAN_OUT
        above.append(order[at].address)
    path = [*above, *core]
    return sorted(path, key=lambda address: failed.get(address, 0))
