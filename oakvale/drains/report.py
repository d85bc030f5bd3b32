"""Reports on drains: what moved when, what was in flight and how it ended, as tables for people and programs.

No I/O and no clock. A report depends only on the replicated state, so it is the same after any restart.
"""

from __future__ import annotations

import csv
import io
from collections.abc import Iterable
from datetime import UTC, datetime, timedelta
from typing import Any

from oakvale.drains.hours import FOREVER_US, Window
from oakvale.drains.planning import DrainPlan

ENDS = ("served", "answered", "failed", "refused", "client_gone", "unknown")
COLUMNS = (
    "order",
    "kind",
    "node",
    "tenant",
    "state",
    "moved",
    "done",
    "opens",
    "closes",
    "back",
    "back_done",
    "again",
    "in_flight",
    *ENDS,
    "unheard",
    "by",
    "why",
)

Record = dict[str, Any]


def format_time(at: int) -> str:
    """ISO 8601 in UTC; empty for an instant that has not come or has no bound."""
    if at <= 0 or at >= FOREVER_US:
        return ""
    return (datetime(1970, 1, 1, tzinfo=UTC) + timedelta(microseconds=at)).isoformat(timespec="milliseconds")


def window_fields(window: Window | None) -> dict[str, str]:
    """The columns `opens` and `closes` of a window."""
    return {
        "opens": format_time(window.opens) if window else "never",
        "closes": format_time(window.closes) if window else "never",
    }


def plan_report(plan: DrainPlan) -> Record:
    """The response to a plan or an order."""
    return {
        "empty": format_time(plan.empty) if plan.empty is not None else "",
        "obstacles": plan.obstacles,
        "moves": [
            {
                "kind": row.unit.kind,
                "node": row.unit.node,
                "tenants": list(row.unit.tenants),
                **window_fields(row.window),
                "moves": format_time(row.moves_at) if row.moves_at is not None else "",
                "why": row.reason,
            }
            for row in plan.rows
        ],
    }


def move_row(move: Record, order: Record | None) -> Record:
    """A move as a row of the report."""
    ends = {how: sum(report[4].get(how, 0) for report in move["gates"].values()) for how in ENDS}
    return {
        "order": move["order"],
        "kind": move["kind"],
        "node": move["node"],
        "tenant": move["tenant"],
        "state": move["state"],
        "moved": format_time(move["at"]),
        "done": format_time(move["done"]),
        "opens": format_time(move["opens"]),
        "closes": format_time(move["closes"]),
        "back": format_time(move["back_at"]),
        "back_done": format_time(move["back_done"]),
        "again": move["again"],
        "in_flight": sum(report[2] for report in move["gates"].values()),
        **ends,
        "unheard": " ".join(move["unheard"]),
        "by": order["by"] if order else "",
        "why": order["why"] if order else "",
    }


def account(
    orders: Iterable[tuple[str, Record]],
    moves: Iterable[tuple[str, Record]],
    outside: Iterable[tuple[str, Record]],
    only: str = "",
) -> Record:
    """The report on all drains, or on one order (`only`)."""
    selected = {name: order for name, order in orders if not only or name == only}
    rows = [
        move_row(move, selected.get(move["order"]))
        for _, move in sorted(moves, key=lambda item: item[1]["at"])
        if not only or move["order"] == only
    ]
    return {
        "orders": [
            {
                "id": name,
                "kind": order["kind"],
                "target": order["target"],
                "by": order["by"],
                "why": order["why"],
                "at": format_time(order["at"]),
                "due": format_time(order["due"]),
                "nodes": [node for _, node in order["nodes"]],
                "state": order["state"],
                "reason": order["why_state"],
                "empty": format_time(order["empty"]),
                "over": format_time(order["over"]),
            }
            for name, order in sorted(selected.items(), key=lambda item: item[1]["at"])
        ],
        "moves": rows,
        "outside": []
        if only
        else [
            {"backend": name, "tenant": tenant, "at": format_time(record["at"]), "why": record["why"]}
            for name, record in sorted(outside, key=lambda item: item[1]["at"])
            for tenant in record["tenants"]
        ],
    }


def as_csv(drain_report: Record) -> str:
    """One line for each move of a tenant, and one (state `outside`) for each tenant of a backend that left on its own
    outside the contract hours."""
    out = io.StringIO()
    writer = csv.DictWriter(out, COLUMNS, restval="", lineterminator="\n")
    writer.writeheader()
    writer.writerows(drain_report["moves"])
    for departure in drain_report["outside"]:
        writer.writerow(
            {
                "kind": "backend",
                "node": departure["backend"],
                "tenant": departure["tenant"],
                "state": "outside",
                "moved": departure["at"],
                "why": f"the backend: {departure['why']}",
            }
        )
    return out.getvalue()
