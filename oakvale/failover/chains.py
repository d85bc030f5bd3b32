"""Chains, worked out before anything fails: for the failure of every place, and of every two, who takes how much.

No I/O and no clock. What is delivered are the figures; each chain follows from them alone, so that everyone works
out the same, as with the tree of relays: written out for every two places they would be a thousand times as long.
Work is counted in **slots**: a request takes its route's mean time of one slot of mean speed,
and a place holds as many as its backends' slots, each at the speed that answers were measured at. `plan` is a pure
function of what is known; what it gives is one entry of the control state (`pack`, `unpack`).

Of what a place may take, a little is set aside for gateways that get no answer from the keeper of a service: each of
the roster may use its even share of it at any time. The keeper hands out the rest, but for the even shares of
gateways that it reckons to be out of its reach, and these use theirs. Whoever may go by an earlier version is reckoned
with the larger share of the two. So all of them together stay under the limit, however little they know.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import combinations
from typing import Any

from oakvale.failover.places import Hierarchy

HEADROOM = 1.0  # of what a place holds: the queue that is borne and the spare already keep answers within their aims
SPARE = 0.03  # of a limit: what a gateway may send while it is not known yet whether the keeper is out of its reach


@dataclass(slots=True, frozen=True)
class Load:
    """What the clients of a zone ask of a service, in slots kept busy."""

    home: str
    service: str
    rank: int  # 0 is the highest
    work: float


@dataclass(slots=True, frozen=True)
class Step:
    zone: str
    slots: float


@dataclass(slots=True, frozen=True)
class Chain:
    """Where one zone's load on one service goes while some zones are out."""

    failed_zones: frozenset[str]
    service: str
    home: str
    steps: tuple[Step, ...]  # the nearest first
    refused_slots: Mapping[int, float]  # rank -> slots that no place holds


@dataclass(slots=True, frozen=True)
class Chains:
    version: int = 0
    headroom: float = HEADROOM
    hierarchy: Hierarchy = field(default_factory=Hierarchy)
    limits: Mapping[str, Mapping[str, float]] = field(default_factory=dict)  # service -> zone -> slots, all together
    holder_share: Mapping[str, Mapping[str, float]] = field(default_factory=dict)  # of these, what is not set aside
    reserved_share: Mapping[str, Mapping[str, float]] = field(
        default_factory=dict
    )  # what each of the roster may always use
    autonomous_share: Mapping[str, Mapping[str, float]] = field(
        default_factory=dict
    )  # and what once out of the keeper's reach
    max_autonomous_share: Mapping[str, Mapping[str, float]] = field(
        default_factory=dict
    )  # the largest part that one may go by
    roster: frozenset[str] = frozenset()
    possible_roster: frozenset[str] = frozenset()  # the rosters of this version and of those that one may still go by
    loads: tuple[Load, ...] = ()

    def chains_for(self, out: frozenset[str], service: str) -> list[Chain]:
        """Of each zone whose clients ask for the service, while these zones are out."""
        loads = [load for load in self.loads if load.service == service]
        return _spread(self.hierarchy, out, service, self.limits.get(service, {}), loads)

    def chains_without(self, place: str, service: str) -> list[Chain]:
        """What happens to a service's load when this place fails, and nothing else does."""
        return self.chains_for(self.hierarchy.locations()[place], service)

    def uncovered_failures(self, most: int = 2) -> list[tuple[frozenset[str], str, float, float]]:
        """The failures, of at most so many places, that can't be held: zones, service, slots refused, asked for."""
        found: dict[tuple[frozenset[str], str], list[float]] = {}
        for chain in (
            c
            for out in failures(self.hierarchy, most)
            for service in self.limits
            for c in self.chains_for(out, service)
        ):
            sums = found.setdefault((chain.failed_zones, chain.service), [0.0, 0.0])
            refused = sum(chain.refused_slots.values())
            sums[0] += refused
            sums[1] += refused + sum(step.slots for step in chain.steps)
        return [(out, service, refused, asked) for (out, service), (refused, asked) in found.items() if refused > 1e-9]


def failures(hierarchy: Hierarchy, most: int = 2) -> list[frozenset[str]]:
    """The zones of every place, and of every two."""
    single = {zones for zones in hierarchy.locations().values() if zones}
    double = {one | other for one, other in combinations(single, 2)} if most > 1 else set()
    return sorted(single | double, key=lambda zones: (len(zones), sorted(zones)))


def plan_chains(
    version: int,
    hierarchy: Hierarchy,
    capacity: Mapping[tuple[str, str], float],
    loads: Iterable[Load],
    roster: Iterable[str],
    headroom: float = HEADROOM,
    before: Iterable[Chains] = (),
) -> Chains:
    """`capacity`: (zone, service) -> slots of mean speed; `before`: versions that some gateway may still go by."""
    if not 0 < headroom <= 1:
        raise ValueError("headroom does not lie between 0 and 1")
    loads, roster, before = list(loads), frozenset(roster), list(before)
    limits: dict[str, dict[str, float]] = {}
    for (zone, service), slots in sorted(capacity.items()):
        if slots > 0:
            limits.setdefault(service, {})[zone] = headroom * slots
    keeper: dict[str, dict[str, float]] = {}
    spare: dict[str, dict[str, float]] = {}
    part: dict[str, dict[str, float]] = {}
    owed: dict[str, dict[str, float]] = {}
    for service, zones in limits.items():
        for zone, limit in zones.items():
            little = SPARE * limit / max(1, len(roster))
            used = dict.fromkeys(roster, little)
            for earlier in before:
                theirs = earlier.reserved_share.get(service, {}).get(zone, 0.0)
                for gateway in earlier.roster:
                    used[gateway] = max(used.get(gateway, 0.0), theirs)
            rest = max(0.0, limit - sum(used.values()))
            own = rest / max(1, len(roster))
            spare.setdefault(service, {})[zone] = little
            keeper.setdefault(service, {})[zone] = rest
            part.setdefault(service, {})[zone] = own
            owed.setdefault(service, {})[zone] = max(
                [own, *(earlier.autonomous_share.get(service, {}).get(zone, 0.0) for earlier in before)]
            )
    may = roster.union(*(earlier.roster for earlier in before))
    return Chains(version, headroom, hierarchy, limits, keeper, spare, part, owed, roster, may, tuple(loads))


def _spread(
    hierarchy: Hierarchy, out: frozenset[str], service: str, limits: Mapping[str, float], loads: list[Load]
) -> list[Chain]:
    """The highest rank first; within it, who is at home goes before who comes from elsewhere, or a failed place
    would push out its neighbours' clients to places still farther away."""
    room = {zone: limit for zone, limit in limits.items() if zone not in out}
    asked = [load for load in loads if load.service == service and load.work > 0]
    taken: dict[str, dict[str, float]] = {load.home: {} for load in asked}
    refused: dict[str, dict[int, float]] = {load.home: {} for load in asked}
    for rank in sorted({load.rank for load in asked}):
        left: list[tuple[str, float]] = []
        for load in sorted((x for x in asked if x.rank == rank), key=lambda x: x.home):
            own = min(load.work, room.get(load.home, 0.0))
            if own:
                room[load.home] -= own
                taken[load.home][load.home] = taken[load.home].get(load.home, 0.0) + own
            left.append((load.home, load.work - own))
        for home, work in left:
            for tier in hierarchy.tiers(home, room):
                free = sum(room[zone] for zone in tier)
                moved = min(work, free)
                for zone in tier if moved > 0 else []:
                    share = moved * room[zone] / free
                    taken[home][zone] = taken[home].get(zone, 0.0) + share
                for zone in tier if moved > 0 else []:
                    room[zone] -= moved * room[zone] / free
                work -= moved
            if work > 1e-9:
                refused[home][rank] = refused[home].get(rank, 0.0) + work
    order = {home: [zone for tier in hierarchy.tiers(home, taken[home]) for zone in tier] for home in taken}
    return [
        Chain(out, service, home, tuple(Step(zone, taken[home][zone]) for zone in order[home]), refused[home])
        for home in sorted(taken)
    ]


def differ_significantly(
    one: Mapping[tuple[str, str], float], other: Mapping[tuple[str, str], float], by: float, least: float
) -> bool:
    """Whether two figures of one key differ by more than a part of the greater, and by more than the least."""
    both = [(one.get(key, 0.0), other.get(key, 0.0)) for key in one.keys() | other.keys()]
    return any(abs(a - b) > max(by * max(a, b), least) for a, b in both)


def pack(chains: Chains) -> dict[str, Any]:
    def down(table: Mapping[str, Mapping[str, float]], up: int = 0) -> dict[str, dict[str, float]]:
        """What may be used is never rounded upwards, nor what is reckoned with downwards."""
        return {
            name: {zone: (int(value * 10_000) + up) / 10_000 for zone, value in row.items()}
            for name, row in table.items()
        }

    return {
        "version": chains.version,
        "headroom": chains.headroom,
        "paths": {zone: list(path) for zone, path in chains.hierarchy.paths.items()},
        "limits": down(chains.limits),
        "keeper": down(chains.holder_share),
        "spare": down(chains.reserved_share),
        "part": down(chains.autonomous_share),
        "owed": down(chains.max_autonomous_share, 1),
        "roster": sorted(chains.roster),
        "more": sorted(chains.possible_roster - chains.roster),
        "loads": [[load.home, load.service, load.rank, round(load.work, 3)] for load in chains.loads],
    }


def unpack(data: Any) -> Chains:
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
