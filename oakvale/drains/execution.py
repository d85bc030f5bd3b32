"""The course of drains: which moves the primary makes next, and what it makes of the gateways' words.

No I/O and no clock. The state is what the control state holds: orders (`drain/ID`) and moves (`move/ID/NODE/TENANT`),
plain tables that are written whole. A move is made by its entry being in force, so that there is no moment between a
move and its record. Times are the agreed ones, microseconds since 1970.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any
from urllib.parse import quote

from oakvale.drains.hours import FOREVER, SECOND_US, Window
from oakvale.drains.planning import (
    ContractHours,
    DrainState,
    MoveUnit,
    Record,
    capacity_obstacles,
    last_move_time,
    move_units,
)

ABSENT_GATEWAY_TIMEOUT_US = 60 * SECOND_US  # a gateway off the list for longer than any request lasts is not waited for
MAX_FINISHED_ORDERS = 50  # orders that are over, the latest


@lru_cache(4096)
def move_key(order: str, node: str, tenant: str) -> str:
    return "/".join(quote(part, safe="") for part in (order, node, tenant))


def new_move(order: str, unit: MoveUnit, tenant: str, facts: DrainState, window: Window) -> Record:
    """A move's entry: which gateways have to say that they follow it, and what they have said of it."""
    if unit.kind == "gateway":
        asked = {facts.gates[unit.node]["life"]: unit.node}
    else:
        asked = {gate["life"]: node for node, gate in facts.gates.items()}
    return {
        "order": order,
        "kind": unit.kind,
        "node": unit.node,
        "tenant": tenant,
        "way": "out",
        "state": "leaving",
        "at": facts.now,
        "until": 0 if window.closes == FOREVER else window.closes,
        "done": 0,
        "opens": window.opens,
        "closes": window.closes,
        "back_at": 0,
        "back_done": 0,
        "again": 0,
        "unheard": [],
        "gates": {life: [node, False, 0, 0, {}] for life, node in asked.items()},
    }


@dataclass(slots=True)
class DrainExecutor:
    """The primary's hand. What it remembers beside the tables may be lost with it: it only delays."""

    hours: ContractHours
    told: dict[str, dict[str, list[Any]]] = field(default_factory=dict)  # move -> life -> its latest word
    _off: dict[str, int] = field(default_factory=dict)  # life that is not on the list -> since when
    _written: int = -FOREVER

    def record_report(
        self, key: str, node: str, life: str, away: bool, began: int, left: int, ends: dict[str, int]
    ) -> None:
        """A gateway's word on a move: whether it keeps off the node, how many requests of the tenant it had there
        then, how many of its requests may still be there, how the others ended."""
        # in the record, left is whether there is any: each other count would be another entry
        self.told.setdefault(key, {})[life] = [node, away, began, min(left, 1), ends]

    def step(self, facts: DrainState) -> dict[str, Any]:
        """The entries to write now; the next step is made once they are in force."""
        self.hours.set_contracts(facts.contracts)
        lives = {gate["life"] for gate in facts.gates.values()}
        self._off = {
            life: self._off.get(life, facts.now)
            for move in facts.moves.values()
            for life in move["gates"]
            if life not in lives
        }
        self.told = {key: said for key, said in self.told.items() if key in facts.moves}
        changes: dict[str, Any] = {}
        for key, move in facts.moves.items():
            fresh = self._heard(key, move, facts)
            if fresh != move:
                changes[f"move/{key}"] = fresh
        moves = {**facts.moves, **{key.removeprefix("move/"): value for key, value in changes.items()}}
        if abs(facts.now - self._written) >= SECOND_US:
            self._written = facts.now
        else:  # words alone are written once a second at most
            changes = {
                key: value
                for key, value in changes.items()
                if value["state"] != facts.moves[key.removeprefix("move/")]["state"]
            }
        for name, order in facts.orders.items():
            state, why = self._standing(name, order, moves, facts)
            if (state, why) != (order["state"], order["why_state"]):
                over = facts.now if state not in ("open", "empty") else 0
                changes[f"drain/{name}"] = order | {
                    "state": state,
                    "why_state": why,
                    "over": order["over"] or over,
                    "empty": order["empty"] or (facts.now if state == "empty" else 0),
                }
        at = last_move_time(facts)
        if abs(facts.now - at) >= self.hours.pace:
            changes |= self._next(facts)
        return changes | (self._pruned(facts) if not changes else {})

    # ---- words of gateways

    def _heard(self, key: str, move: Record, facts: DrainState) -> Record:
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
            elif listed is not None or facts.now - self._off.get(life, facts.now) >= ABSENT_GATEWAY_TIMEOUT_US:
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

    def _astray(self, key: str, move: Record, facts: DrainState) -> Record:
        """One that was not waited for any longer is back, and still sends there, or still keeps away."""
        lives = {gate["life"] for gate in facts.gates.values()}
        said = self.told.pop(key, {})
        back = {
            life: list(word)
            for life, word in said.items()
            if life in lives
            and word[1] != (move["way"] == "out")
            and (move["kind"] == "backend" or life in move["gates"])
        }
        if not back:
            return move
        return move | {"state": "leaving" if move["way"] == "out" else "returning", "gates": move["gates"] | back}

    # ---- orders

    def _node_there(self, kind: str, node: str, order: Record, facts: DrainState) -> bool:
        if kind == "backend":
            return facts.ready(node)
        return node in facts.gates and facts.gates[node]["life"] == order["lives"].get(node)

    def _standing(self, name: str, order: Record, moves: Mapping[str, Record], facts: DrainState) -> tuple[str, str]:
        there = [(kind, node) for kind, node in order["nodes"] if self._node_there(kind, node, order, facts)]
        stay = [unit for unit in move_units(there, facts.tenants) if not self._all(name, unit, moves, ("moved",))]
        if order["cancelled"]:
            return ("cancelled" if there else "done"), order["why_state"]
        if order["state"] == "done":  # it was cut off for so long that it was off the list
            return (
                ("ended", "its node is back: cancel the order, or end the node")
                if there
                else ("done", order["why_state"])
            )
        if not there:
            by_itself = [
                unit
                for unit in move_units([tuple(n) for n in order["nodes"]], facts.tenants)
                if not self._all(name, unit, moves, None)
            ]
            names = sorted({tenant or "public routes" for unit in by_itself for tenant in unit.tenants})
            return "done", "the node ended before these had moved: " + ", ".join(names) if names else ""
        if order["state"] == "ended":
            return "ended", order["why_state"]
        if not stay:
            return "empty", ""
        if facts.now > order["due"]:
            short = capacity_obstacles(facts, order["kind"], there, name)
            why = short or [self._reason(name, unit, moves) for unit in stay]
            return "ended", "due, and not moved: " + "; ".join(why)
        return "open", ""

    def _reason(self, name: str, unit: MoveUnit, moves: Mapping[str, Record]) -> str:
        names = f"{unit.node} " + (", ".join(tenant or "public routes" for tenant in unit.tenants))
        found = [moves.get(move_key(name, unit.node, tenant)) for tenant in unit.tenants]
        if any(found):
            silent = sorted(
                {said[0] for move in found if move for said in move["gates"].values() if not said[1] or said[3]}
            )
            return f"{names}: on its way, waits for {', '.join(silent) or 'its record'}"
        return f"{names}: its hours were not open"

    def _all(self, name: str, unit: MoveUnit, moves: Mapping[str, Record], states: tuple[str, ...] | None) -> bool:
        found = [moves.get(move_key(name, unit.node, tenant)) for tenant in unit.tenants]
        return all(move is not None and (states is None or move["state"] in states) for move in found)

    # ---- moves

    def _next(self, facts: DrainState) -> dict[str, Any]:
        """One move, of all orders: the rest has time to take what comes to it."""
        able: list[tuple[int, MoveUnit, str, Window]] = []
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
            key = move_key(name, unit.node, tenant)
            held = facts.moves.get(key)
            until = 0 if window.closes == FOREVER else window.closes
            if facts.orders[name]["cancelled"]:
                if held is not None and held["state"] in ("leaving", "moved", "returning"):
                    at = facts.now
                    changes[f"move/{key}"] = held | {"way": "back", "state": "returning", "back_at": at, "until": until}
            elif held is None:
                changes[f"move/{key}"] = new_move(name, unit, tenant, facts, window)
            elif held["state"] == "leaving":
                self.told.pop(key, None)
                changes[f"move/{key}"] = held | {"until": until, "at": facts.now, "again": held["again"] + 1}
        return changes

    def _due(self, name: str, order: Record, facts: DrainState) -> list[MoveUnit]:
        """Units of an order that should move now, if their hours allow it."""
        nodes = [(kind, node) for kind, node in order["nodes"] if self._node_there(kind, node, order, facts)]
        state = order["state"]
        if order["cancelled"]:
            return [unit for unit in move_units(nodes, facts.tenants) if self._returns(name, unit, facts)]
        if state not in ("open", "empty", "ended"):
            return []
        found = [unit for unit in move_units(nodes, facts.tenants) if self._left_behind(name, unit, facts)]
        if state == "open" and not capacity_obstacles(facts, order["kind"], nodes, name):
            found += [
                unit
                for unit in move_units(nodes, facts.tenants)
                if not self._all(name, unit, facts.moves, None) and facts.now <= self.hours.expires_at(unit, order)
            ]
        return found

    def _returns(self, name: str, unit: MoveUnit, facts: DrainState) -> bool:
        found = [
            move for tenant in unit.tenants if (move := facts.moves.get(move_key(name, unit.node, tenant))) is not None
        ]
        return any(move["state"] in ("leaving", "moved") or self._late(move, facts) for move in found)

    def _left_behind(self, name: str, unit: MoveUnit, facts: DrainState) -> bool:
        found = [
            move for tenant in unit.tenants if (move := facts.moves.get(move_key(name, unit.node, tenant))) is not None
        ]
        return any(self._late(move, facts) for move in found)

    @staticmethod
    def _late(move: Record, facts: DrainState) -> bool:
        """A gateway was not reached while the move was good, and is there now: once more, in hours."""
        if move["state"] not in ("leaving", "returning") or not move["until"] or facts.now <= move["until"]:
            return False
        out = move["way"] == "out"
        return any(
            said[1] != out and said[0] in facts.gates and facts.gates[said[0]]["life"] == life
            for life, said in move["gates"].items()
        )

    # ---- what is forgotten

    def _pruned(self, facts: DrainState) -> dict[str, Any]:
        """Orders whose node is gone or whose tenants are back, but for the latest."""
        over = sorted(
            (order["over"], name)
            for name, order in facts.orders.items()
            if order["state"] == "done"
            or order["cancelled"]
            and all(move["state"] == "returned" for move in facts.moves.values() if move["order"] == name)
        )
        changes: dict[str, Any] = {}
        for _, name in over[:-MAX_FINISHED_ORDERS]:
            changes[f"drain/{name}"] = None
            changes |= {f"move/{key}": None for key, move in facts.moves.items() if move["order"] == name}
        return changes


def outside_hours_record(facts: DrainState, hours: ContractHours, name: str, why: str) -> Record | None:
    """The record of a backend that leaves by itself while hours are closed; None where it moves nobody outside."""
    hours.set_contracts(facts.contracts)
    moved = {move["tenant"] for move in facts.moves.values() if move["node"] == name and move["way"] == "out"}
    found = []
    for tenant in facts.tenants:
        calendar = hours.calendar(tenant)
        if tenant not in moved and calendar is not None and not (facts.now and calendar.open(facts.now)):
            found.append(tenant)
    if not found:
        return None
    return {"at": facts.now, "why": why, "tenants": found}
