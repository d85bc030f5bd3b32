"""Drains on a core machine: the file of contracts, the agreed time, and the hand of the primary that makes the moves.

Nothing of this is there unless a file of contracts is.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

import orjson

from oakvale.base.loop import Loop
from oakvale.config import contracts
from oakvale.config.toml_table import BadFile
from oakvale.controlplane.core import Core, address_of
from oakvale.drains import report
from oakvale.drains.agreed_clock import Agreement
from oakvale.drains.execution import KEPT, Course, outside
from oakvale.drains.hours import Contract
from oakvale.drains.planning import PUBLIC, Facts, Hours, Plan, plan, targets
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.transport.links import Answer, Connection, Transport

STEP = 500_000  # microseconds between two steps
TELL = 1_000_000  # between two words of this machine's clock
LOOK = 2_000_000  # between two looks at the file
AGAIN = 10_000_000  # before an order of the file whose plan has obstacles is planned anew
MOST_OUTSIDE = 500  # records of moves outside hours that are kept, the latest

log_event = EventLogger(__name__)


class DrainManager:
    def __init__(
        self, core: Core, loop: Loop, transport: Transport, path: str, pace: int, wall: Callable[[], int] | None = None
    ) -> None:
        """`pace`: between two moves, and what one takes to be in effect everywhere (the bound `apply`)."""
        self._core, self._loop, self._transport, self._path = core, loop, transport, path
        self._wall = wall or (lambda: loop.net.unix_time() // 1000)
        self.contracts: contracts.Contracts | None = None
        self._serves_since: int | None = None
        self.hours = Hours(pace)
        self.course = Course(self.hours)
        self.clock = Agreement()
        self._writing = False
        self._config: tuple[int, tuple[str, ...]] = (-1, ())
        self._refused: dict[str, tuple[list[str], int]] = {}  # orders of the file, why and when
        self._stamp: tuple[int, int] | None = None
        transport.handlers["clock"] = self._clock
        transport.handlers["towed"] = self._towed
        core.on_serving_change.append(self._turned)
        self.reload()
        loop.at(loop.now, self._tell)
        loop.at(loop.now + STEP, self._step)
        loop.at(loop.now + LOOK, self._look)

    # ---- the file

    def reload(self) -> None:
        """Reads the file anew. One that can't be used changes nothing; at the start it leaves all hours closed."""
        self._stamp = self._stamped()
        try:
            self.contracts = contracts.load(self._path)
        except BadFile as error:
            return log_event("contracts refused", "error", why=str(error))
        log_event(
            "contracts",
            file=self._path,
            tenants=",".join(sorted(self.contracts.by_tenant)),
            orders=",".join(order.name for order in self.contracts.orders),
        )

    def _stamped(self) -> tuple[int, int] | None:
        try:
            found = os.stat(self._path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size

    def _look(self, _: Any) -> None:
        self._loop.at(self._loop.now + LOOK, self._look)
        if self._stamped() not in (None, self._stamp):
            self.reload()

    # ---- the clock

    def _tell(self, _: Any) -> None:
        now, wall, view = self._loop.now, self._wall(), self._core.view()
        self._loop.at(now + TELL, self._tell)
        self.clock.hear(self._core.self_id[0], wall, now)
        if view is not None:
            for peer in view.witnesses:
                if peer[0] != self._core.self_id[0]:
                    self._transport.tell(address_of(peer), "clock", [self._core.self_id[0], wall])
            self.clock.look(now, len({peer[0] for peer in view.witnesses} | {self._core.self_id[0]}))

    def _clock(self, conn: Connection, body: Any, _: Answer) -> None:
        self.clock.hear(str(body[0]), int(body[1]), self._loop.now)

    def now(self) -> int | None:
        return self.clock.time(self._loop.now)

    # ---- the hand

    def facts(self, now: int) -> Facts:
        table = self._core.replicated_state.table
        held = table.get("config")
        if held is not None and held["gen"] != self._config[0]:
            data = orjson.loads(bytes(held["text"]))
            tenants = data.get("tenants") or {"cols": [], "rows": []}
            at = tenants["cols"].index("name") if "name" in tenants["cols"] else 0
            self._config = (held["gen"], tuple(sorted(str(row[at]) for row in tenants["rows"])))
        return Facts(
            now,
            dict(table.items("drain/")),
            dict(table.items("move/")),
            dict(table.items("backend/")),
            dict(table.items("gate/")),
            (PUBLIC, *self._config[1]),
            self._by_tenant(),
        )

    def _by_tenant(self) -> dict[str, Contract]:
        return self.contracts.by_tenant if self.contracts is not None else {}

    def plan(self, order: dict[str, Any], now: int) -> Plan:
        self.hours.use(self._by_tenant())
        return plan(self.facts(now), self.hours, order)

    def _turned(self, serves: bool) -> None:
        self._writing, self._serves_since = False, self._loop.now if serves else None
        self.course = Course(self.hours)

    def order_entry(self, given: dict[str, Any], now: int) -> tuple[dict[str, Any], Plan]:
        """An order as it is kept, if its plan has no obstacle."""
        plan, facts = self.plan(given | {"at": now}, now), self.facts(now)
        nodes = targets(facts, given["kind"], given["target"])
        lives = {node: facts.gates[node]["life"] for kind, node in nodes if node in facts.gates}
        return given | {
            "at": now,
            "nodes": [list(node) for node in nodes],
            "lives": lives,
            "state": "open",
            "why_state": "",
            "cancelled": False,
            "empty": 0,
            "over": 0,
        }, plan

    def _written_ahead(self, now: int) -> dict[str, Any]:
        """The first order of the file that is due to be given and has not been."""
        since = self._loop.now if self._serves_since is None else self._serves_since
        for order in self.contracts.orders if self.contracts is not None else ():
            why, asked = self._refused.get(order.name, ([], -AGAIN))
            if (
                self._loop.now - since < order.after
                or self._loop.now - asked < AGAIN
                or self._core.replicated_state.latest(f"drain/{order.name}") is not None
            ):
                continue
            entry, plan = self.order_entry(
                {
                    "kind": order.kind,
                    "target": order.target,
                    "by": order.by,
                    "why": order.why,
                    "due": now + order.within,
                },
                now,
            )
            if not plan.obstacles:
                return {f"drain/{order.name}": entry}
            self._refused[order.name] = (plan.obstacles, self._loop.now)
            if why != plan.obstacles:
                log_event("order of the file waits", "warning", order=order.name, why="; ".join(plan.obstacles)[:300])
        return {}

    def _step(self, _: Any) -> None:
        self._loop.at(self._loop.now + STEP, self._step)
        now, table = self.now(), self._core.replicated_state.table
        if not self._core.serving() or self._writing or now is None or self.contracts is None:
            return
        if self.contracts.orders and (given := self._written_ahead(now)):
            self._writing = True
            log_event("drain ordered", order=next(iter(given)), by="the file of contracts")
            return self._core.change(given, self._written)
        orders, records = table.items("drain/"), table.items("outside/")
        calm = len(orders) <= KEPT and not any(
            order["state"] != "done" or table.get(f"{'gate' if kind == 'gateway' else kind}/{node}") is not None
            for _, order in orders
            for kind, node in order["nodes"]
        )
        changes = {} if calm else self.course.step(self.facts(now))
        for order in self.contracts.orders:  # it would be given again
            if changes.get(f"drain/{order.name}", order) is None:
                changes = {key: value for key, value in changes.items() if value is not None}
        if len(records) > MOST_OUTSIDE:
            oldest = sorted(records, key=lambda item: item[1]["at"])[:-MOST_OUTSIDE]
            changes |= {f"outside/{name}": None for name, _ in oldest}
        if changes:
            self._writing = True
            for key, value in changes.items():
                if value is not None and value["state"] != (table.get(key) or {}).get("state"):
                    log_event("drain", key=key, state=value["state"], why=value.get("why_state", ""))
            self._core.change(changes, self._written)

    def _written(self, done: bool) -> None:
        self._writing = False

    def _towed(self, conn: Connection, body: Any, _: Answer) -> None:
        if self._core.serving():
            node, life = str(body[0]), str(body[1])
            for key, away, began, left, ends in body[2]:
                self.course.hear(str(key), node, life, bool(away), int(began), int(left), dict(ends))

    def departure_changes(self, name: str, why: str) -> dict[str, Any]:
        """What is to be written with a backend's own leaving: whose hours it did not ask."""
        if self.contracts is None or self._core.replicated_state.latest(f"outside/{name}") is not None:
            return {}
        record = outside(self.facts(self.now() or 0), self.hours, name, why)
        if record is None:
            return {}
        log_event("moved outside hours", "warning", backend=name, why=why, tenants=",".join(record["tenants"]))
        return {f"outside/{name}": record}

    def status(self, only: str = "") -> dict[str, Any]:
        table, now = self._core.replicated_state.table, self.now()
        return {"time": report.stamp(now) if now is not None else "unknown: the clocks don't agree"} | report.told(
            table.items("drain/"), table.items("move/"), table.items("outside/"), only
        )
