"""Plans of drains: which nodes an order names, what stands in its way, when each tenant moves.

No I/O and no clock. Times are the agreed ones, microseconds since 1970.

A unit is what moves at one time: at a backend one tenant, at a gateway all of them, since the platform hands a gateway
its clients by a hash that knows no tenants. A gateway is therefore left only while the hours of all are open.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from oakvale.drains.hours import ALWAYS, DAY_US, FOREVER, SECOND_US, Calendar, Contract, Window, first_common_window

HOURS_MARGIN_US = 10 * SECOND_US  # hours open so much later and close so much earlier: clocks step by seconds
GATEWAY_LEAD_US = 20 * SECOND_US  # the platform looks twice, then an idle connection lasts for 15 s
PUBLIC_TENANT = ""  # the tenant of requests without a key
DEFAULT_CONTRACT = "*"  # the contract of those that have none of their own
ACTIVE_ORDER_STATES = ("open", "empty", "ended")  # an order in one of these may still have its tenants off the node

Record = dict[str, Any]


@dataclass(slots=True)
class DrainState:
    """What is known when a step is decided: the tables in force."""

    now: int
    orders: Mapping[str, Record]
    moves: Mapping[str, Record]  # by key behind `move/`
    backends: Mapping[str, Record]
    gates: Mapping[str, Record]
    tenants: tuple[str, ...]
    contracts: Mapping[str, Contract]

    def ready(self, node: str) -> bool:
        found = self.backends.get(node)
        return found is not None and found["state"] == "ready"


@dataclass(slots=True, frozen=True, order=True)
class MoveUnit:
    kind: str  # "gateway" or "backend"
    node: str
    tenants: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class PlannedMove:
    unit: MoveUnit
    window: Window | None
    moves: int | None  # when; None: not before the order's end
    why: str = ""


@dataclass(slots=True)
class DrainPlan:
    rows: list[PlannedMove]
    empty: int | None  # when the last has moved
    obstacles: list[str]


@dataclass(slots=True)
class KnownWindows:
    """Windows of a unit, one after the other, from an instant on."""

    since: int
    upto: int  # until when there is no further one
    windows: list[Window]


class ContractHours:
    """Calendars of the contracts in force, kept as long as these stay the same."""

    def __init__(self, pace: int) -> None:
        self.pace = pace  # between two moves, and what a backend's move takes to be in effect everywhere
        self._of: Mapping[str, Contract] = {}
        self._calendars: dict[str, Calendar] = {}
        self._known: dict[MoveUnit, KnownWindows] = {}

    def set_contracts(self, contracts: Mapping[str, Contract]) -> None:
        if contracts != self._of:
            self._of, self._calendars, self._known = contracts, {}, {}

    def contract(self, tenant: str) -> Contract | None:
        """Requests without a key are nobody's: no contract is theirs."""
        return self._of.get(tenant) or (self._of.get(DEFAULT_CONTRACT) if tenant != PUBLIC_TENANT else None)

    def calendar(self, tenant: str) -> Calendar | None:
        contract = self.contract(tenant)
        if contract is None:
            return None
        if tenant not in self._calendars:
            self._calendars[tenant] = Calendar(contract, HOURS_MARGIN_US)
        return self._calendars[tenant]

    def next(self, unit: MoveUnit, now: int) -> Window | None:
        """The first window in which the unit may move; `closes` is the last moment at which a move may begin."""
        known = self._known.get(unit)
        if known is None or now < known.since:
            known = self._known[unit] = KnownWindows(now, now, [])
        while known.upto <= now and (not known.windows or known.windows[-1].closes < now):
            found = self._ask(unit, now)
            if found is None:
                known.upto = now + DAY_US // 24
            else:
                known.windows.append(found)
        return next((window for window in known.windows if window.closes >= now), None)

    def _ask(self, unit: MoveUnit, now: int) -> Window | None:
        lead = GATEWAY_LEAD_US if unit.kind == "gateway" else self.pace
        nexts: list[Callable[[int], Window | None]] = []
        for calendar in (self.calendar(tenant) for tenant in unit.tenants):
            if calendar is not None:
                nexts.append(lambda at, c=calendar: c.next(at, lead))  # type: ignore[misc]
        return first_common_window(nexts, now) if nexts else ALWAYS

    def expires_at(self, unit: MoveUnit, order: Record) -> int:
        """From when on the order moves the unit no longer."""
        notices = [found.notice for found in map(self.contract, unit.tenants) if found is not None]
        return int(min([order["due"], *(order["at"] + notice for notice in notices)]))


def move_units(nodes: Iterable[tuple[str, str]], tenants: tuple[str, ...]) -> list[MoveUnit]:
    found = []
    for kind, node in nodes:
        if kind == "gateway":
            found.append(MoveUnit(kind, node, tenants))
        else:
            found += [MoveUnit(kind, node, (tenant,)) for tenant in tenants]
    return found


def choose_next(left: Iterable[MoveUnit], hours: ContractHours, now: int) -> tuple[MoveUnit, Window] | None:
    """Of those that may move now, the one whose hours close first."""
    able = [
        (window.closes, unit, window)
        for unit in left
        if (window := hours.next(unit, now)) is not None and window.opens <= now
    ]
    if not able:
        return None
    _, unit, window = min(able)
    return unit, window


def schedule(left: list[MoveUnit], hours: ContractHours, order: Record, now: int) -> list[PlannedMove]:
    """What `choose_next` will do from now on, if nothing changes."""
    rows, at, first = [], now, {unit: hours.next(unit, now) for unit in left}
    while left:
        left = [unit for unit in left if hours.expires_at(unit, order) >= at]
        found = choose_next(left, hours, at)
        if found is not None:
            unit, window = found
            rows.append(PlannedMove(unit, window, at))
            left = [other for other in left if other != unit]
            at += hours.pace
            continue
        coming = [later.opens for unit in left if (later := hours.next(unit, at)) is not None]
        if not coming:
            break
        at = max(at, min(coming))
    moved = {row.unit for row in rows}
    rows += [
        PlannedMove(unit, opening, None, _why(unit, opening, hours, order))
        for unit, opening in first.items()
        if unit not in moved
    ]
    return rows


def _why(unit: MoveUnit, window: Window | None, hours: ContractHours, order: Record) -> str:
    names = ", ".join(tenant or "public routes" for tenant in unit.tenants)
    if window is None:
        return (
            f"the hours of {names} are never open together for long enough"
            if len(unit.tenants) > 1
            else f"the hours of {names} never open for long enough"
        )
    if hours.expires_at(unit, order) < order["due"]:
        return f"the hours of {names} don't open within their longest notice"
    return f"the hours of {names} don't open before the order is due, or too late for all to move"


def target_nodes(facts: DrainState, kind: str, target: str) -> list[tuple[str, str]]:
    """The nodes that an order names: kind and name."""
    if kind != "zone":
        return [(kind, target)]
    return [("gateway", node) for node, gate in sorted(facts.gates.items()) if gate["az"] == target] + [
        ("backend", name)
        for name, backend in sorted(facts.backends.items())
        if backend["az"] == target and backend["state"] == "ready"
    ]


def draining_nodes(facts: DrainState, besides: str = "") -> set[str]:
    """Nodes that orders are emptying or have emptied, and those that not all have come back to after a cancel."""
    away = {move["order"] for move in facts.moves.values() if move["state"] != "returned"}
    return {
        node
        for name, order in facts.orders.items()
        if name != besides and (order["state"] in ACTIVE_ORDER_STATES or order["state"] == "cancelled" and name in away)
        for _, node in order["nodes"]
    }


def capacity_obstacles(facts: DrainState, kind: str, nodes: list[tuple[str, str]], besides: str = "") -> list[str]:
    """What would be short without these nodes: why a drain of them must not be, or go on."""
    found = []
    going = {node for _, node in nodes} | draining_nodes(facts, besides)
    for what, node in nodes:
        if what == "backend" and facts.ready(node):
            service, zone = facts.backends[node]["svc"], facts.backends[node]["az"]
            others = [
                value
                for name, value in facts.backends.items()
                if name not in going and value["svc"] == service and value["state"] == "ready"
            ]
            if kind == "zone":
                if not others:
                    found.append(f"{node} is among the last backends of {service}")
            elif not any(value["az"] == zone for value in others):
                found.append(f"{node} is the last backend of {service} in {zone}")
    for zone in sorted({facts.gates[node]["az"] for what, node in nodes if what == "gateway" and node in facts.gates}):
        here = [node for node, gate in facts.gates.items() if gate["az"] == zone]
        stay = [node for node in here if node not in going]
        if kind == "zone" or not stay:
            if kind != "zone":
                found.append(f"no gateway would be left in {zone}")
            elif not any(node not in going for node in facts.gates):
                found.append("no gateway would be left in any zone")
        elif 2 * len(stay) < len(here):
            # the platform uses all of a zone's gateways once fewer than half are ready
            found.append(f"fewer than half of the gateways of {zone} would be left")
    return sorted(set(found))


def plan_drain(facts: DrainState, hours: ContractHours, order: Record) -> DrainPlan:
    """For an order that is not given yet; its `at` is now."""
    nodes = target_nodes(facts, order["kind"], order["target"])
    obstacles = [] if nodes else [f"no node in {order['target']}"]
    taken = draining_nodes(facts)
    for kind, node in nodes:
        if node not in (facts.gates if kind == "gateway" else facts.backends):
            obstacles.append(f"no {kind} {node}")
        elif kind == "backend" and not facts.ready(node):
            obstacles.append(f"{node} is leaving by itself")
        if node in taken:
            obstacles.append(f"{node} is under another order")
    if order["due"] <= order["at"]:
        obstacles.append("it is due before it is given")
    obstacles += capacity_obstacles(facts, order["kind"], nodes)
    rows = schedule(
        move_units(nodes, facts.tenants), hours, order, max(order["at"], last_move_time(facts) + hours.pace)
    )
    obstacles += [row.why for row in rows if row.moves is None]
    last = max((row.moves for row in rows if row.moves is not None), default=order["at"])
    lead = GATEWAY_LEAD_US if any(kind == "gateway" for kind, _ in nodes) else hours.pace
    return DrainPlan(rows, None if any(row.moves is None for row in rows) else last + lead, obstacles)


def last_move_time(facts: DrainState) -> int:
    return max((max(move["at"], move["back_at"]) for move in facts.moves.values()), default=-FOREVER)
