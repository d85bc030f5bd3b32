"""The HTTP form of coordination calls, and what an application needs of its surroundings."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from oakvale.lab.history.calls import (
    BeginHold,
    Event,
    FinishHold,
    NextNumber,
    PutValue,
    ReadValue,
    RenewHold,
    Request,
    Result,
    WatchGroup,
)

MS = 1_000


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """A request as it is sent; `verb` is the part of the path before the name."""

    method: bytes
    verb: str
    name: str
    query: str
    body: bytes


@dataclass(slots=True, frozen=True)
class HttpAnswer:
    """An answer as it arrives; `location` is the machine to which a 307 leads."""

    status: int
    body: bytes = b""
    location: str = ""


class Surroundings(Protocol):
    """The clock, and the way to the core machines."""

    @property
    def now(self) -> int:
        """Microseconds of a steady clock."""

    def at(self, due: int, call: Callable[[], None]) -> None:
        """Calls back at that time."""

    def core_addresses(self) -> Sequence[str]:
        """The core machines that the operator names at present."""

    def send(self, address: str, request: HttpRequest, on_answer: Callable[[HttpAnswer | None], None]) -> None:
        """Sends a request; None if the connection failed. Silence if the machine is silent."""


def _post(verb: str, name: str, fields: dict[str, Any]) -> HttpRequest:
    return HttpRequest(b"POST", verb, name, "", json.dumps(fields).encode())


def _get(verb: str, name: str, query: str = "") -> HttpRequest:
    return HttpRequest(b"GET", verb, name, query, b"")


def encode(name: str, request: Request) -> HttpRequest:
    """The HTTP request of a call."""
    match request:
        case BeginHold(owner, hold_us):
            return _post("Locks.Begin", name, {"owner": owner, "hold": f"{hold_us // MS}ms"})
        case RenewHold(owner, fence, hold_us):
            return _post("Locks.Heartbeat", name, {"owner": owner, "fence": fence, "hold": f"{hold_us // MS}ms"})
        case FinishHold(owner, fence):
            return _post("Locks.Finish", name, {"owner": owner, "fence": fence})
        case NextNumber():
            return _post("numbers", name, {})
        case PutValue(value, topic):
            return _post("Cells.Replace", name, {"val": value, "topic": topic})
        case ReadValue():
            return _get("Cells.Read", name)
        case WatchGroup(after, wait_us):
            return _get("watch", name, f"after={after}&wait-ms={wait_us // MS}")


def decode(request: Request, answer: HttpAnswer) -> Result:
    """The result of a call. Raises ValueError, KeyError or TypeError if the body has another form."""
    if answer.status not in (200, 412):
        return Result(answer.status)
    fields = json.loads(answer.body) if answer.body else {}
    if answer.status == 412:
        return Result(412, rev=int(fields["rev"]))
    match request:
        case BeginHold():
            return Result(200, fence=int(fields["fence"]))
        case NextNumber():
            return Result(200, number=int(fields["val"]))
        case PutValue():
            return Result(200, rev=int(fields["rev"]))
        case ReadValue():
            return Result(200, rev=int(fields["rev"]), value=str(fields["val"]))
        case WatchGroup():
            events = tuple(Event(str(row["name"]), str(row["val"]), int(row["rev"])) for row in fields["events"])
            return Result(200, rev=int(fields["rev"]), events=events)
    return Result(200)
