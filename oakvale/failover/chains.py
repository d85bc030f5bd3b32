"""Failover chains, computed before anything fails: for each location and each pair of locations, which other zones take
how much load when they fail.

No I/O and no clock. Only the figures are distributed; every process derives the same chains from them, as the chains of
all pairs would be about a thousand times as long. Load is counted in **slots** kept busy: a request takes one slot of
mean speed for the mean time of its route, and a zone holds the slots of its backends, weighted by their measured speed.
`plan_chains` is a pure function; its result is one entry of the replicated state (`pack`, `unpack`).

A small part of each zone's limit is reserved for gateways that get no response from the board holder of a service: each
gateway of the roster may use its even share of the reserve at any time. The holder hands out the rest, minus the
autonomous shares of the gateways that it cannot reach, which use these themselves. A gateway that may still use an
earlier version is counted with the larger of its two shares. So all of them together stay below the limit, whatever
each of them knows.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import combinations
from typing import Any

from oakvale.failover.places import Hierarchy

HEADROOM = 1.0  # share of the capacity of a zone; the bounded queue and the reserve keep answers within aims
RESERVED_SHARE = 0.03  # of a limit; for gateways that do not know yet whether they can reach the holder


@dataclass(slots=True, frozen=True)
class Load:
    """The load of the clients of a zone on a service, in slots kept busy."""

    home: str
    service: str
    rank: int  # 0 is the highest
    work: float


@dataclass(slots=True, frozen=True)
class Step:
    """The slots that a zone takes of the load of another."""

    zone: str
    slots: float


@dataclass(slots=True, frozen=True)
class Chain:
    """Where the load of one zone on one service goes while some zones have failed."""

    failed_zones: frozenset[str]
    service: str
    home: str
    steps: tuple[Step, ...]  # nearest first
    refused_slots: Mapping[int, float]  # rank -> slots for which no zone has capacity


@dataclass(slots=True, frozen=True)
class Chains:
    """A version of the failover plan. The shares are tables service -> zone -> slots."""

    version: int = 0
    headroom: float = HEADROOM
    hierarchy: Hierarchy = field(default_factory=Hierarchy)
    limits: Mapping[str, Mapping[str, float]] = field(default_factory=dict)  # of all gateways together
    # what the board holder hands out
    holder_share: Mapping[str, Mapping[str, float]] = field(default_factory=dict)
    # what each gateway of the roster may always use
    reserved_share: Mapping[str, Mapping[str, float]] = field(default_factory=dict)
    # what each gateway may use besides while it cannot reach the holder
    autonomous_share: Mapping[str, Mapping[str, float]] = field(default_factory=dict)
    # the largest autonomous share over the versions that may be in use
    max_autonomous_share: Mapping[str, Mapping[str, float]] = field(default_factory=dict)
    roster: frozenset[str] = frozenset()
    possible_roster: frozenset[str] = frozenset()  # of all versions that may be in use
    loads: tuple[Load, ...] = ()

    def chains_for(self, failed_zones: frozenset[str], service: str) -> list[Chain]:
        """The chains of all zones whose clients use the service, while some zones have failed."""
        loads = [load for load in self.loads if load.service == service]
        return _spread(self.hierarchy, failed_zones, service, self.limits.get(service, {}), loads)

    def chains_without(self, location: str, service: str) -> list[Chain]:
        """The chains of a service when this location alone fails."""
        return self.chains_for(self.hierarchy.locations()[location], service)

    def uncovered_failures(self, max_locations: int = 2) -> list[tuple[frozenset[str], str, float, float]]:
        """The failures of at most `max_locations` locations without enough capacity: zones, service, slots refused, and
        slots of load."""
        totals: dict[tuple[frozenset[str], str], list[float]] = {}
        for chain in (
            candidate
            for failed_zones in failures(self.hierarchy, max_locations)
            for service in self.limits
            for candidate in self.chains_for(failed_zones, service)
        ):
            sums = totals.setdefault((chain.failed_zones, chain.service), [0.0, 0.0])
            refused = sum(chain.refused_slots.values())
            sums[0] += refused
            sums[1] += refused + sum(step.slots for step in chain.steps)
        return [
            (failed_zones, service, refused, demanded)
            for (failed_zones, service), (refused, demanded) in totals.items()
            if refused > 1e-9
        ]


def failures(hierarchy: Hierarchy, max_locations: int = 2) -> list[frozenset[str]]:
    """The zones of each location and, with `max_locations` above 1, of each pair."""
    of_one = {zones for zones in hierarchy.locations().values() if zones}
    of_two = {one | other for one, other in combinations(of_one, 2)} if max_locations > 1 else set()
    return sorted(of_one | of_two, key=lambda zones: (len(zones), sorted(zones)))


def plan_chains(
    version: int,
    hierarchy: Hierarchy,
    capacity: Mapping[tuple[str, str], float],
    loads: Iterable[Load],
    roster: Iterable[str],
    headroom: float = HEADROOM,
    before: Iterable[Chains] = (),
) -> Chains:
    """Computes a new version. `capacity`: (zone, service) -> slots of mean speed; `before`: earlier versions that a
    gateway may still use."""
    if not 0 < headroom <= 1:
        raise ValueError("headroom must be greater than 0 and at most 1")
    loads, roster, before = list(loads), frozenset(roster), list(before)
    limits: dict[str, dict[str, float]] = {}
    for (zone, service), slots in sorted(capacity.items()):
        if slots > 0:
            limits.setdefault(service, {})[zone] = headroom * slots
    holder_share: dict[str, dict[str, float]] = {}
    reserved_share: dict[str, dict[str, float]] = {}
    autonomous_share: dict[str, dict[str, float]] = {}
    max_autonomous_share: dict[str, dict[str, float]] = {}
    for service, zones in limits.items():
        for zone, limit in zones.items():
            reserved = RESERVED_SHARE * limit / max(1, len(roster))
            reserved_by_gateway = dict.fromkeys(roster, reserved)
            for earlier in before:
                earlier_reserved = earlier.reserved_share.get(service, {}).get(zone, 0.0)
                for gateway in earlier.roster:
                    reserved_by_gateway[gateway] = max(reserved_by_gateway.get(gateway, 0.0), earlier_reserved)
            unreserved = max(0.0, limit - sum(reserved_by_gateway.values()))
            autonomous = unreserved / max(1, len(roster))
            reserved_share.setdefault(service, {})[zone] = reserved
            holder_share.setdefault(service, {})[zone] = unreserved
            autonomous_share.setdefault(service, {})[zone] = autonomous
            max_autonomous_share.setdefault(service, {})[zone] = max(
                [autonomous, *(earlier.autonomous_share.get(service, {}).get(zone, 0.0) for earlier in before)]
            )
    possible_roster = roster.union(*(earlier.roster for earlier in before))
    return Chains(
        version,
        headroom,
        hierarchy,
        limits,
        holder_share,
        reserved_share,
        autonomous_share,
        max_autonomous_share,
        roster,
        possible_roster,
        tuple(loads),
    )


def _spread(
    hierarchy: Hierarchy, failed_zones: frozenset[str], service: str, limits: Mapping[str, float], loads: list[Load]
) -> list[Chain]:
    """Distributes the load of a service. Higher ranks come first; within a rank, each zone serves its own clients
    before those of failed zones, which would otherwise displace them to zones farther away."""
    free_slots = {zone: limit for zone, limit in limits.items() if zone not in failed_zones}
    demands = [load for load in loads if load.service == service and load.work > 0]
    assigned: dict[str, dict[str, float]] = {load.home: {} for load in demands}
    refused: dict[str, dict[int, float]] = {load.home: {} for load in demands}
    for rank in sorted({load.rank for load in demands}):
        unserved: list[tuple[str, float]] = []
        for load in sorted((x for x in demands if x.rank == rank), key=lambda x: x.home):
            local = min(load.work, free_slots.get(load.home, 0.0))
            if local:
                free_slots[load.home] -= local
                assigned[load.home][load.home] = assigned[load.home].get(load.home, 0.0) + local
            unserved.append((load.home, load.work - local))
        for home, work in unserved:
            for tier in hierarchy.tiers(home, free_slots):
                tier_slots = sum(free_slots[zone] for zone in tier)
                placed = min(work, tier_slots)
                for zone in tier if placed > 0 else []:
                    share = placed * free_slots[zone] / tier_slots
                    assigned[home][zone] = assigned[home].get(zone, 0.0) + share
                for zone in tier if placed > 0 else []:
                    free_slots[zone] -= placed * free_slots[zone] / tier_slots
                work -= placed
            if work > 1e-9:
                refused[home][rank] = refused[home].get(rank, 0.0) + work
    zone_order = {home: [zone for tier in hierarchy.tiers(home, assigned[home]) for zone in tier] for home in assigned}
    return [
        Chain(
            failed_zones,
            service,
            home,
            tuple(Step(zone, assigned[home][zone]) for zone in zone_order[home]),
            refused[home],
        )
        for home in sorted(assigned)
    ]


def differ_significantly(
    one: Mapping[tuple[str, str], float], other: Mapping[tuple[str, str], float], by: float, least: float
) -> bool:
    """Whether the values of any key differ by more than both `least` and the share `by` of the greater value."""
    both = [(one.get(key, 0.0), other.get(key, 0.0)) for key in one.keys() | other.keys()]
    return any(abs(a - b) > max(by * max(a, b), least) for a, b in both)


def pack(chains: Chains) -> dict[str, Any]:
    """The entry of the replicated state."""

    def rounded(table: Mapping[str, Mapping[str, float]], up: int = 0) -> dict[str, dict[str, float]]:
        """Rounds down what may be used, and with `up` = 1 rounds up what others must be assumed to use."""
        return {
            name: {zone: (int(value * 10_000) + up) / 10_000 for zone, value in row.items()}
            for name, row in table.items()
        }

    return {
        "version": chains.version,
        "headroom": chains.headroom,
        "paths": {zone: list(path) for zone, path in chains.hierarchy.paths.items()},
        "limits": rounded(chains.limits),
        "keeper": rounded(chains.holder_share),
        "spare": rounded(chains.reserved_share),
        "part": rounded(chains.autonomous_share),
        "owed": rounded(chains.max_autonomous_share, 1),
        "roster": sorted(chains.roster),
        "more": sorted(chains.possible_roster - chains.roster),
        "loads": [[load.home, load.service, load.rank, round(load.work, 3)] for load in chains.loads],
    }


def unpack(data: Any) -> Chains:
    """The inverse of `pack`."""

    def table(name: str) -> dict[str, dict[str, float]]:
        return {str(key): {str(zone): float(value) for zone, value in row.items()} for key, row in data[name].items()}

    return Chains(
        int(data["version"]),
        float(data["headroom"]),
        Hierarchy({str(zone): tuple(map(str, path)) for zone, path in data["paths"].items()}),
        table("limits"),
        table("keeper"),
        table("spare"),
        table("part"),
        table("owed"),
        frozenset(map(str, data["roster"])),
        frozenset(map(str, [*data["roster"], *data["more"]])),
        tuple(Load(str(home), str(service), int(rank), float(work)) for home, service, rank, work in data["loads"]),
    )
