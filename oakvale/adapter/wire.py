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


def counter_number(name: str) -> int:
    """A stable 63-bit number for a counter's name: the same in every process and life."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big") >> 1


def decode_entries(rows: list[Any]) -> tuple[i.Entry, ...]:
    return tuple(
        i.Entry(
            int(r[0]),
            int(r[1] or 0),
            int(r[2] or 0),
            int(r[3] or 0),
            STATES.get(r[4], i.State.DRAINING),
            float(r[5] if r[5] is not None else 1),
            int((r[6] if len(r) > 6 else 0) or 0),
        )
        for r in rows
    )


def _report(row: Any) -> tuple[float, ...]:
    return tuple(float(v or 0) for v in row) if row else ()


def _get(f: list[Any], k: int) -> Any:
    return f[k] if len(f) > k else None


# Each takes the fields after the event's name; field 0 is the instance.
DECODERS: dict[str, Callable[[list[Any]], i.Event]] = {
    "request": lambda f: i.Request(
        f[1],
        f[2],
        int(f[3] or 0),
        int(f[7] or 0),
        float(f[5] or 0),
        int(f[4] or 0),
        int(f[6] or 0),
        int(f[9]),
        int(f[8] or 0),
    ),
    "ended": lambda f: i.Ended(
        f[1],
        int(f[2]),
        int(f[6] or 0),
        bool(f[3]),
        ENDINGS[f[8]],
        int(f[4] or 0),
        int(f[5] or 0),
        float(f[7] or 0),
        _report(_get(f, 9)),
    ),
    "headReceived": lambda f: i.Head(f[1], int(f[2]), int(f[3] or 0)),
    "withdrawn": lambda f: i.Withdrawn(f[1]),
    "deadlineHit": lambda f: i.Timer(int(f[1])),
    "peer": lambda f: i.PeerMessage(int(f[1]), bytes.fromhex(f[2] or "")),
    "probeResult": lambda f: i.Probed(int(f[1]), ENDINGS[f[3]], int(f[2] or 0), _report(_get(f, 4))),
}


def decode_counter_result(f: list[Any], name: str) -> i.Counted:
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
