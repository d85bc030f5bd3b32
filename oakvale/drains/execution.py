"""Executes drains: which move the primary makes next, and when the reports of the gateways complete a move.

No I/O and no clock. The input is the replicated state: orders (`drain/ID`) and moves (`move/ID/NODE/TENANT`), whose
records are always written whole. A move takes effect when its record does, so no move exists without a record. Times
are agreed times in microseconds since 1970.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any
from urllib.parse import quote

from oakvale.drains.hours import FOREVER_US, SECOND_US, Window
from oakvale.drains.planning import (
    ContractHours,
    DrainState,
    MoveUnit,
    Record,
    capacity_obstacles,
    last_move_time,
    move_units,
)

ABSENT_GATEWAY_TIMEOUT_US = 60 * SECOND_US  # longer than any request lasts
MAX_FINISHED_ORDERS = 50  # older ones are deleted


@lru_cache(4096)
def move_key(order: str, node: str, tenant: str) -> str:
    """The key of a move, without the prefix `move/`."""
    return "/".join(quote(part, safe="") for part in (order, node, tenant))


def new_move(order: str, unit: MoveUnit, tenant: str, facts: DrainState, window: Window) -> Record:
    """The record of a new move; `gates` holds the report of each gateway that must follow it."""
    if unit.kind == "gateway":
        required = {facts.gateways[unit.node]["life"]: unit.node}
    else:
        required = {gate["life"]: node for node, gate in facts.gateways.items()}
    return {
        "order": order,
        "kind": unit.kind,
        "node": unit.node,
        "tenant": tenant,
        "way": "out",
        "state": "leaving",
        "at": facts.now,
        "until": 0 if window.closes == FOREVER_US else window.closes,
        "done": 0,
        "opens": window.opens,
        "closes": window.closes,
        "back_at": 0,
        "back_done": 0,
        "again": 0,
        "unheard": [],
        "gates": {incarnation: [node, False, 0, 0, {}] for incarnation, node in required.items()},
    }


@dataclass(slots=True)
class DrainExecutor:
    """Decides the next changes on the primary. Losing its memory in a failover only delays moves."""

    hours: ContractHours
    reports: dict[str, dict[str, list[Any]]] = field(default_factory=dict)  # move key -> incarnation -> latest report
    _absent_since: dict[str, int] = field(default_factory=dict)  # incarnation missing in the gateway list -> since when
    _reports_written_at: int = -FOREVER_US

    def record_report(
        self, key: str, node: str, incarnation: str, away: bool, began: int, left: int, ends: dict[str, int]
    ) -> None:
        """Records a gateway's report on a move: whether it avoids the node (`away`), how many requests of the tenant
        were in flight there at that moment (`began`), how many may still be (`left`), and how the others ended."""
        # the exact number of requests left is not stored: each change of it would be a write
        self.reports.setdefault(key, {})[incarnation] = [node, away, began, min(left, 1), ends]

    def step(self, facts: DrainState) -> dict[str, Any]:
        """The records to write now. The next step must wait until they are in effect."""
        self.hours.set_contracts(facts.contracts)
        incarnations = {gate["life"] for gate in facts.gateways.values()}
        self._absent_since = {
            incarnation: self._absent_since.get(incarnation, facts.now)
            for move in facts.moves.values()
            for incarnation in move["gates"]
            if incarnation not in incarnations
        }
        self.reports = {key: reports for key, reports in self.reports.items() if key in facts.moves}
        changes: dict[str, Any] = {}
        for key, move in facts.moves.items():
            updated = self._apply_reports(key, move, facts)
            if updated != move:
                changes[f"move/{key}"] = updated
        moves = {**facts.moves, **{key.removeprefix("move/"): value for key, value in changes.items()}}
        if abs(facts.now - self._reports_written_at) >= SECOND_US:
            self._reports_written_at = facts.now
        else:  # changes by reports alone are written at most once a second
            changes = {
                key: value
                for key, value in changes.items()
                if value["state"] != facts.moves[key.removeprefix("move/")]["state"]
            }
        for name, order in facts.orders.items():
            state, reason = self._order_state(name, order, moves, facts)
            if (state, reason) != (order["state"], order["why_state"]):
                finished_at = facts.now if state not in ("open", "empty") else 0
                changes[f"drain/{name}"] = order | {
                    "state": state,
                    "why_state": reason,
                    "over": order["over"] or finished_at,
                    "empty": order["empty"] or (facts.now if state == "empty" else 0),
                }
        last_move_at = last_move_time(facts)
        if abs(facts.now - last_move_at) >= self.hours.pace:
            changes |= self._next_move(facts)
        return changes | (self._old_orders(facts) if not changes else {})

    # ---- reports of gateways

    def _apply_reports(self, key: str, move: Record, facts: DrainState) -> Record:
        if move["state"] in ("moved", "returned"):
            return self._reopen(key, move, facts)
        reports = {incarnation: list(report) for incarnation, report in move["gates"].items()}
        for incarnation, report in self.reports.get(key, {}).items():
            if move["kind"] == "backend" or incarnation in reports:
                reports[incarnation] = list(report)
        unheard = set(move["unheard"])
        outward = move["way"] == "out"
        settled = True
        for incarnation, report in reports.items():
            node, avoiding, began, left, ends = report
            listed = facts.gateways.get(node)
            if listed is not None and listed["life"] == incarnation:
                settled = settled and (avoiding and not left if outward else not avoiding)
            elif (avoiding == outward) and not left:
                continue
            elif (
                listed is not None
                or facts.now - self._absent_since.get(incarnation, facts.now) >= ABSENT_GATEWAY_TIMEOUT_US
            ):
                # it restarted or has been absent for long: its requests at the node are over
                unknown = max(0, began - sum(ends.values()))
                report[3], report[4] = 0, ends | ({"unknown": unknown} if unknown else {})
                if listed is None:
                    unheard.add(node)
                report[1] = outward
            else:
                settled = False
        if move["kind"] == "backend":
            settled = settled and all(gate["life"] in reports for gate in facts.gateways.values())
        updated = move | {"gates": reports, "unheard": sorted(unheard)}
        if settled:
            updated |= (
                {"state": "moved", "done": facts.now} if outward else {"state": "returned", "back_done": facts.now}
            )
        return updated

    def _reopen(self, key: str, move: Record, facts: DrainState) -> Record:
        """Reopens a settled move if a gateway that was no longer waited for is back and has not followed it."""
        incarnations = {gate["life"] for gate in facts.gateways.values()}
        reports = self.reports.pop(key, {})
        deviating = {
            incarnation: list(report)
            for incarnation, report in reports.items()
            if incarnation in incarnations
            and report[1] != (move["way"] == "out")
            and (move["kind"] == "backend" or incarnation in move["gates"])
        }
        if not deviating:
            return move
        return move | {"state": "leaving" if move["way"] == "out" else "returning", "gates": move["gates"] | deviating}

    # ---- orders

    def _node_present(self, kind: str, node: str, order: Record, facts: DrainState) -> bool:
        if kind == "backend":
            return facts.ready(node)
        return node in facts.gateways and facts.gateways[node]["life"] == order["lives"].get(node)

    def _order_state(self, name: str, order: Record, moves: Mapping[str, Record], facts: DrainState) -> tuple[str, str]:
        present = [(kind, node) for kind, node in order["nodes"] if self._node_present(kind, node, order, facts)]
        unmoved = [
            unit for unit in move_units(present, facts.tenants) if not self._all_moves_in(name, unit, moves, ("moved",))
        ]
        if order["cancelled"]:
            return ("cancelled" if present else "done"), order["why_state"]
        if order["state"] == "done":  # an isolated gateway had been taken off the list
            return (
                ("ended", "its node is back: cancel the order, or end the node")
                if present
                else ("done", order["why_state"])
            )
        if not present:
            never_moved = [
                unit
                for unit in move_units([tuple(n) for n in order["nodes"]], facts.tenants)
                if not self._all_moves_in(name, unit, moves, None)
            ]
            names = sorted({tenant or "public routes" for unit in never_moved for tenant in unit.tenants})
            return "done", "the node ended before these had moved: " + ", ".join(names) if names else ""
        if order["state"] == "ended":
            return "ended", order["why_state"]
        if not unmoved:
            return "empty", ""
        if facts.now > order["due"]:
            obstacles = capacity_obstacles(facts, order["kind"], present, name)
            reasons = obstacles or [self._unfinished_reason(name, unit, moves) for unit in unmoved]
            return "ended", "due, and not moved: " + "; ".join(reasons)
        return "open", ""

    def _unfinished_reason(self, name: str, unit: MoveUnit, moves: Mapping[str, Record]) -> str:
        names = f"{unit.node} " + (", ".join(tenant or "public routes" for tenant in unit.tenants))
        unit_moves = [moves.get(move_key(name, unit.node, tenant)) for tenant in unit.tenants]
        if any(unit_moves):
            waiting_for = sorted(
                {
                    report[0]
                    for move in unit_moves
                    if move
                    for report in move["gates"].values()
                    if not report[1] or report[3]
                }
            )
            return f"{names}: on its way, waits for {', '.join(waiting_for) or 'its record'}"
        return f"{names}: its hours were not open"

    def _all_moves_in(
        self, name: str, unit: MoveUnit, moves: Mapping[str, Record], states: tuple[str, ...] | None
    ) -> bool:
        unit_moves = [moves.get(move_key(name, unit.node, tenant)) for tenant in unit.tenants]
        return all(move is not None and (states is None or move["state"] in states) for move in unit_moves)

    # ---- moves

    def _next_move(self, facts: DrainState) -> dict[str, Any]:
        """At most one move over all orders, so that the other nodes can absorb the load."""
        candidates: list[tuple[int, MoveUnit, str, Window]] = []
        for name, order in sorted(facts.orders.items()):
            for unit in self._due_units(name, order, facts):
                window = self.hours.next_window(unit, facts.now)
                if window is not None and window.opens <= facts.now:
                    candidates.append((window.closes, unit, name, window))
        if not candidates:
            return {}
        _, unit, name, window = min(candidates)
        changes: dict[str, Any] = {}
        for tenant in unit.tenants:
            key = move_key(name, unit.node, tenant)
            existing = facts.moves.get(key)
            until = 0 if window.closes == FOREVER_US else window.closes
            if facts.orders[name]["cancelled"]:
                if existing is not None and existing["state"] in ("leaving", "moved", "returning"):
                    at = facts.now
                    changes[f"move/{key}"] = existing | {
                        "way": "back",
                        "state": "returning",
                        "back_at": at,
                        "until": until,
                    }
            elif existing is None:
                changes[f"move/{key}"] = new_move(name, unit, tenant, facts, window)
            elif existing["state"] == "leaving":
                self.reports.pop(key, None)
                changes[f"move/{key}"] = existing | {"until": until, "at": facts.now, "again": existing["again"] + 1}
        return changes

    def _due_units(self, name: str, order: Record, facts: DrainState) -> list[MoveUnit]:
        """Units of an order that are to be moved as soon as their hours are open."""
        nodes = [(kind, node) for kind, node in order["nodes"] if self._node_present(kind, node, order, facts)]
        state = order["state"]
        if order["cancelled"]:
            return [unit for unit in move_units(nodes, facts.tenants) if self._must_return(name, unit, facts)]
        if state not in ("open", "empty", "ended"):
            return []
        due = [unit for unit in move_units(nodes, facts.tenants) if self._must_repeat(name, unit, facts)]
        if state == "open" and not capacity_obstacles(facts, order["kind"], nodes, name):
            due += [
                unit
                for unit in move_units(nodes, facts.tenants)
                if not self._all_moves_in(name, unit, facts.moves, None)
                and facts.now <= self.hours.expires_at(unit, order)
            ]
        return due

    def _must_return(self, name: str, unit: MoveUnit, facts: DrainState) -> bool:
        unit_moves = [
            move for tenant in unit.tenants if (move := facts.moves.get(move_key(name, unit.node, tenant))) is not None
        ]
        return any(
            move["state"] in ("leaving", "moved") or self._expired_unfollowed(move, facts) for move in unit_moves
        )

    def _must_repeat(self, name: str, unit: MoveUnit, facts: DrainState) -> bool:
        unit_moves = [
            move for tenant in unit.tenants if (move := facts.moves.get(move_key(name, unit.node, tenant))) is not None
        ]
        return any(self._expired_unfollowed(move, facts) for move in unit_moves)

    @staticmethod
    def _expired_unfollowed(move: Record, facts: DrainState) -> bool:
        """Whether the move expired before a gateway that is present now followed it; it is then repeated in hours."""
        if move["state"] not in ("leaving", "returning") or not move["until"] or facts.now <= move["until"]:
            return False
        outward = move["way"] == "out"
        return any(
            report[1] != outward and report[0] in facts.gateways and facts.gateways[report[0]]["life"] == incarnation
            for incarnation, report in move["gates"].items()
        )

    # ---- deletion of old orders

    def _old_orders(self, facts: DrainState) -> dict[str, Any]:
        """Deletes the oldest finished orders: those whose nodes are gone or whose tenants have all returned."""
        finished = sorted(
            (order["over"], name)
            for name, order in facts.orders.items()
            if order["state"] == "done"
            or order["cancelled"]
            and all(move["state"] == "returned" for move in facts.moves.values() if move["order"] == name)
        )
        changes: dict[str, Any] = {}
        for _, name in finished[:-MAX_FINISHED_ORDERS]:
            changes[f"drain/{name}"] = None
            changes |= {f"move/{key}": None for key, move in facts.moves.items() if move["order"] == name}
        return changes


def outside_hours_record(facts: DrainState, hours: ContractHours, name: str, why: str) -> Record | None:
    """The record of a backend that leaves without an order, or None if that moves no tenant outside its hours."""
    hours.set_contracts(facts.contracts)
    moved_in_hours = {move["tenant"] for move in facts.moves.values() if move["node"] == name and move["way"] == "out"}
    affected = []
    for tenant in facts.tenants:
        calendar = hours.calendar(tenant)
        if tenant not in moved_in_hours and calendar is not None and not (facts.now and calendar.is_open(facts.now)):
            affected.append(tenant)
    if not affected:
        return None
    return {"at": facts.now, "why": why, "tenants": affected}
