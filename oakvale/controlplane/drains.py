"""Drains on a core machine: reads the contracts file, agrees on the time of day and executes moves on the primary.

Active only if a contracts file exists.
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
from oakvale.drains.agreed_clock import ClockAgreement
from oakvale.drains.execution import MAX_FINISHED_ORDERS, DrainExecutor, outside_hours_record
from oakvale.drains.hours import Contract
from oakvale.drains.planning import PUBLIC_TENANT, ContractHours, DrainPlan, DrainState, plan_drain, target_nodes
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.transport.links import Answer, Connection, Transport

STEP_INTERVAL_US = 500_000
CLOCK_SEND_INTERVAL_US = 1_000_000
FILE_CHECK_INTERVAL_US = 2_000_000
ORDER_RETRY_DELAY_US = 10_000_000  # before an order of the file whose plan has obstacles is planned again
MAX_OUTSIDE_RECORDS = 500  # the latest moves outside contract hours

log_event = EventLogger(__name__)


class DrainManager:
    """Keeps the contracts and the agreed clock, and executes drain orders while this replica serves."""

    def __init__(
        self,
        core: Core,
        loop: Loop,
        transport: Transport,
        path: str,
        pace_us: int,
        wall: Callable[[], int] | None = None,
    ) -> None:
        """`pace_us`: the time between two moves, which is also how long one takes to reach all gateways (the bound
        `apply`); `wall`: the time of day in microseconds."""
        self._core, self._loop, self._transport, self._path = core, loop, transport, path
        self._wall_time = wall or (lambda: loop.net.unix_time() // 1000)
        self.contracts: contracts.Contracts | None = None
        self._serving_since: int | None = None
        self.hours = ContractHours(pace_us)
        self.executor = DrainExecutor(self.hours)
        self.clock = ClockAgreement()
        self._change_pending = False
        self._config: tuple[int, tuple[str, ...]] = (-1, ())
        # orders of the file -> obstacles and time of the latest plan
        self._refused: dict[str, tuple[list[str], int]] = {}
        self._file_stamp: tuple[int, int] | None = None
        transport.handlers["clock"] = self._on_clock
        transport.handlers["towed"] = self._on_move_report
        core.on_serving_change.append(self._serving_changed)
        self.reload()
        loop.at(loop.now, self._send_clock)
        loop.at(loop.now + STEP_INTERVAL_US, self._step)
        loop.at(loop.now + FILE_CHECK_INTERVAL_US, self._check_file)

    # ---- the contracts file

    def reload(self) -> None:
        """Reads the file again. An invalid one changes nothing; at the start it leaves all contract hours closed."""
        self._file_stamp = self._read_file_stamp()
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

    def _read_file_stamp(self) -> tuple[int, int] | None:
        try:
            info = os.stat(self._path)
        except OSError:
            return None
        return info.st_mtime_ns, info.st_size

    def _check_file(self, _: Any) -> None:
        self._loop.at(self._loop.now + FILE_CHECK_INTERVAL_US, self._check_file)
        if self._read_file_stamp() not in (None, self._file_stamp):
            self.reload()

    # ---- the clock

    def _send_clock(self, _: Any) -> None:
        now, wall, view = self._loop.now, self._wall_time(), self._core.view()
        self._loop.at(now + CLOCK_SEND_INTERVAL_US, self._send_clock)
        self.clock.record(self._core.self_id[0], wall, now)
        if view is not None:
            for peer in view.witnesses:
                if peer[0] != self._core.self_id[0]:
                    self._transport.tell(address_of(peer), "clock", [self._core.self_id[0], wall])
            self.clock.update(now, len({peer[0] for peer in view.witnesses} | {self._core.self_id[0]}))

    def _on_clock(self, conn: Connection, body: Any, _: Answer) -> None:
        self.clock.record(str(body[0]), int(body[1]), self._loop.now)

    def now(self) -> int | None:
        """The agreed time of day, or None while the clocks do not agree."""
        return self.clock.agreed_time(self._loop.now)

    # ---- execution on the primary

    def facts(self, now: int) -> DrainState:
        """The control state that planning depends on."""
        table = self._core.replicated_state.table
        config = table.get("config")
        if config is not None and config["gen"] != self._config[0]:
            data = orjson.loads(bytes(config["text"]))
            tenants = data.get("tenants") or {"cols": [], "rows": []}
            column = tenants["cols"].index("name") if "name" in tenants["cols"] else 0
            self._config = (config["gen"], tuple(sorted(str(row[column]) for row in tenants["rows"])))
        return DrainState(
            now,
            dict(table.items("drain/")),
            dict(table.items("move/")),
            dict(table.items("backend/")),
            dict(table.items("gate/")),
            (PUBLIC_TENANT, *self._config[1]),
            self._by_tenant(),
        )

    def _by_tenant(self) -> dict[str, Contract]:
        return self.contracts.by_tenant if self.contracts is not None else {}

    def plan(self, order: dict[str, Any], now: int) -> DrainPlan:
        """The plan of an order under the current contracts."""
        self.hours.set_contracts(self._by_tenant())
        return plan_drain(self.facts(now), self.hours, order)

    def _serving_changed(self, serves: bool) -> None:
        self._change_pending, self._serving_since = False, self._loop.now if serves else None
        self.executor = DrainExecutor(self.hours)

    def order_entry(self, requested: dict[str, Any], now: int) -> tuple[dict[str, Any], DrainPlan]:
        """The entry to store for an order, and its plan; store the entry only if the plan has no obstacles."""
        plan, facts = self.plan(requested | {"at": now}, now), self.facts(now)
        nodes = target_nodes(facts, requested["kind"], requested["target"])
        incarnations = {node: facts.gateways[node]["life"] for kind, node in nodes if node in facts.gateways}
        return requested | {
            "at": now,
            "nodes": [list(node) for node in nodes],
            "lives": incarnations,
            "state": "open",
            "why_state": "",
            "cancelled": False,
            "empty": 0,
            "over": 0,
        }, plan

    def _next_order_of_file(self, now: int) -> dict[str, Any]:
        """The entry of the first order in the file that is due and not stored yet."""
        since = self._loop.now if self._serving_since is None else self._serving_since
        for order in self.contracts.orders if self.contracts is not None else ():
            obstacles, planned_at = self._refused.get(order.name, ([], -ORDER_RETRY_DELAY_US))
            if (
                self._loop.now - since < order.after
                or self._loop.now - planned_at < ORDER_RETRY_DELAY_US
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
            if obstacles != plan.obstacles:
                log_event("order of the file waits", "warning", order=order.name, why="; ".join(plan.obstacles)[:300])
        return {}

    def _step(self, _: Any) -> None:
        self._loop.at(self._loop.now + STEP_INTERVAL_US, self._step)
        now, table = self.now(), self._core.replicated_state.table
        if not self._core.serving() or self._change_pending or now is None or self.contracts is None:
            return
        if self.contracts.orders and (order_entries := self._next_order_of_file(now)):
            self._change_pending = True
            log_event("drain ordered", order=next(iter(order_entries)), by="the file of contracts")
            return self._core.change(order_entries, self._written)
        orders, records = table.items("drain/"), table.items("outside/")
        nothing_to_do = len(orders) <= MAX_FINISHED_ORDERS and not any(
            order["state"] != "done" or table.get(f"{'gate' if kind == 'gateway' else kind}/{node}") is not None
            for _, order in orders
            for kind, node in order["nodes"]
        )
        changes = {} if nothing_to_do else self.executor.step(self.facts(now))
        for order in self.contracts.orders:  # a deleted order that is still in the file would be started again
            if changes.get(f"drain/{order.name}", order) is None:
                changes = {key: value for key, value in changes.items() if value is not None}
        if len(records) > MAX_OUTSIDE_RECORDS:
            oldest = sorted(records, key=lambda item: item[1]["at"])[:-MAX_OUTSIDE_RECORDS]
            changes |= {f"outside/{name}": None for name, _ in oldest}
        if changes:
            self._change_pending = True
            for key, value in changes.items():
                if value is not None and value["state"] != (table.get(key) or {}).get("state"):
                    log_event("drain", key=key, state=value["state"], why=value.get("why_state", ""))
            self._core.change(changes, self._written)

    def _written(self, done: bool) -> None:
        self._change_pending = False

    def _on_move_report(self, conn: Connection, body: Any, _: Answer) -> None:
        if self._core.serving():
            node, incarnation = str(body[0]), str(body[1])
            for key, away, began, left, ends in body[2]:
                self.executor.record_report(str(key), node, incarnation, bool(away), int(began), int(left), dict(ends))

    def departure_changes(self, name: str, why: str) -> dict[str, Any]:
        """The record to write with a backend's own departure, if that is outside the contract hours of a tenant."""
        if self.contracts is None or self._core.replicated_state.latest(f"outside/{name}") is not None:
            return {}
        record = outside_hours_record(self.facts(self.now() or 0), self.hours, name, why)
        if record is None:
            return {}
        log_event("moved outside hours", "warning", backend=name, why=why, tenants=",".join(record["tenants"]))
        return {f"outside/{name}": record}

    def status(self, order: str = "") -> dict[str, Any]:
        """The account of one order, or of all."""
        table, now = self._core.replicated_state.table, self.now()
        return {
            "time": report.format_time(now) if now is not None else "unknown: the clocks don't agree"
        } | report.account(table.items("drain/"), table.items("move/"), table.items("outside/"), order)
