"""Drains in simulated time: the real executor and the real move followers with injected faults, checked by a simple
model with the wall clock of each tenant and a list of all requests.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from oakvale.drains.execution import DrainExecutor
from oakvale.drains.hours import MINUTES_PER_DAY, SECOND_US, Contract, Span
from oakvale.drains.moves import MoveFollower, effective_exclusions
from oakvale.drains.planning import (
    ACTIVE_ORDER_STATES,
    GATEWAY_LEAD_US,
    PUBLIC_TENANT,
    ContractHours,
    DrainPlan,
    DrainState,
    plan_drain,
    target_nodes,
)

TICK = 4 * SECOND_US
PACE = 5 * SECOND_US
MINUTE = 60 * SECOND_US
NOON = 1_796_212_800 * SECOND_US  # 12:00 UTC on a Wednesday
OFFSETS = {"UTC": 0, "Asia/Jakarta": 7 * 60, "America/Jamaica": -5 * 60}  # zones without daylight saving, in minutes


def in_hours(contract: Contract | None, at: int) -> bool:
    """Slow check: whether a span of today, or one of yesterday past midnight, contains this second."""
    if contract is None:
        return True
    minutes = at // MINUTE + OFFSETS[contract.zone]
    day, minute = divmod(minutes, MINUTES_PER_DAY)
    weekday = (day + 3) % 7  # the first of January 1970 was a Thursday
    today = any(
        span.begin <= minute < (span.end if span.end > span.begin else 10 * MINUTES_PER_DAY)
        for span in contract.week[weekday]
    )
    return today or any(span.end <= span.begin and minute < span.end for span in contract.week[weekday - 1])


@dataclass(eq=False)
class Request:
    gate: Gate
    tenant: str
    service: str
    node: str  # the backend
    ends: int
    runs: int = 1


@dataclass(eq=False)
class Gate:
    node: str
    zone: str
    incarnation: str
    moves: MoveFollower
    isolated_since: int = 0  # 0: connected
    skew: int = 0
    first_update: bool = True
    backends: dict[str, Any] = field(default_factory=dict)
    watch: dict[str, list[Request]] = field(default_factory=dict)  # move key -> requests in flight when it began
    opened: dict[str, int] = field(default_factory=dict)


class DrainSimulation:
    """A core primary, gateways, backends and requests."""

    def __init__(self, seed: int, faults: bool = True) -> None:
        self.rng = rng = random.Random(seed)
        self.faults, self.now = faults, NOON + rng.randrange(60) * SECOND_US
        self.tenants = (PUBLIC_TENANT, "ana", "ben", "cai")[: rng.randint(2, 4)]
        self.contracts = {name: self._contract(name) for name in self.tenants[1:] if rng.random() < 0.8}
        self.orders: dict[str, Any] = {}
        self.moves: dict[str, Any] = {}
        self.backends: dict[str, Any] = {
            f"{service}-{zone}{n}": {"svc": service, "az": zone, "state": "ready"}
            for service in ("book", "rate")
            for zone in ("east", "west")
            for n in range(rng.randint(1, 3))
        }
        self.incarnation_count = 0
        self.gates: dict[str, Gate] = {}
        for zone in ("east", "west"):
            for n in range(rng.randint(2, 3)):
                self.start(f"gate-{zone}{n}", zone)
        self.listed = self._gateway_list()
        self.hours = ContractHours(PACE)
        self.executor = DrainExecutor(self.hours)
        self.no_primary_until = 0
        self.requests: list[Request] = []
        self.sent = self.ended = 0
        self.plans: dict[str, DrainPlan] = {}
        self.refused: list[list[str]] = []
        self.counted: dict[str, int] = {}
        self.tick()

    def _contract(self, name: str) -> Contract:
        rng, zone = self.rng, self.rng.choice(list(OFFSETS))
        begin = (self.now // MINUTE + OFFSETS[zone] + rng.randint(-3, 5)) % MINUTES_PER_DAY
        spans = []
        for _ in range(rng.choice((0, 1, 1, 2, 2))):
            length = rng.choice((1, 3, 5, 8, 600))
            spans.append(Span(begin, (begin + length) % MINUTES_PER_DAY or MINUTES_PER_DAY))
            begin = (begin + length + rng.randint(0, 3)) % MINUTES_PER_DAY
        return Contract(name, zone, (tuple(spans),) * 7, notice=rng.choice((3, 9, 1000)) * MINUTE)

    def start(self, node: str, zone: str) -> None:
        self.incarnation_count += 1
        incarnation = f"life{self.incarnation_count}"
        self.gates[node] = Gate(node, zone, incarnation, MoveFollower(node, incarnation), backends=dict(self.backends))

    def _gateway_list(self) -> dict[str, Any]:
        """The gateway list, without gateways that have been isolated for long."""
        return {
            gate.node: {"az": gate.zone, "life": gate.incarnation}
            for gate in self.gates.values()
            if not gate.isolated_since or self.now - gate.isolated_since < 3 * TICK
        }

    def facts(self) -> DrainState:
        return DrainState(self.now, self.orders, self.moves, self.backends, self.listed, self.tenants, self.contracts)

    # ---- operators and faults

    def order(self, name: str, kind: str, target: str, within: int) -> DrainPlan:
        given = {"kind": kind, "target": target, "by": "ana", "why": "a test", "due": self.now + within, "at": self.now}
        facts = self.facts()
        self.hours.set_contracts(self.contracts)
        found = plan_drain(facts, self.hours, given)
        if found.obstacles:
            self.refused.append(found.obstacles)
            return found
        nodes = target_nodes(facts, kind, target)
        incarnations = {node: self.listed[node]["life"] for what, node in nodes if what == "gateway"}
        self.orders[name] = given | {
            "nodes": [list(node) for node in nodes],
            "lives": incarnations,
            "state": "open",
            "why_state": "",
            "cancelled": False,
            "empty": 0,
            "over": 0,
        }
        self.plans[name] = found
        return found

    def cancel(self, name: str) -> None:
        if self.orders[name]["state"] in ACTIVE_ORDER_STATES:
            self.orders[name] |= {
                "state": "cancelled",
                "cancelled": True,
                "why_state": "cancelled by ana: a test",
                "over": self.now,
            }

    def leave(self, backend: str) -> None:
        """The backend leaves; gateways that receive its new state send it no more requests."""
        self.backends[backend] = self.backends[backend] | {"state": "drain"}

    def restart(self, node: str) -> None:
        gate = self.gates[node]
        self.requests = [request for request in self.requests if request.gate is not gate]
        self.start(node, gate.zone)
        self.listed = self._gateway_list()

    def inject_fault(self) -> None:
        rng = self.rng
        gate = rng.choice(list(self.gates.values()))
        kind = rng.choice(("cut", "cut", "kill", "skew", "primary", "leave", "cancel", "order", "mend"))
        if kind == "cut":
            gate.isolated_since = gate.isolated_since or self.now
        elif kind == "mend":
            for gate in self.gates.values():
                gate.isolated_since, gate.skew = 0, 0
        elif kind == "kill":
            self.restart(gate.node)
        elif kind == "skew":
            gate.skew = rng.choice((-6, 6)) * SECOND_US
        elif kind == "primary":
            self.no_primary_until = self.now + rng.choice((0, 3 * TICK))
            self.executor = DrainExecutor(self.hours)
        elif kind == "leave" and rng.random() < 0.3:
            self.leave(rng.choice(list(self.backends)))
        elif kind == "cancel" and self.orders:
            self.cancel(rng.choice(list(self.orders)))
        elif kind == "order":
            self.random_order()

    def heal(self) -> None:
        self.faults = False
        for gate in self.gates.values():
            gate.isolated_since, gate.skew = 0, 0

    def random_order(self) -> None:
        kind = self.rng.choice(("backend", "backend", "backend", "gateway", "gateway", "zone"))
        target = self.rng.choice(
            {"backend": list(self.backends), "gateway": list(self.gates), "zone": ["east", "west"]}[kind]
        )
        self.order(f"o{len(self.orders)}", kind, target, self.rng.choice((2, 3, 4)) * MINUTE)

    # ---- time

    def tick(self) -> None:
        self.listed = self._gateway_list()
        if self.now >= self.no_primary_until:
            changes = self.executor.step(self.facts())
            for key, value in changes.items():
                table = self.orders if key.startswith("drain/") else self.moves
                name = key.split("/", 1)[1]
                if value is None:
                    table.pop(name)
                    continue
                if table is self.moves and value["state"] == "moved" != table.get(name, {}).get("state"):
                    self.check_settled_move(value)
                if table is self.moves:
                    self.check_new_move(table.get(name), value)
                table[name] = value
            if changes and self.faults and self.rng.random() < 0.05:  # killed before the move reaches the gateways
                self.no_primary_until, self.executor = self.now + 2 * TICK, DrainExecutor(self.hours)
        for gate in self.gates.values():
            if not gate.isolated_since and (self.now >= self.no_primary_until or gate.first_update):
                self.deliver_moves(gate)
            self.send_request(gate)
        for request in [request for request in self.requests if request.ends <= self.now]:
            self.requests.remove(request)
            self.ended += 1
        if self.now >= self.no_primary_until:
            for gate in self.gates.values():
                if not gate.isolated_since:
                    self.send_reports(gate)
        self.now += TICK

    def is_settled(self) -> bool:
        return not any(order["state"] == "open" for order in self.orders.values()) and not any(
            move["state"] == "leaving" for move in self.moves.values()
        )

    def run(self, span: int, until_end: bool = True) -> None:
        end = self.now + span
        while self.now < end and (until_end or not self.is_settled()):
            if self.faults and self.rng.random() < 0.06:
                self.inject_fault()
            self.tick()

    def deliver_moves(self, gate: Gate) -> None:
        before = set(gate.moves.followed)
        gate.moves.update(self.moves.items(), self.now + gate.skew, gate.first_update)
        for key in before ^ gate.moves.followed:
            move = self.moves.get(key)
            if move is None:
                continue
            if not gate.first_update:
                contract = self.contracts.get(move["tenant"])
                assert in_hours(contract, self.now), f"{move['tenant']} moved outside its hours at {gate.node}"
                assert move["kind"] == "gateway" or in_hours(contract, self.now + PACE)
            if move["way"] == "out":
                gate.watch[key] = (
                    []
                    if gate.first_update
                    else [
                        request
                        for request in self.requests
                        if request.gate is gate
                        and request.tenant == move["tenant"]
                        and move["node"] in (request.node, gate.node)
                    ]
                )
                gate.opened[key] = len(gate.watch[key])
        gate.first_update, gate.backends = False, dict(self.backends)

    def send_request(self, gate: Gate) -> None:
        tenant, service = self.rng.choice(self.tenants), self.rng.choice(("book", "rate"))
        ready = {name: b["state"] == "ready" for name, b in gate.backends.items() if b["svc"] == service}
        avoid = gate.moves.avoided_backends.get(tenant, frozenset())
        excluded = effective_exclusions(ready, avoid)
        usable = [name for name, is_ready in ready.items() if is_ready and name not in excluded]
        if not usable:
            return
        node = self.rng.choice(usable)
        assert node not in avoid or set(usable) <= avoid, f"{tenant} is sent to {node} after its move"
        if gate.moves.gateway_draining and self.rng.random() < 0.7:
            return  # clients reconnect to other gateways
        self.sent += 1
        self.requests.append(Request(gate, tenant, service, node, self.now + self.rng.choice((1, 2, 9)) * TICK))

    def send_reports(self, gate: Gate) -> None:
        for key, move in gate.moves.pending_moves().items():
            watch = [request for request in gate.watch.get(key, ()) if request in self.requests]
            remaining = watch if move["kind"] == "backend" else [r for r in self.requests if r.gate is gate]
            began = gate.opened.get(key, 0)
            self.executor.record_report(
                key,
                gate.node,
                gate.incarnation,
                key in gate.moves.followed,
                began,
                len(remaining),
                {"served": began - len(watch)} if began > len(watch) else {},
            )

    # ---- checks

    def check_new_move(self, previous: dict[str, Any] | None, move: dict[str, Any]) -> None:
        """The move is inside the hours even if a clock is off by some seconds."""
        if previous is None or (previous["at"], previous["back_at"]) != (move["at"], move["back_at"]):
            lead = GATEWAY_LEAD_US if move["kind"] == "gateway" else PACE
            for at in (self.now - 9 * SECOND_US, self.now, self.now + lead + 9 * SECOND_US):
                assert in_hours(self.contracts.get(move["tenant"]), at), f"{move['tenant']} moves too near the edge"

    def check_settled_move(self, move: dict[str, Any]) -> None:
        """A tenant counts as moved only when no connected gateway has a request of it at the node."""
        for request in self.requests:
            gate = request.gate
            if request.tenant != move["tenant"] or gate.node in move["unheard"] or gate.isolated_since:
                continue
            if move["kind"] == "backend" and request.node == move["node"] and not self._no_alternative(request):
                assert gate.incarnation not in move["gates"], (
                    f"{move['tenant']} counts as moved, with a request at {gate.node}"
                )
        for incarnation, (node, away, began, left, ends) in move["gates"].items():
            assert away and not left and sum(ends.values()) == began, (
                f"{node} {incarnation}: {began} in flight, ended {ends}"
            )

    def _no_alternative(self, request: Request) -> bool:
        """Whether the request uses the excluded backend because no other backend of its service is ready."""
        ready = {name: b["state"] == "ready" for name, b in self.backends.items() if b["svc"] == request.service}
        return not any(
            is_ready
            for name, is_ready in ready.items()
            if name not in request.gate.moves.avoided_backends.get(request.tenant, frozenset())
        )

    def check_end(self) -> None:
        for name, order in self.orders.items():
            assert order["state"] != "open", f"{name} is still open"
            if order["state"] == "ended":
                assert order["why_state"]
            if order["state"] == "empty":
                left = [move for move in self.moves.values() if move["order"] == name]
                assert left and all(move["state"] == "moved" for move in left)
        for key, move in self.moves.items():
            for gate in self.gates.values() if move["state"] in ("moved", "returned") else ():
                if move["kind"] == "backend" or gate.incarnation in move["gates"]:
                    assert (key in gate.moves.followed) == (move["way"] == "out"), f"{gate.node} missed {key}"
        assert all(all(reasons) for reasons in self.refused)
        times = sorted({move["at"] for move in self.moves.values()} | {m["back_at"] for m in self.moves.values()} - {0})
        assert all(later - sooner >= PACE for sooner, later in zip(times, times[1:], strict=False)), (
            "moves without the minimum distance"
        )
        assert self.ended + len(self.requests) <= self.sent


__all__ = ["GATEWAY_LEAD_US", "MINUTE", "NOON", "PACE", "TICK", "DrainSimulation", "in_hours"]
