"""A client's request, and whether and when it is tried again. No I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

MS, SECOND = 1_000, 1_000_000
NEVER_RAN_STATUSES = frozenset({408, 421, 429, 503})
FINAL_STATUSES = frozenset({400, 401, 404, 413, 431})
MAX_TRIES, MAX_EAGER_TRIES = 4, 8
FIRST_PAUSE_US = 50 * MS  # of a patient client that is told none, doubled with each try
EAGER_PAUSE_US = 2 * MS
CONNECT_TIMEOUT_US = SECOND  # for a connection to come up
UNREAD_TIMEOUT_US = SECOND  # after which a repeatable try that the gateway has not read is given up


class TryEnd(Enum):
    """How a try ended without an answer."""

    UNREACHED = auto()  # no connection, or the gateway closed without having read it
    BROKEN = auto()  # anything else: it may have run
    GIVEN_UP = auto()  # by the client, as the gateway has not read it
    OVER = auto()  # the deadline
    LEFT = auto()  # its client closes, long before the deadline, and does not come back


@dataclass(slots=True)
class ClientRequest:
    """A request as its client knows it. `tries`: the ids so far, `gateways`: where they went."""

    route: str
    host: str
    path: str
    method: str
    body: bytes
    key: str | None
    tenant: str | None
    safe: bool
    client: str
    zone: str
    at: int
    deadline: int
    eager: bool = False  # does not wait as told
    leaves: int = 0  # when its client closes the connection for good; 0: it waits to the deadline
    tries: list[str] = field(default_factory=list)
    gateways: list[str] = field(default_factory=list)

    def give_up_unread(self, now: int) -> int:
        """When a try that began now is given up if the gateway has not read it; 0 for never."""
        return min(now + UNREAD_TIMEOUT_US, now + (self.deadline - now) // 3) if self.safe else 0

    def waits_until(self) -> int:
        """When its client waits no longer."""
        return min(self.deadline, self.leaves or self.deadline)

    def end_when_given_up(self, now: int) -> TryEnd:
        """How a try ends that is given up now."""
        if now >= self.deadline:
            return TryEnd.OVER
        return TryEnd.LEFT if self.leaves and now >= self.leaves else TryEnd.GIVEN_UP

    def next_try_at(self, now: int, end: TryEnd | int, retry_after: float | None = None) -> int | None:
        """When to try again after that end (an int is a status); None for not."""
        if isinstance(end, TryEnd):
            if end in (TryEnd.OVER, TryEnd.LEFT) or not (self.safe or end is TryEnd.UNREACHED):
                return None
        elif 200 <= end < 300 or end in FINAL_STATUSES or not (self.safe or end in NEVER_RAN_STATUSES):
            return None
        if len(self.tries) >= (MAX_EAGER_TRIES if self.eager else MAX_TRIES):
            return None
        if self.eager:
            wait = EAGER_PAUSE_US
        elif retry_after is not None and end in NEVER_RAN_STATUSES:
            wait = min(round(retry_after * SECOND), (self.deadline - now) // 3)
        else:
            wait = FIRST_PAUSE_US << (len(self.tries) - 1)
        return now + wait if now + wait < self.waits_until() - MS else None
