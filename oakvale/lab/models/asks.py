"""What a client decides: whether and when it tries again. Decisions alone."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

MS, SECOND = 1_000, 1_000_000
PROMISES = frozenset({408, 421, 429, 503})
LAST = frozenset({400, 401, 404, 413, 431})
TRIES, EAGER_TRIES = 4, 8
PAUSE = 50 * MS  # of a patient client that is told none, doubled with each try
AT_ONCE = 2 * MS
UP = SECOND  # for a connection to come up
UNREAD = SECOND  # after which a repeatable try that the gateway has not read is given up


class End(Enum):
    """How a try ended without an answer."""

    UNREACHED = auto()  # no connection, or the gateway closed without having read it
    BROKEN = auto()  # anything else: it may have run
    GIVEN_UP = auto()  # by the client, as the gateway has not read it
    OVER = auto()  # the deadline
    LEFT = auto()  # its client closes, long before the deadline, and does not come back


@dataclass(slots=True)
class Ask:
    """A request as its client knows it. `tries`: the ids so far, `met`: the gateways that they went to."""

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
    met: list[str] = field(default_factory=list)

    def give_up_unread(self, now: int) -> int:
        """When a try that began now is given up if the gateway has not read it; 0 for never."""
        return min(now + UNREAD, now + (self.deadline - now) // 3) if self.safe else 0

    def ends(self) -> int:
        """When its client waits no longer."""
        return min(self.deadline, self.leaves or self.deadline)

    def late(self, now: int) -> End:
        """How a try ends that is given up now."""
        if now >= self.deadline:
            return End.OVER
        return End.LEFT if self.leaves and now >= self.leaves else End.GIVEN_UP

    def again(self, now: int, end: End | int, retry_after: float | None = None) -> int | None:
        """When to try again after that end (an int is a status); None for not."""
        if isinstance(end, End):
            if end in (End.OVER, End.LEFT) or not (self.safe or end is End.UNREACHED):
                return None
        elif 200 <= end < 300 or end in LAST or not (self.safe or end in PROMISES):
            return None
        if len(self.tries) >= (EAGER_TRIES if self.eager else TRIES):
            return None
        if self.eager:
            wait = AT_ONCE
        elif retry_after is not None and end in PROMISES:
            wait = min(round(retry_after * SECOND), (self.deadline - now) // 3)
        else:
            wait = PAUSE << (len(self.tries) - 1)
        return now + wait if now + wait < self.ends() - MS else None
