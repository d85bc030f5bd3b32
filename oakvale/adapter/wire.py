"""Converts between the simulator protocol's JSON arrays and the types of `oakvale.interface`."""

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
    """Returns a stable 63-bit number for a counter name, the same in every process and after every restart."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big") >> 1


def decode_entries(rows: list[Any]) -> tuple[i.Entry, ...]:
    """Decodes the rows of a backend list."""
    return tuple(
        i.Entry(
            int(row[0]),
            int(row[1] or 0),
            int(row[2] or 0),
            int(row[3] or 0),
            STATES.get(row[4], i.State.DRAINING),
            float(row[5] if row[5] is not None else 1),
            int((row[6] if len(row) > 6 else 0) or 0),
        )
        for row in rows
    )


def _decode_load_report(values: Any) -> tuple[float, ...]:
    return tuple(float(value or 0) for value in values) if values else ()


def _get_optional(fields: list[Any], index: int) -> Any:
    return fields[index] if len(fields) > index else None


# By event name; each decoder takes the fields that follow the name, of which field 0 is the instance.
DECODERS: dict[str, Callable[[list[Any]], i.Event]] = {
    "request": lambda fields: i.Request(
        fields[1],
        fields[2],
        int(fields[3] or 0),
        int(fields[7] or 0),
        float(fields[5] or 0),
        int(fields[4] or 0),
        int(fields[6] or 0),
        int(fields[9]),
        int(fields[8] or 0),
    ),
    "ended": lambda fields: i.Ended(
        fields[1],
        int(fields[2]),
        int(fields[6] or 0),
        bool(fields[3]),
        ENDINGS[fields[8]],
        int(fields[4] or 0),
        int(fields[5] or 0),
        float(fields[7] or 0),
        _decode_load_report(_get_optional(fields, 9)),
    ),
    "headReceived": lambda fields: i.Head(fields[1], int(fields[2]), int(fields[3] or 0)),
    "withdrawn": lambda fields: i.Withdrawn(fields[1]),
    "deadlineHit": lambda fields: i.Timer(int(fields[1])),
    "peer": lambda fields: i.PeerMessage(int(fields[1]), bytes.fromhex(fields[2] or "")),
    "probeResult": lambda fields: i.Probed(
        int(fields[1]), ENDINGS[fields[3]], int(fields[2] or 0), _decode_load_report(_get_optional(fields, 4))
    ),
}


def decode_counter_result(fields: list[Any], name: str) -> i.Counted:
    """Decodes the result of a charge to the named counter."""
    return i.Counted(name, ENDINGS[fields[2]], float(_get_optional(fields, 3) or 0), int(_get_optional(fields, 4) or 0))


def encode(instance_id: str, action: i.Action) -> list[Any]:
    """Encodes an action of an instance as an array that starts with the action's name."""
    match action:
        case i.Attempt(request_id, backend, timeout):
            return ["attempt", instance_id, request_id, backend, timeout]
        case i.Cancel(request_id, hop):
            return ["withdraw", instance_id, request_id, hop]
        case i.Refuse(request_id, retry_after):
            return ["overloadReply", instance_id, request_id, retry_after]
        case i.Fail(request_id):
            return ["reportFailure", instance_id, request_id]
        case i.Wake(token, delay):
            return ["wakeMe", instance_id, token, delay]
        case i.Charge(name, amount, ttl):
            return ["chargeCounter", instance_id, counter_number(name), amount, ttl]
        case i.Watch(enabled):
            return ["observe", instance_id, enabled]
        case i.Fetch():
            return ["resolve", instance_id]
        case i.Log(text):
            return ["record", instance_id, text]
