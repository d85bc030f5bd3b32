"""The dissemination tree: which source a gateway gets its updates from. All gateways derive it from the gateway list.

No I/O and no clock. In each zone the gateways are ordered along a hash ring. The first one gets its updates from the
primary, each other one from a gateway before it, with `FAN_OUT` subscribers per relay. A gateway without fresh updates
moves up to its parent's parent and finally to the core machines. A relay that failed recently is tried last.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

FAN_OUT = 4  # subscribers per relay


@dataclass(slots=True, frozen=True)
class Member:
    """A gateway in the gateway list."""

    node: str
    address: str
    zone: str
    incarnation: str


@lru_cache(4096)
def ring_position(name: str) -> int:
    """The position of a name on the hash ring."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


class Members(dict[str, Member]):
    """An immutable list of gateways by node, with their order on the ring.

    `with_changes` derives a new list by placing only the differences: when a thousand gateways start, each of them
    receives a thousand changes.
    """

    def __init__(self, members: Iterable[Member] = ()) -> None:
        super().__init__((member.node, member) for member in members)
        self.order = sorted((ring_position(node), node) for node in self)
        self.previous: Members | None = None  # the list that this one was derived from, by `changes`
        self.changes: dict[str, Member | None] = {}

    def with_changes(self, changes: dict[str, Member | None]) -> Members:
        """A new list with members added or replaced; the value None removes a node."""
        updated = Members.__new__(Members)
        updated.update(self)
        updated.order, updated.previous, updated.changes = self.order.copy(), self, changes
        self.previous = None  # only one step of history is kept
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
        """The index of a node in ring order; None if it is not listed."""
        return bisect_left(self.order, (ring_position(node), node)) if node in self else None

    def members_from(self, start: int, count: int) -> list[Member]:
        """`count` successive members in ring order, wrapping around at the end."""
        return [self[self.order[(start + n) % len(self.order)][1]] for n in range(count)]


def as_members(members: Iterable[Member] | Members) -> Members:
    """The members as a `Members` list, built if necessary."""
    return members if isinstance(members, Members) else Members(members)


def ring_order(members: Iterable[Member] | Members) -> list[Member]:
    """All members in the order of the ring."""
    known = as_members(members)
    return known.members_from(0, len(known))


def heartbeat_targets(members: Iterable[Member] | Members, node: str, count: int) -> list[Member]:
    """The gateways that a gateway sends its heartbeats to: its successors on the ring."""
    known = as_members(members)
    position = known.position(node)
    return [] if position is None else known.members_from(position + 1, min(count, len(known) - 1))


def heartbeat_senders(members: Iterable[Member] | Members, node: str, count: int) -> list[Member]:
    """The gateways whose heartbeats a gateway receives: its predecessors on the ring."""
    known = as_members(members)
    position, watched_count = known.position(node), min(count, len(known) - 1)
    return [] if position is None else known.members_from(position - watched_count, watched_count)


def next_on_ring(members: Iterable[Member] | Members, duty: str, count: int) -> list[Member]:
    """The gateways that are candidates for a duty: the next ones on the ring after the position of its name."""
    known = as_members(members)
    return known.members_from(bisect_left(known.order, (ring_position(duty), "")), min(count, len(known)))


def update_sources(
    members: Mapping[str, Member], node: str, zone: str, core: list[str], failed: Mapping[str, int]
) -> list[str]:
    """Addresses to get updates from, best first. `core` starts with the primary."""
    known = members if isinstance(members, Members) else Members(members.values())
    order = [member for member in ring_order(known) if member.zone == zone]
    position = next((n for n, member in enumerate(order) if member.node == node), None)
    ancestors = []
    while position:
        position = (position - 1) // FAN_OUT
        ancestors.append(order[position].address)
    candidates = [*ancestors, *core]
    return sorted(candidates, key=lambda address: failed.get(address, 0))
