"""What the state machines decide: a reply to a call, and the changes that have to be in force before it is sent."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True, frozen=True)
class CallReply:
    """An HTTP status and the fields of the JSON body."""

    status: int
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Decision:
    """The reply to a call.

    With `changes` the reply is sent once they are in force. Otherwise, with `rests_on_pending`, it is sent once all
    changes that are pending now are in force. Otherwise it is sent at once. If it never becomes known whether the
    changes came into force, the call is answered with status 500 instead.
    """

    reply: CallReply
    changes: dict[str, Any] = field(default_factory=dict)  # values by key of the replicated state
    rests_on_pending: bool = False
