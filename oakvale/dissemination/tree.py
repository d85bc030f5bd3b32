"""Where a gateway's news come from: the tree that all gateways work out alike from the list of gateways.

No I/O and no clock. In each zone the gateways stand in the order of the ring; the first takes the news from the
primary, the others from those before them, so many a relay. Who has no fresh news goes up: to its parent's
parent, at last to the core itself. A relay that failed lately is asked last.
"""

from __future__ import annotations

from bisect import bisect_left, insort
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


class Members(dict[str, Member]):
    """A list of gateways by node, never changed once made, that knows their order on the ring. A list that follows
    another places only what differs: with a thousand gateways, each hears a thousand changes as they start."""

    def __init__(self, members: Iterable[Member] = ()) -> None:
        super().__init__((member.node, member) for member in members)
        self.order = sorted((place(node), node) for node in self)
        self.before: Members | None = None  # the list that this one followed, and how they differ
        self.changes: dict[str, Member | None] = {}

    def changed(self, changes: dict[str, Member | None]) -> Members:
        """`None` takes a node away."""
        fresh = Members.__new__(Members)
        fresh.update(self)
        fresh.order, fresh.before, fresh.changes = self.order.copy(), self, changes
        self.before = None  # one step is remembered
        for node, member in changes.items():
            key = (place(node), node)
            if member is not None:
                if node not in fresh:
                    insort(fresh.order, key)
                fresh[node] = member
            elif fresh.pop(node, None) is not None:
                del fresh.order[bisect_left(fresh.order, key)]
        return fresh

    def at(self, node: str) -> int | None:
        return bisect_left(self.order, (place(node), node)) if node in self else None

    def turned(self, begin: int, count: int) -> list[Member]:
        """So many in a row, round the ring."""
        return [self[self.order[(begin + n) % len(self.order)][1]] for n in range(count)]


def placed(members: Iterable[Member] | Members) -> Members:
    return members if isinstance(members, Members) else Members(members)


def ring(members: Iterable[Member] | Members) -> list[Member]:
    known = placed(members)
    return known.turned(0, len(known))


def watchers(members: Iterable[Member] | Members, node: str, count: int) -> list[Member]:
    """The few that a gateway sends its heartbeats to: those next on the ring."""
    known = placed(members)
    at = known.at(node)
    return [] if at is None else known.turned(at + 1, min(count, len(known) - 1))


def watched(members: Iterable[Member] | Members, node: str, count: int) -> list[Member]:
    """Those whose heartbeats a gateway gets: the few before it on the ring."""
    known = placed(members)
    at, few = known.at(node), min(count, len(known) - 1)
    return [] if at is None else known.turned(at - few, few)


def next_on_ring(members: Iterable[Member] | Members, duty: str, count: int) -> list[Member]:
    """The few that stand for a duty: those next on the ring from its own place."""
    known = placed(members)
    return known.turned(bisect_left(known.order, (place(duty), "")), min(count, len(known)))


def sources(
    members: Mapping[str, Member], node: str, zone: str, core: list[str], failed: Mapping[str, int]
) -> list[str]:
    """Addresses to take news from, the best first. `core` begins with the primary."""
    known = members if isinstance(members, Members) else Members(members.values())
    order = [member for member in ring(known) if member.zone == zone]
    at = next((n for n, member in enumerate(order) if member.node == node), None)
    above = []
    while at:
        at = (at - 1) // FAN_OUT
        above.append(order[at].address)
    path = [*above, *core]
    return sorted(path, key=lambda address: failed.get(address, 0))
