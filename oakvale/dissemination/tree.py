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
    incarnation: str


@lru_cache(4096)
def ring_position(name: str) -> int:
    """On the ring."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


class Members(dict[str, Member]):
    """A list of gateways by node, never changed once made, that knows their order on the ring. A list that follows
    another places only what differs: with a thousand gateways, each hears a thousand changes as they start."""

    def __init__(self, members: Iterable[Member] = ()) -> None:
        super().__init__((member.node, member) for member in members)
        self.order = sorted((ring_position(node), node) for node in self)
        self.previous: Members | None = None  # the list that this one followed, and how they differ
        self.changes: dict[str, Member | None] = {}

    def with_changes(self, changes: dict[str, Member | None]) -> Members:
        """`None` takes a node away."""
        updated = Members.__new__(Members)
        updated.update(self)
        updated.order, updated.previous, updated.changes = self.order.copy(), self, changes
        self.previous = None  # one step is remembered
        for node, member in changes.items():
            key = (ring_position(node), node)
            if member is not None:
                if node not in updated:
                    insort(updated.order, key)
                updated[node] = member
            elif updated.pop(node, None) is not None:
                del updated.order[bisect_left(updated.order, key)]
        return updated

    def position(self, node: str) -> int | None:
        return bisect_left(self.order, (ring_position(node), node)) if node in self else None

    def members_from(self, start: int, count: int) -> list[Member]:
        """So many in a row, round the ring."""
        return [self[self.order[(start + n) % len(self.order)][1]] for n in range(count)]


def as_members(members: Iterable[Member] | Members) -> Members:
    return members if isinstance(members, Members) else Members(members)


def ring_order(members: Iterable[Member] | Members) -> list[Member]:
    known = as_members(members)
    return known.members_from(0, len(known))


def heartbeat_targets(members: Iterable[Member] | Members, node: str, count: int) -> list[Member]:
    """The few that a gateway sends its heartbeats to: those next on the ring."""
    known = as_members(members)
    position = known.position(node)
    return [] if position is None else known.members_from(position + 1, min(count, len(known) - 1))


def heartbeat_senders(members: Iterable[Member] | Members, node: str, count: int) -> list[Member]:
    """Those whose heartbeats a gateway gets: the few before it on the ring."""
    known = as_members(members)
    position, watched_count = known.position(node), min(count, len(known) - 1)
    return [] if position is None else known.members_from(position - watched_count, watched_count)


def next_on_ring(members: Iterable[Member] | Members, duty: str, count: int) -> list[Member]:
    """The few that stand for a duty: those next on the ring from its own place."""
    known = as_members(members)
    return known.members_from(bisect_left(known.order, (ring_position(duty), "")), min(count, len(known)))


def update_sources(
    members: Mapping[str, Member], node: str, zone: str, core: list[str], failed: Mapping[str, int]
) -> list[str]:
    """Addresses to take news from, the best first. `core` begins with the primary."""
    known = members if isinstance(members, Members) else Members(members.values())
    order = [member for member in ring_order(known) if member.zone == zone]
    position = next((n for n, member in enumerate(order) if member.node == node), None)
    ancestors = []
    while position:
        position = (position - 1) // FAN_OUT
        ancestors.append(order[position].address)
    candidates = [*ancestors, *core]
    return sorted(candidates, key=lambda address: failed.get(address, 0))
