"""The course of drains: what a plan says, and which moves the primary makes next.

No I/O and no clock. The state is what the control state holds: orders (`drain/ID`) and moves (`move/ID/NODE/TENANT`),
plain tables that are written whole. A move is made by its entry being in force, so that there is no moment between a
move and its record. Times are the agreed ones, microseconds since 1970.

A unit is what moves at one time: at a backend one tenant, at a gateway all of them, since the platform hands a gateway
its clients by a hash that knows no tenants. A gateway is therefore left only while the hours of all are open.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any
from urllib.parse import quote

from oakvale.towpath.hours import ALWAYS, DAY, FOREVER, SECOND, Calendar, Contract, Window, common

MARGIN = 10 * SECOND  # hours open so much later and close so much earlier: clocks step by seconds
GATEWAY_LEAD = 20 * SECOND  # the platform looks twice, then an idle connection lasts for 15 s
FORGOTTEN = 60 * SECOND  # a gateway off the list for longer than any request lasts is not waited for
PUBLIC = ""  # the tenant of requests without a key
ANY = "*"  # the contract of those that have none of their own
LIVE = ("open", "empty", "ended")  # an order in one of these may still have its tenants off the node
KEPT = 50  # orders that are over, the latest

Record = dict[str, Any]


@dataclass(slots=True)
class Facts:
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
class Unit:
    kind: str  # "gateway" or "backend"
    node: str
    tenants: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Row:
    unit: Unit
    window: Window | None
    moves: int | None  # when; None: not before the order's end
    why: str = ""


@dataclass(slots=True)
class Plan:
    rows: list[Row]
    empty: int | None  # when the last has moved
    obstacles: list[str]


@dataclass(slots=True)
class Known:
    """Windows of a unit, one after the other, from an instant on."""

    since: int
    upto: int  # until when there is no further one
    windows: list[Window]


class Hours:
    """Calendars of the contracts in force, kept as long as these stay the same."""

    def __init__(self, pace: int) -> None:
        self.pace = pace  # between two moves, and what a backend's move takes to be in effect everywhere
        self._of: Mapping[str, Contract] = {}
        self._calendars: dict[str, Calendar] = {}
        self._known: dict[Unit, Known] = {}

    def use(self, contracts: Mapping[str, Contract]) -> None:
        if contracts != self._of:
            self._of, self._calendars, self._known = contracts, {}, {}

    def contract(self, tenant: str) -> Contract | None:
        """Requests without a key are nobody's: no contract is theirs."""
        return self._of.get(tenant) or (self._of.get(ANY) if tenant != PUBLIC else None)

    def calendar(self, tenant: str) -> Calendar | None:
        contract = self.contract(tenant)
        if contract is None:
            return None
        if tenant not in self._calendars:
            self._calendars[tenant] = Calendar(contract, MARGIN)
        return self._calendars[tenant]

    def next(self, unit: Unit, now: int) -> Window | None:
        """The first window in which the unit may move; `closes` is the last moment at which a move may begin."""
        known = self._known.get(unit)
        if known is None or now < known.since:
            known = self._known[unit] = Known(now, now, [])
        while known.upto <= now and (not known.windows or known.windows[-1].closes < now):
            found = self._ask(unit, now)
            if found is None:
                known.upto = now + DAY // 24
            else:
                known.windows.append(found)
        return next((window for window in known.windows if window.closes >= now), None)

    def _ask(self, unit: Unit, now: int) -> Window | None:
        lead = GATEWAY_LEAD if unit.kind == "gateway" else self.pace
        nexts: list[Callable[[int], Window | None]] = []
        for calendar in (self.calendar(tenant) for tenant in unit.tenants):
            if calendar is not None:
                nexts.append(lambda at, c=calendar: c.next(at, lead))  # type: ignore[misc]
        return common(nexts, now) if nexts else ALWAYS

    def lapses(self, unit: Unit, order: Record) -> int:
        """From when on the order moves the unit no longer."""
        notices = [found.notice for found in map(self.contract, unit.tenants) if found is not None]
        return int(min([order["due"], *(order["at"] + notice for notice in notices)]))


def units(nodes: Iterable[tuple[str, str]], tenants: tuple[str, ...]) -> list[Unit]:
    found = []
    for kind, node in nodes:
        if kind == "gateway":
            found.append(Unit(kind, node, tenants))
        else:
            found += [Unit(kind, node, (tenant,)) for tenant in tenants]
    return found


def chosen(left: Iterable[Unit], hours: Hours, now: int) -> tuple[Unit, Window] | None:
    """Of those that may move now, the one whose hours close first."""
    able = [(window.closes, unit, window) for unit in left
            if (window := hours.next(unit, now)) is not None and window.opens <= now]
    if not able:
        return None
    _, unit, window = min(able)
    return unit, window


def schedule(left: list[Unit], hours: Hours, order: Record, now: int) -> list[Row]:
    """What `chosen` will do from now on, if nothing changes."""
    rows, at, first = [], now, {unit: hours.next(unit, now) for unit in left}
    while left:
        left = [unit for unit in left if hours.lapses(unit, order) >= at]
        found = chosen(left, hours, at)
        if found is not None:
            unit, window = found
            rows.append(Row(unit, window, at))
            left = [other for other in left if other != unit]
            at += hours.pace
            continue
        coming = [later.opens for unit in left if (later := hours.next(unit, at)) is not None]
        if not coming:
            break
        at = max(at, min(coming))
    moved = {row.unit for row in rows}
    rows += [Row(unit, opening, None, _why(unit, opening, hours, order))
             for unit, opening in first.items() if unit not in moved]
    return rows


def _why(unit: Unit, window: Window | None, hours: Hours, order: Record) -> str:
    names = ", ".join(tenant or "public routes" for tenant in unit.tenants)
    if window is None:
        return (f"the hours of {names} are never open together for long enough" if len(unit.tenants) > 1
                else f"the hours of {names} never open for long enough")
    if hours.lapses(unit, order) < order["due"]:
        return f"the hours of {names} don't open within their longest notice"
    return f"the hours of {names} don't open before the order is due, or too late for all to move"


def targets(facts: Facts, kind: str, target: str) -> list[tuple[str, str]]:
    """The nodes that an order names: kind and name."""
    if kind != "zone":
        return [(kind, target)]
    return ([("gateway", node) for node, gate in sorted(facts.gates.items()) if gate["az"] == target]
            + [("backend", name) for name, backend in sorted(facts.backends.items())
               if backend["az"] == target and backend["state"] == "ready"])


def left_nodes(facts: Facts, besides: str = "") -> set[str]:
    """Nodes that orders are emptying or have emptied, and those that not all have come back to after a cancel."""
    away = {move["order"] for move in facts.moves.values() if move["state"] != "returned"}
    return {node for name, order in facts.orders.items() if name != besides
            and (order["state"] in LIVE or order["state"] == "cancelled" and name in away)
            for _, node in order["nodes"]}


def missing(facts: Facts, kind: str, nodes: list[tuple[str, str]], besides: str = "") -> list[str]:
    """What would be short without these nodes: why a drain of them must not be, or go on."""
    found = []
    going = {node for _, node in nodes} | left_nodes(facts, besides)
    for what, node in nodes:
        if what == "backend" and facts.ready(node):
            service, zone = facts.backends[node]["svc"], facts.backends[node]["az"]
            others = [value for name, value in facts.backends.items()
                      if name not in going and value["svc"] == service and value["state"] == "ready"]
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


def plan(facts: Facts, hours: Hours, order: Record) -> Plan:
    """For an order that is not given yet; its `at` is now."""
    nodes = targets(facts, order["kind"], order["target"])
    obstacles = [] if nodes else [f"no node in {order['target']}"]
    taken = left_nodes(facts)
    for kind, node in nodes:
        if node not in (facts.gates if kind == "gateway" else facts.backends):
            obstacles.append(f"no {kind} {node}")
        elif kind == "backend" and not facts.ready(node):
            obstacles.append(f"{node} is leaving by itself")
        if node in taken:
            obstacles.append(f"{node} is under another order")
    if order["due"] <= order["at"]:
        obstacles.append("it is due before it is given")
    obstacles += missing(facts, order["kind"], nodes)
    rows = schedule(units(nodes, facts.tenants), hours, order, max(order["at"], last_move(facts) + hours.pace))
    obstacles += [row.why for row in rows if row.moves is None]
    last = max((row.moves for row in rows if row.moves is not None), default=order["at"])
    lead = GATEWAY_LEAD if any(kind == "gateway" for kind, _ in nodes) else hours.pace
    return Plan(rows, None if any(row.moves is None for row in rows) else last + lead, obstacles)


def last_move(facts: Facts) -> int:
    return max((max(move["at"], move["back_at"]) for move in facts.moves.values()), default=-FOREVER)


@lru_cache(4096)
def key_of(order: str, node: str, tenant: str) -> str:
    return "/".join(quote(part, safe="") for part in (order, node, tenant))


def made(order: str, unit: Unit, tenant: str, facts: Facts, window: Window) -> Record:
    """A move's entry: which gateways have to say that they follow it, and what they have said of it."""
    if unit.kind == "gateway":
        asked = {facts.gates[unit.node]["life"]: unit.node}
    else:
        asked = {gate["life"]: node for node, gate in facts.gates.items()}
    return {"order": order, "kind": unit.kind, "node": unit.node, "tenant": tenant, "way": "out", "state": "leaving",
            "at": facts.now, "until": 0 if window.closes == FOREVER else window.closes, "done": 0,
            "opens": window.opens, "closes": window.closes, "back_at": 0, "back_done": 0, "again": 0, "unheard": [],
            "gates": {life: [node, False, 0, 0, {}] for life, node in asked.items()}}


@dataclass(slots=True)
class Course:
    """The primary's hand. What it remembers beside the tables may be lost with it: it only delays."""

    hours: Hours
    told: dict[str, dict[str, list[Any]]] = field(default_factory=dict)  # move -> life -> its latest word
    _off: dict[str, int] = field(default_factory=dict)  # life that is not on the list -> since when
    _written: int = -FOREVER

    def hear(self, key: str, node: str, life: str, away: bool, began: int, left: int, ends: dict[str, int]) -> None:
        """A gateway's word on a move: whether it keeps off the node, how many requests of the tenant it had there
        then, how many of its requests may still be there, how the others ended."""
        # in the record, left is whether there is any: each other count would be another entry
        self.told.setdefault(key, {})[life] = [node, away, began, min(left, 1), ends]

    def step(self, facts: Facts) -> dict[str, Any]:
        """The entries to write now; the next step is made once they are in force."""
        self.hours.use(facts.contracts)
        lives = {gate["life"] for gate in facts.gates.values()}
        self._off = {life: self._off.get(life, facts.now) for move in facts.moves.values()
                     for life in move["gates"] if life not in lives}
        self.told = {key: said for key, said in self.told.items() if key in facts.moves}
        changes: dict[str, Any] = {}
        for key, move in facts.moves.items():
            fresh = self._heard(key, move, facts)
            if fresh != move:
                changes[f"move/{key}"] = fresh
        moves = {**facts.moves, **{key.removeprefix("move/"): value for key, value in changes.items()}}
        if abs(facts.now - self._written) >= SECOND:
            self._written = facts.now
        else:  # words alone are written once a second at most
            changes = {key: value for key, value in changes.items()
                       if value["state"] != facts.moves[key.removeprefix("move/")]["state"]}
        for name, order in facts.orders.items():
            state, why = self._standing(name, order, moves, facts)
            if (state, why) != (order["state"], order["why_state"]):
                over = facts.now if state not in ("open", "empty") else 0
                changes[f"drain/{name}"] = order | {"state": state, "why_state": why, "over": order["over"] or over,
                                                    "empty": order["empty"] or (facts.now if state == "empty" else 0)}
        at = last_move(facts)
        if abs(facts.now - at) >= self.hours.pace:
            changes |= self._next(facts)
        return changes | (self._pruned(facts) if not changes else {})

    # ---- words of gateways

    def _heard(self, key: str, move: Record, facts: Facts) -> Record:
        if move["state"] in ("moved", "returned"):
            return self._astray(key, move, facts)
        gates = {life: list(said) for life, said in move["gates"].items()}
        for life, said in self.told.get(key, {}).items():
            if move["kind"] == "backend" or life in gates:
                gates[life] = list(said)
        unheard = set(move["unheard"])
        out = move["way"] == "out"
        done = True
        for life, said in gates.items():
            node, away, began, left, ends = said
            listed = facts.gates.get(node)
            if listed is not None and listed["life"] == life:
                done = done and (away and not left if out else not away)
            elif (away == out) and not left:
                continue
            elif listed is not None or facts.now - self._off.get(life, facts.now) >= FORGOTTEN:
                # another life has its place, or nobody has for long: what it had there is over
                lost = max(0, began - sum(ends.values()))
                said[3], said[4] = 0, ends | ({"unknown": lost} if lost else {})
                if listed is None:
                    unheard.add(node)
                said[1] = out
            else:
                done = False
        if move["kind"] == "backend":
            done = done and all(gate["life"] in gates for gate in facts.gates.values())
        fresh = move | {"gates": gates, "unheard": sorted(unheard)}
        if done:
            fresh |= {"state": "moved", "done": facts.now} if out else {"state": "returned", "back_done": facts.now}
        return fresh

    def _astray(self, key: str, move: Record, facts: Facts) -> Record:
        """One that was not waited for any longer is back, and still sends there, or still keeps away."""
        lives = {gate["life"] for gate in facts.gates.values()}
        said = self.told.pop(key, {})
        back = {life: list(word) for life, word in said.items() if life in lives and word[1] != (move["way"] == "out")
                and (move["kind"] == "backend" or life in move["gates"])}
        if not back:
            return move
        return move | {"state": "leaving" if move["way"] == "out" else "returning", "gates": move["gates"] | back}

    # ---- orders

    def _node_there(self, kind: str, node: str, order: Record, facts: Facts) -> bool:
        if kind == "backend":
            return facts.ready(node)
        return node in facts.gates and facts.gates[node]["life"] == order["lives"].get(node)

    def _standing(self, name: str, order: Record, moves: Mapping[str, Record], facts: Facts) -> tuple[str, str]:
        there = [(kind, node) for kind, node in order["nodes"] if self._node_there(kind, node, order, facts)]
        stay = [unit for unit in units(there, facts.tenants) if not self._all(name, unit, moves, ("moved",))]
        if order["cancelled"]:
            return ("cancelled" if there else "done"), order["why_state"]
        if order["state"] == "done":  # it was cut off for so long that it was off the list
            return ("ended", "its node is back: cancel the order, or end the node") if there else (
                "done", order["why_state"])
        if not there:
            by_itself = [unit for unit in units([tuple(n) for n in order["nodes"]], facts.tenants)
                         if not self._all(name, unit, moves, None)]
            names = sorted({tenant or "public routes" for unit in by_itself for tenant in unit.tenants})
            return "done", "the node ended before these had moved: " + ", ".join(names) if names else ""
        if order["state"] == "ended":
            return "ended", order["why_state"]
        if not stay:
            return "empty", ""
        if facts.now > order["due"]:
            short = missing(facts, order["kind"], there, name)
            why = short or [self._reason(name, unit, moves) for unit in stay]
            return "ended", "due, and not moved: " + "; ".join(why)
        return "open", ""

    def _reason(self, name: str, unit: Unit, moves: Mapping[str, Record]) -> str:
        names = f"{unit.node} " + (", ".join(tenant or "public routes" for tenant in unit.tenants))
        found = [moves.get(key_of(name, unit.node, tenant)) for tenant in unit.tenants]
        if any(found):
            silent = sorted({said[0] for move in found if move for said in move["gates"].values()
                             if not said[1] or said[3]})
            return f"{names}: on its way, waits for {', '.join(silent) or 'its record'}"
        return f"{names}: its hours were not open"

    def _all(self, name: str, unit: Unit, moves: Mapping[str, Record], states: tuple[str, ...] | None) -> bool:
        found = [moves.get(key_of(name, unit.node, tenant)) for tenant in unit.tenants]
        return all(move is not None and (states is None or move["state"] in states) for move in found)

    # ---- moves

    def _next(self, facts: Facts) -> dict[str, Any]:
        """One move, of all orders: the rest has time to take what comes to it."""
        able: list[tuple[int, Unit, str, Window]] = []
        for name, order in sorted(facts.orders.items()):
            for unit in self._due(name, order, facts):
                window = self.hours.next(unit, facts.now)
                if window is not None and window.opens <= facts.now:
                    able.append((window.closes, unit, name, window))
        if not able:
            return {}
        _, unit, name, window = min(able)
        changes: dict[str, Any] = {}
        for tenant in unit.tenants:
            key = key_of(name, unit.node, tenant)
            held = facts.moves.get(key)
            until = 0 if window.closes == FOREVER else window.closes
            if facts.orders[name]["cancelled"]:
                if held is not None and held["state"] in ("leaving", "moved", "returning"):
                    at = facts.now
                    changes[f"move/{key}"] = held | {"way": "back", "state": "returning", "back_at": at, "until": until}
            elif held is None:
                changes[f"move/{key}"] = made(name, unit, tenant, facts, window)
            elif held["state"] == "leaving":
                self.told.pop(key, None)
                changes[f"move/{key}"] = held | {"until": until, "at": facts.now, "again": held["again"] + 1}
        return changes

    def _due(self, name: str, order: Record, facts: Facts) -> list[Unit]:
        """Units of an order that should move now, if their hours allow it."""
        nodes = [(kind, node) for kind, node in order["nodes"] if self._node_there(kind, node, order, facts)]
        state = order["state"]
        if order["cancelled"]:
            return [unit for unit in units(nodes, facts.tenants) if self._returns(name, unit, facts)]
        if state not in ("open", "empty", "ended"):
            return []
        found = [unit for unit in units(nodes, facts.tenants) if self._left_behind(name, unit, facts)]
        if state == "open" and not missing(facts, order["kind"], nodes, name):
            found += [unit for unit in units(nodes, facts.tenants)
                      if not self._all(name, unit, facts.moves, None)
                      and facts.now <= self.hours.lapses(unit, order)]
        return found

    def _returns(self, name: str, unit: Unit, facts: Facts) -> bool:
        found = [move for tenant in unit.tenants
                 if (move := facts.moves.get(key_of(name, unit.node, tenant))) is not None]
        return any(move["state"] in ("leaving", "moved") or self._late(move, facts) for move in found)

    def _left_behind(self, name: str, unit: Unit, facts: Facts) -> bool:
        found = [move for tenant in unit.tenants
                 if (move := facts.moves.get(key_of(name, unit.node, tenant))) is not None]
        return any(self._late(move, facts) for move in found)

    @staticmethod
    def _late(move: Record, facts: Facts) -> bool:
        """A gateway was not reached while the move was good, and is there now: once more, in hours."""
        if move["state"] not in ("leaving", "returning") or not move["until"] or facts.now <= move["until"]:
            return False
        out = move["way"] == "out"
        return any(said[1] != out and said[0] in facts.gates and facts.gates[said[0]]["life"] == life
                   for life, said in move["gates"].items())

    # ---- what is forgotten

    def _pruned(self, facts: Facts) -> dict[str, Any]:
        """Orders whose node is gone or whose tenants are back, but for the latest."""
        over = sorted((order["over"], name) for name, order in facts.orders.items()
                      if order["state"] == "done" or order["cancelled"] and all(
                          move["state"] == "returned" for move in facts.moves.values()
                          if move["order"] == name))
        changes: dict[str, Any] = {}
        for _, name in over[:-KEPT]:
            changes[f"drain/{name}"] = None
            changes |= {f"move/{key}": None for key, move in facts.moves.items() if move["order"] == name}
        return changes


def outside(facts: Facts, hours: Hours, name: str, why: str) -> Record | None:
    """The record of a backend that leaves by itself while hours are closed; None where it moves nobody outside."""
    hours.use(facts.contracts)
    moved = {move["tenant"] for move in facts.moves.values() if move["node"] == name and move["way"] == "out"}
    found = []
    for tenant in facts.tenants:
        calendar = hours.calendar(tenant)
        if tenant not in moved and calendar is not None and not (facts.now and calendar.open(facts.now)):
            found.append(tenant)
    if not found:
        return None
    return {"at": facts.now, "why": why, "tenants": found}


__all__ = ["DAY", "Course", "Facts", "Hours", "Plan", "Row", "Unit", "key_of", "outside", "plan"]
