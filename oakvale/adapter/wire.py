"""Translates between the wire's arrays and `oakvale.interface`."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import Any

from oakvale import interface as i

ENDINGS = {
    "served": i.Ending.SERVED,
    "server_error": i.Ending.ERROR,
    "turned_away": i.Ending.FULL,
    "no_answer": i.Ending.TIMEOUT,
    "no_connection": i.Ending.NO_CONNECTION,
    "connection_lost": i.Ending.RESET,
    "called_off": i.Ending.CANCELLED,
    "not_sent": i.Ending.MOOT,
}
STATES = {0: i.State.DRAINING, 1: i.State.READY, 2: i.State.GONE}
REPORT_NAMES = {"concurrent": "inflight", "load_share": "util", "tps": "qps", "depth": "queue",
                "mean_ms": "latency_ms", "err_ps": "errors"}


def counter_number(name: str) -> int:
    """A stable 63-bit number for a counter's name: the same in every process and life."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big") >> 1


def settings(data: dict[str, Any]) -> i.Settings:
    def part(name: str) -> dict[str, Any]:
        return data.get(name) or {}

    limits, rules, extra = part("limits"), part("rules"), part("specifics")
    report, prices = part("report"), part("prices")
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


def entries(rows: list[Any]) -> tuple[i.Entry, ...]:
    return tuple(
        i.Entry(int(r[0]), int(r[1] or 0), int(r[2] or 0), int(r[3] or 0), STATES.get(r[4], i.State.DRAINING),
                float(r[5] if r[5] is not None else 1), int((r[6] if len(r) > 6 else 0) or 0))
        for r in rows
    )


def _report(row: Any) -> tuple[float, ...]:
    return tuple(float(v or 0) for v in row) if row else ()


def _get(f: list[Any], k: int) -> Any:
    return f[k] if len(f) > k else None


# Each takes the fields after the event's name; field 0 is the instance.
DECODERS: dict[str, Callable[[list[Any]], i.Event]] = {
    "request": lambda f: i.Request(f[1], f[2], int(f[3] or 0), int(f[7] or 0), float(f[5] or 0),
                                   int(f[4] or 0), int(f[6] or 0), int(f[9]), int(f[8] or 0)),
    "ended": lambda f: i.Ended(f[1], int(f[2]), int(f[6] or 0), bool(f[3]), ENDINGS[f[8]], int(f[4] or 0),
                               int(f[5] or 0), float(f[7] or 0), _report(_get(f, 9))),
    "headReceived": lambda f: i.Head(f[1], int(f[2]), int(f[3] or 0)),
    "withdrawn": lambda f: i.Withdrawn(f[1]),
    "deadlineHit": lambda f: i.Timer(int(f[1])),
    "peer": lambda f: i.PeerMessage(int(f[1]), bytes.fromhex(f[2] or "")),
    "probeResult": lambda f: i.Probed(int(f[1]), ENDINGS[f[3]], int(f[2] or 0), _report(_get(f, 4))),
}


def counted(f: list[Any], name: str) -> i.Counted:
    return i.Counted(name, ENDINGS[f[2]], float(_get(f, 3) or 0), int(_get(f, 4) or 0))


def encode(who: str, a: i.Action) -> list[Any]:
    match a:
        case i.Attempt(rid, backend, timeout):
            return ["attempt", who, rid, backend, timeout]
        case i.Cancel(rid, hop):
            return ["withdraw", who, rid, hop]
        case i.Refuse(rid, retry_after):
            return ["overloadReply", who, rid, retry_after]
        case i.Fail(rid):
            return ["reportFailure", who, rid]
        case i.Wake(token, delay):
            return ["wakeMe", who, token, delay]
        case i.Charge(name, amount, ttl):
            return ["chargeCounter", who, counter_number(name), amount, ttl]
        case i.Watch(on):
            return ["observe", who, on]
        case i.Fetch():
            return ["resolve", who]
        case i.Log(text):
            return ["record", who, text]
