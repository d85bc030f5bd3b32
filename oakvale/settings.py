"""Decodes the settings object, which is the same on the simulator's wire and in a gateway's configuration.

No decisions live here.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from oakvale import interface as i

REPORT_NAMES = {
    "concurrent": "inflight",
    "load_share": "util",
    "tps": "qps",
    "depth": "queue",
    "mean_ms": "latency_ms",
    "err_ps": "errors",
}


def section(data: dict[str, Any], name: str) -> dict[str, Any]:
    """A table of the settings; empty where it is missing."""
    return data.get(name) or {}


def decode(data: dict[str, Any]) -> i.Settings:
    """The settings as the policy takes them; what is missing gets its default."""
    limits, rules, extra = section(data, "limits"), section(data, "rules"), section(data, "specifics")
    report, prices = section(data, "report"), section(data, "prices")
    classes = tuple(
        i.RequestClass(
            aim=int(c.get("targetUs") or c.get("giveUpUs") or 1_000_000),
            deadline=int(c.get("giveUpUs") or 5_000_000),
            effect=i.Effect(c.get("effect", "unsafe")),
            group=str(c.get("group") or "cell"),
            memory=int(c.get("memorySpanUs") or 0),
            worth=float(c.get("gain", 1.0)),
            stream=bool(c.get("stream")),
        )
        for c in data.get("classes") or []
    )
    plans = tuple(
        i.Plan(
            rate=float(p.get("perSecond") or 0),
            burst=float(p.get("depth") or 0),
            open=int(p.get("open") or 0),
            price=float(p.get("valueFactor", 1.0)),
            over_worth=float(p.get("overWorth") or 0),
            over_cost=float(p.get("excessCost") or 0),
            ceiling_rate=float(p.get("hardRate") or 0),
            ceiling_burst=float(p.get("hardBurst") or 0),
            ceiling_slack=float(p.get("capSlack") or 0),
        )
        for p in data.get("tiersOfService") or []
    )
    return i.Settings(
        classes=classes,
        plans=plans,
        fleet=max(1, int(data.get("fleetSize") or 1)),
        position=int(data.get("position") or 0),
        zone=int(data.get("zone") or 0),
        on_request=data.get("discovery") == "on_request",
        report=tuple(REPORT_NAMES.get(c, c) for c in report.get("columns") or []),
        max_attempts=max(1, int(limits.get("maxAttempts") or 1)),
        max_retry_after=int(limits.get("maxRetryAfterUs") or 0),
        retry_after=bool(limits.get("retryAfter")),
        may_cancel=bool(limits.get("mayCancel")),
        copies=bool(limits.get("parallelTries")),
        may_count=bool(extra.get("mayCount")),
        counter_timeout=int(extra.get("counterTimeoutUs") or 50_000),
        meter_period=int(extra.get("usePeriodUs") or 0),
        largest=float(extra.get("largest") or 1),
        post_paid=bool(extra.get("postPaid")),
        cross_zone_price=float(prices.get("crossZone") or 0),
        drain_grace=int(rules.get("drainGraceUs") or 0),
        cold_from=float(rules.get("coldFrom") or 1.0),
        ramp=int(rules.get("rampTimeUs") or 0),
        fall_multiple=float(rules.get("fallMultiple") or 1.0),
        fall_span=int(rules.get("overloadForUs") or 1_000_000),
        must_ask_in=int(rules.get("mustAskInUs") or 10_000_000),
    )


@dataclass(slots=True, frozen=True)
class NameIndexes:
    """Indexes of classes, plans, zones and kinds by their names in the settings."""

    classes: dict[str, int]
    plans: dict[str, int]
    zones: dict[str, int]
    kinds: dict[str, int]


def decode_names(data: dict[str, Any]) -> NameIndexes:
    """The indexes by order in the settings, as the policy's events use them."""

    def indexes(rows: list[Any]) -> dict[str, int]:
        return {str(r["name"] if isinstance(r, dict) else r): k for k, r in enumerate(rows)}

    return NameIndexes(
        indexes(data.get("classes") or []),
        indexes(data.get("tiersOfService") or []),
        indexes(data.get("zones") or []),
        indexes(data.get("kinds") or []),
    )
