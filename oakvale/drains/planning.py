"""Plans drains: which nodes an order covers, what prevents it, and when each tenant moves.

No I/O and no clock. Times are agreed times in microseconds since 1970.

A move unit is what moves at one time: one tenant at a backend, but all tenants at a gateway, since the platform
assigns clients to gateways by a hash that does not know tenants. So a gateway is drained only while the hours of all
tenants are open.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from oakvale.drains.hours import ALWAYS, DAY_US, FOREVER_US, SECOND_US, Calendar, Contract, Window, first_common_window

HOURS_MARGIN_US = 10 * SECOND_US  # hours open this much later and close this much earlier: clocks step by seconds
GATEWAY_LEAD_US = 20 * SECOND_US  # two health checks of the platform, then 15 s of idle connections
PUBLIC_TENANT = ""  # the tenant of requests without an API key
DEFAULT_CONTRACT = "*"  # the contract of tenants without one of their own
ACTIVE_ORDER_STATES = ("open", "empty", "ended")  # tenants may still be moved off the node

Record = dict[str, Any]


@dataclass(slots=True)
class DrainState:
    """The replicated state on which a decision is based."""

    now: int
    orders: Mapping[str, Record]
    moves: Mapping[str, Record]  # key without the prefix `move/` -> record
    backends: Mapping[str, Record]
    gateways: Mapping[str, Record]
    tenants: tuple[str, ...]
    contracts: Mapping[str, Contract]

    def ready(self, node: str) -> bool:
        """Whether the node is a backend that takes requests."""
        found = self.backends.get(node)
        return found is not None and found["state"] == "ready"


@dataclass(slots=True, frozen=True, order=True)
class MoveUnit:
    """Tenants that move off one node at the same time."""

    kind: str  # "gateway" or "backend"
    node: str
    tenants: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class PlannedMove:
    """A line of a plan: a unit, its next window and the time of its move."""

    unit: MoveUnit
    window: Window | None
    moves_at: int | None  # None: not before the order ends
    reason: str = ""  # why it does not move


@dataclass(slots=True)
class DrainPlan:
    """The expected course of an order; with obstacles the order is refused."""

    rows: list[PlannedMove]
    empty: int | None  # when the last unit has moved; None: never
    obstacles: list[str]


@dataclass(slots=True)
class KnownWindows:
    """Cached windows of a unit in their order, from an instant on."""

    since: int
    none_until: int  # no further window begins before this instant
    windows: list[Window]


class ContractHours:
    """The calendars of the contracts in effect; cached until the contracts change."""

    def __init__(self, pace: int) -> None:
        self.pace = pace  # between two moves; a move off a backend takes effect on all gateways within it
        self._contracts: Mapping[str, Contract] = {}
        self._calendars: dict[str, Calendar] = {}
        self._known: dict[MoveUnit, KnownWindows] = {}

    def set_contracts(self, contracts: Mapping[str, Contract]) -> None:
        """Takes the contracts in effect and drops the caches if they have changed."""
        if contracts != self._contracts:
            self._contracts, self._calendars, self._known = contracts, {}, {}

    def contract(self, tenant: str) -> Contract | None:
        """The contract of a tenant; requests without an API key have none."""
        return self._contracts.get(tenant) or (
            self._contracts.get(DEFAULT_CONTRACT) if tenant != PUBLIC_TENANT else None
        )

    def calendar(self, tenant: str) -> Calendar | None:
        """None for tenants without a contract."""
        contract = self.contract(tenant)
        if contract is None:
            return None
        if tenant not in self._calendars:
            self._calendars[tenant] = Calendar(contract, HOURS_MARGIN_US)
        return self._calendars[tenant]

    def next_window(self, unit: MoveUnit, now: int) -> Window | None:
        """The first window in which the unit may move; `closes` is the last instant at which the move may begin."""
        known = self._known.get(unit)
        if known is None or now < known.since:
            known = self._known[unit] = KnownWindows(now, now, [])
        while known.none_until <= now and (not known.windows or known.windows[-1].closes < now):
            found = self._search(unit, now)
            if found is None:
                known.none_until = now + DAY_US // 24
            else:
                known.windows.append(found)
        return next((window for window in known.windows if window.closes >= now), None)

    def _search(self, unit: MoveUnit, now: int) -> Window | None:
        lead = GATEWAY_LEAD_US if unit.kind == "gateway" else self.pace
        searches: list[Callable[[int], Window | None]] = []
        for calendar in (self.calendar(tenant) for tenant in unit.tenants):
            if calendar is not None:
                searches.append(lambda at, c=calendar: c.next_window(at, lead))  # type: ignore[misc]
        return first_common_window(searches, now) if searches else ALWAYS

    def expires_at(self, unit: MoveUnit, order: Record) -> int:
        """The instant after which the order no longer moves the unit."""
        notices = [found.notice for found in map(self.contract, unit.tenants) if found is not None]
        return int(min([order["due"], *(order["at"] + notice for notice in notices)]))


def move_units(nodes: Iterable[tuple[str, str]], tenants: tuple[str, ...]) -> list[MoveUnit]:
    """The units that must move to empty the nodes, each given by kind and name."""
    units = []
    for kind, node in nodes:
        if kind == "gateway":
            units.append(MoveUnit(kind, node, tenants))
        else:
            units += [MoveUnit(kind, node, (tenant,)) for tenant in tenants]
    return units


def choose_next(remaining: Iterable[MoveUnit], hours: ContractHours, now: int) -> tuple[MoveUnit, Window] | None:
    """Of the units that may move now, the one whose window closes first."""
    candidates = [
        (window.closes, unit, window)
        for unit in remaining
        if (window := hours.next_window(unit, now)) is not None and window.opens <= now
    ]
    if not candidates:
        return None
    _, unit, window = min(candidates)
    return unit, window


def schedule(remaining: list[MoveUnit], hours: ContractHours, order: Record, now: int) -> list[PlannedMove]:
    """Simulates `choose_next` from now on, assuming that nothing changes."""
    rows, at, first_windows = [], now, {unit: hours.next_window(unit, now) for unit in remaining}
    while remaining:
        remaining = [unit for unit in remaining if hours.expires_at(unit, order) >= at]
        choice = choose_next(remaining, hours, at)
        if choice is not None:
            unit, window = choice
            rows.append(PlannedMove(unit, window, at))
            remaining = [other for other in remaining if other != unit]
            at += hours.pace
            continue
        next_openings = [later.opens for unit in remaining if (later := hours.next_window(unit, at)) is not None]
        if not next_openings:
            break
        at = max(at, min(next_openings))
    scheduled = {row.unit for row in rows}
    rows += [
        PlannedMove(unit, window, None, _unscheduled_reason(unit, window, hours, order))
        for unit, window in first_windows.items()
        if unit not in scheduled
    ]
    return rows


def _unscheduled_reason(unit: MoveUnit, window: Window | None, hours: ContractHours, order: Record) -> str:
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
    """The nodes that an order covers: kind and name."""
    if kind != "zone":
        return [(kind, target)]
    return [("gateway", node) for node, gate in sorted(facts.gateways.items()) if gate["az"] == target] + [
        ("backend", name)
        for name, backend in sorted(facts.backends.items())
        if backend["az"] == target and backend["state"] == "ready"
    ]


def draining_nodes(facts: DrainState, ignored_order: str = "") -> set[str]:
    """Nodes that are being drained or are empty, or to which not all tenants have returned after a cancelled order."""
    not_returned = {move["order"] for move in facts.moves.values() if move["state"] != "returned"}
    return {
        node
        for name, order in facts.orders.items()
        if name != ignored_order
        and (order["state"] in ACTIVE_ORDER_STATES or order["state"] == "cancelled" and name in not_returned)
        for _, node in order["nodes"]
    }


def capacity_obstacles(
    facts: DrainState, kind: str, nodes: list[tuple[str, str]], ignored_order: str = ""
) -> list[str]:
    """The services and zones that would lack capacity without these nodes; any of them stops a drain."""
    obstacles = []
    leaving = {node for _, node in nodes} | draining_nodes(facts, ignored_order)
    for node_kind, node in nodes:
        if node_kind == "backend" and facts.ready(node):
            service, zone = facts.backends[node]["svc"], facts.backends[node]["az"]
            others = [
                value
                for name, value in facts.backends.items()
                if name not in leaving and value["svc"] == service and value["state"] == "ready"
            ]
            if kind == "zone":
                if not others:
                    obstacles.append(f"{node} is among the last backends of {service}")
            elif not any(value["az"] == zone for value in others):
                obstacles.append(f"{node} is the last backend of {service} in {zone}")
    for zone in sorted(
        {facts.gateways[node]["az"] for node_kind, node in nodes if node_kind == "gateway" and node in facts.gateways}
    ):
        zone_gateways = [node for node, gate in facts.gateways.items() if gate["az"] == zone]
        remaining = [node for node in zone_gateways if node not in leaving]
        if kind == "zone" or not remaining:
            if kind != "zone":
                obstacles.append(f"no gateway would be left in {zone}")
            elif not any(node not in leaving for node in facts.gateways):
                obstacles.append("no gateway would be left in any zone")
        elif 2 * len(remaining) < len(zone_gateways):
            # with fewer than half of them ready, the platform sends traffic to all gateways of a zone
            obstacles.append(f"fewer than half of the gateways of {zone} would be left")
    return sorted(set(obstacles))


def plan_drain(facts: DrainState, hours: ContractHours, order: Record) -> DrainPlan:
    """Plans a new order whose `at` is now."""
    nodes = target_nodes(facts, order["kind"], order["target"])
    obstacles = [] if nodes else [f"no node in {order['target']}"]
    draining = draining_nodes(facts)
    for kind, node in nodes:
        if node not in (facts.gateways if kind == "gateway" else facts.backends):
            obstacles.append(f"no {kind} {node}")
        elif kind == "backend" and not facts.ready(node):
            obstacles.append(f"{node} is leaving by itself")
        if node in draining:
            obstacles.append(f"{node} is under another order")
    if order["due"] <= order["at"]:
        obstacles.append("it is due before it is given")
    obstacles += capacity_obstacles(facts, order["kind"], nodes)
    rows = schedule(
        move_units(nodes, facts.tenants), hours, order, max(order["at"], last_move_time(facts) + hours.pace)
    )
    obstacles += [row.reason for row in rows if row.moves_at is None]
    last_move_at = max((row.moves_at for row in rows if row.moves_at is not None), default=order["at"])
    lead = GATEWAY_LEAD_US if any(kind == "gateway" for kind, _ in nodes) else hours.pace
    return DrainPlan(rows, None if any(row.moves_at is None for row in rows) else last_move_at + lead, obstacles)


def last_move_time(facts: DrainState) -> int:
    """When the latest move began, outward or back."""
    return max((max(move["at"], move["back_at"]) for move in facts.moves.values()), default=-FOREVER_US)
