"""The resource of drain orders in the control API. Imported only with a file of contracts."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import orjson

from oakvale.controlplane.core import Core
from oakvale.controlplane.replies import UNCONFIRMED, Reply, ReplyCallback, error_reply
from oakvale.lifecycle.eventlog import EventLogger

if TYPE_CHECKING:
    from oakvale.controlplane.drains import DrainManager

ORDER_NAME = re.compile(r"[0-9A-Za-z._-]{1,64}")

log_event = EventLogger(__name__)


class DrainsHandler:
    """Drain orders: `Order`, `Plan` (a dry run of an order), `Show` and `Cancel`. Available only with contracts."""

    def __init__(self, core: Core, drains: DrainManager) -> None:
        self._core, self._drains = core, drains

    def order(self, name: str, body: bytes, send_reply: ReplyCallback) -> None:
        """Accepts the order if its plan has no obstacle; an unchanged retry gets the same answer."""
        self._plan_order(name, body, send_reply, store=True)

    def plan(self, name: str, body: bytes, send_reply: ReplyCallback) -> None:
        self._plan_order(name, body, send_reply, store=False)

    def _plan_order(self, name: str, body: bytes, send_reply: ReplyCallback, store: bool) -> None:
        from oakvale.config import contracts  # imported late: used only with contracts
        from oakvale.drains import report

        now = self._drains.now()
        if store and not ORDER_NAME.fullmatch(name):
            return send_reply(error_reply(400, "no name of the order: letters, digits, dot, dash, up to 64"))
        try:
            form = contracts.parse_order(contracts.DrainOrder, body)
        except contracts.InvalidOrder as error:
            return send_reply(error_reply(400, str(error)))
        if self._drains.contracts is None:
            return send_reply(error_reply(409, "the file of contracts can't be used: see the log"))
        if now is None:
            return send_reply(error_reply(503, "the clocks of the core machines don't agree on the time yet"))
        requested = {"kind": form.kind, "target": form.target, "by": form.by, "why": form.why, "due": form.due_at()}
        stored = self._core.replicated_state.latest(f"drain/{name}") if store else None
        if stored is not None:
            if any(stored[field] != value for field, value in requested.items()):
                return send_reply(error_reply(409, "another order has this name"))
            return self._core.confirm(lambda done: send_reply(Reply(200) if done else UNCONFIRMED))
        if store and any(key.startswith("drain/") for key in self._core.replicated_state.pending_keys()):
            return send_reply(UNCONFIRMED)  # another order is being stored, and this plan depends on it
        entry, plan = self._drains.order_entry(requested, now)
        plan_report = report.plan_report(plan)
        if not store:
            return send_reply(Reply(200, orjson.dumps(plan_report)))
        if plan.obstacles:
            return send_reply(Reply(409, orjson.dumps({"error": "; ".join(plan.obstacles), "plan": plan_report})))
        log_event("drain ordered", order=name, kind=form.kind, target=form.target, by=form.by)
        self._core.change(
            {f"drain/{name}": entry},
            lambda done: send_reply(Reply(200, orjson.dumps(plan_report)) if done else UNCONFIRMED),
        )

    def cancel(self, name: str, body: bytes, send_reply: ReplyCallback) -> None:
        """Cancels an order: tenants that have moved come back, each within its contract hours."""
        from oakvale.config import contracts

        try:
            form = contracts.parse_order(contracts.Cancellation, body)
        except contracts.InvalidOrder as error:
            return send_reply(error_reply(400, str(error)))
        stored = self._core.replicated_state.latest(f"drain/{name}")
        if stored is None:
            return send_reply(error_reply(404, "no such order"))
        if stored["cancelled"] or stored["state"] == "done":
            return self._core.confirm(lambda done: send_reply(Reply(200) if done else UNCONFIRMED))
        log_event("drain cancelled", order=name, by=form.by)
        entry = stored | {
            "state": "cancelled",
            "cancelled": True,
            "why_state": f"cancelled by {form.by}: {form.why}",
            "over": stored["over"] or self._drains.now() or stored["at"],
        }
        self._core.change({f"drain/{name}": entry}, lambda done: send_reply(Reply(200) if done else UNCONFIRMED))

    def show(self, name: str, body: bytes, send_reply: ReplyCallback) -> None:
        def confirmed(done: bool) -> None:
            if not done:
                send_reply(UNCONFIRMED)
            elif name and self._core.replicated_state.table.get(f"drain/{name}") is None:
                send_reply(error_reply(404, "no such order"))
            else:
                send_reply(Reply(200, orjson.dumps(self._drains.status(name))))

        self._core.confirm(confirmed)
