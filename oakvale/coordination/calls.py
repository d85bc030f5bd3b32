"""Calls to the coordination resources: how they come over HTTP, and the strict reading of their names and bodies."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson

from oakvale.config.durations import parse_duration
from oakvale.memory.requests import Answer

SendAnswer = Callable[[Answer], None]

NAME = re.compile(r"[0-9A-Za-z._-]{1,128}")
MAX_OWNER_BYTES = 128
MAX_VALUE_BYTES = 4_096
MAX_BODY_BYTES = 8 * MAX_VALUE_BYTES  # JSON may spell a byte of a value with six
MAX_HOLD_US = 3_600_000_000
MAX_INTEGER = (1 << 63) - 1


@dataclass(slots=True, eq=False)
class ControlCall:
    """One call; `on_abandoned` callbacks run if its caller leaves before it is answered."""

    name: str  # the path behind the verb
    query: str
    body: bytes
    on_abandoned: list[Callable[[], None]] = field(default_factory=list)


CallHandler = Callable[[ControlCall, SendAnswer], None]


class InvalidCall(Exception):
    """A call that is turned away before anything is done; its text is the reason."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True, frozen=True)
class BeginCall:
    """`Locks.Begin`."""

    name: str
    owner: str
    hold_us: int


@dataclass(slots=True, frozen=True)
class HeartbeatCall:
    """`Locks.Heartbeat`."""

    name: str
    owner: str
    fence: int
    hold_us: int


@dataclass(slots=True, frozen=True)
class FinishCall:
    """`Locks.Finish`."""

    name: str
    owner: str
    fence: int


@dataclass(slots=True, frozen=True)
class PutCall:
    """`Cells.Replace`."""

    name: str
    value: str
    expected_rev: int | None  # that the key must have, 0 for none; None: any


def read_begin(call: ControlCall) -> BeginCall:
    """Reads a call of `Locks.Begin`. Raises InvalidCall, as the other readers do."""
    fields = _read_object(call.body)
    return BeginCall(read_name(call.name), _read_owner(fields), _read_hold(fields))


def read_heartbeat(call: ControlCall) -> HeartbeatCall:
    """Reads a call of `Locks.Heartbeat`."""
    fields = _read_object(call.body)
    return HeartbeatCall(read_name(call.name), _read_owner(fields), _read_integer(fields, "fence"), _read_hold(fields))


def read_finish(call: ControlCall) -> FinishCall:
    """Reads a call of `Locks.Finish`."""
    fields = _read_object(call.body)
    return FinishCall(read_name(call.name), _read_owner(fields), _read_integer(fields, "fence"))


def read_put(call: ControlCall) -> PutCall:
    """Reads a call of `Cells.Replace`."""
    fields = _read_object(call.body)
    expected_rev = None if fields.get("topic") is None else _read_integer(fields, "topic")
    return PutCall(read_name(call.name), _read_text(fields, "val", MAX_VALUE_BYTES), expected_rev)


def read_number_call(call: ControlCall) -> str:
    """The name of the counter; the body is an empty object or nothing."""
    if call.body:
        _read_object(call.body)
    return read_name(call.name)


def read_name(name: str) -> str:
    """Checks the name of a lock, counter, key or group."""
    if not NAME.fullmatch(name):
        raise InvalidCall(400, "name: 1 to 128 of 0-9 A-Z a-z . _ -")
    return name


def _read_object(body: bytes) -> dict[str, Any]:
    if len(body) > MAX_BODY_BYTES:
        raise InvalidCall(413, f"body: over {MAX_BODY_BYTES} bytes")
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError:
        raise InvalidCall(400, "body: no JSON") from None
    if not isinstance(fields, dict):
        raise InvalidCall(400, "body: no JSON object")
    return fields


def _read_text(fields: dict[str, Any], field_name: str, max_bytes: int) -> str:
    text = fields.get(field_name)
    if not isinstance(text, str):
        raise InvalidCall(400, f"{field_name}: no text")
    if len(text.encode()) > max_bytes:
        raise InvalidCall(413, f"{field_name}: over {max_bytes} bytes")
    return text


def _read_owner(fields: dict[str, Any]) -> str:
    owner = _read_text(fields, "owner", MAX_OWNER_BYTES)
    if not owner:
        raise InvalidCall(400, "owner: empty")
    return owner


def _read_integer(fields: dict[str, Any], field_name: str) -> int:
    number = fields.get(field_name)
    if type(number) is not int or not 0 <= number <= MAX_INTEGER:
        raise InvalidCall(400, f"{field_name}: no integer from 0")
    return number


def _read_hold(fields: dict[str, Any]) -> int:
    try:
        hold_us = parse_duration(fields.get("hold"))
    except ValueError:
        raise InvalidCall(400, "hold: no duration such as 3000ms") from None
    if not 0 < hold_us <= MAX_HOLD_US:
        raise InvalidCall(400, "hold: above 0, up to 1 h")
    return hold_us
