"""What a replica asks its process to do: the actions that `replication` returns, to be carried out in order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from oakvale.controlplane.replicated_state import Callback
from oakvale.controlplane.views import Replica, View
from oakvale.dissemination.table import Entry


@dataclass(slots=True, frozen=True)
class Write:
    """Sync this to disk, then call `written(number)`."""

    number: int
    what: tuple[str, Any]  # kind and data, as the storage expects them


@dataclass(slots=True, frozen=True)
class SendRequest:
    """Send this request, then call `answered(number, answer)`, with None if no reply came within `timeout`
    microseconds."""

    number: int
    to: Replica
    kind: str
    body: list[Any]
    timeout: int


@dataclass(slots=True, frozen=True)
class SendMessage:
    """Send this message; no reply is expected."""

    to: Replica
    kind: str
    body: list[Any]


@dataclass(slots=True, frozen=True)
class Reply:
    """The reply to the request that came with this ticket."""

    ticket: Any
    answer: Any


@dataclass(slots=True, frozen=True)
class RetryLater:
    """Call `retry_sync(backup, view)` after a delay."""

    backup: Replica
    view: View


@dataclass(slots=True, frozen=True)
class ChangeResult:
    """Call `on_done` with the result of a change."""

    on_done: Callback
    done: bool


@dataclass(slots=True, frozen=True)
class StateUpdates:
    """These entries came into force; publish them."""

    entries: list[Entry]


@dataclass(slots=True, frozen=True)
class ViewInstalled:
    """Another view is in force on this replica."""

    view: View


@dataclass(slots=True, frozen=True)
class ServingChanged:
    """This replica starts or stops serving as primary."""

    serves: bool


@dataclass(slots=True, frozen=True)
class SteppedDown:
    """This replica is not primary (any more) and publishes no state updates."""


@dataclass(slots=True, frozen=True)
class StateReplaced:
    """The state was replaced as a whole by the one that the primary sent."""


Action = (
    Write
    | SendRequest
    | SendMessage
    | Reply
    | RetryLater
    | ChangeResult
    | StateUpdates
    | ViewInstalled
    | ServingChanged
    | SteppedDown
    | StateReplaced
)
