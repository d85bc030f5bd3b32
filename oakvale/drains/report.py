"""The account of drains: what moved when, what was in flight and how each ended, as rows for people and programs.

No I/O and no clock. It is told from the control state alone, so it is the same after any restart.
"""

from __future__ import annotations

import csv
import io
from collections.abc import Iterable
from datetime import UTC, datetime, timedelta
from typing import Any

from oakvale.drains.hours import FOREVER, Window
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
    """Empty for what has not come, or has no bound."""
    if at <= 0 or at >= FOREVER:
        return ""
    return (datetime(1970, 1, 1, tzinfo=UTC) + timedelta(microseconds=at)).isoformat(timespec="milliseconds")


def window_fields(window: Window | None) -> dict[str, str]:
    return {
        "opens": format_time(window.opens) if window else "never",
        "closes": format_time(window.closes) if window else "never",
    }


def plan_report(plan: DrainPlan) -> Record:
    return {
        "empty": format_time(plan.empty) if plan.empty is not None else "",
        "obstacles": plan.obstacles,
        "moves": [
            {
                "kind": row.unit.kind,
                "node": row.unit.node,
                "tenants": list(row.unit.tenants),
                **window_fields(row.window),
                "moves": format_time(row.moves) if row.moves is not None else "",
                "why": row.why,
            }
            for row in plan.rows
        ],
    }


def move_row(move: Record, order: Record | None) -> Record:
    ends = {how: sum(said[4].get(how, 0) for said in move["gates"].values()) for how in ENDS}
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
        "in_flight": sum(said[2] for said in move["gates"].values()),
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
    """All that the control state knows of drains, or of one order."""
    known = {name: order for name, order in orders if not only or name == only}
    rows = [
        move_row(move, known.get(move["order"]))
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
            for name, order in sorted(known.items(), key=lambda item: item[1]["at"])
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


def as_csv(account: Record) -> str:
    """A line for each tenant's move, and for each that a backend made by itself outside hours (state `outside`)."""
    out = io.StringIO()
    writer = csv.DictWriter(out, COLUMNS, restval="", lineterminator="\n")
    writer.writeheader()
    writer.writerows(account["moves"])
    for found in account["outside"]:
        writer.writerow(
            {
                "kind": "backend",
                "node": found["backend"],
                "tenant": found["tenant"],
                "state": "outside",
                "moved": found["at"],
                "why": f"the backend: {found['why']}",
            }
        )
    return out.getvalue()
