"""What clients, backends and the operator saw in a played day, and what the world did to machines: append-only lists.

Times are int microseconds of the world, one clock for all. Nothing here knows a rule: `oakvale.lab.judge` reads it.
Texts that may be long (bodies, configurations) are told by `digest`.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import Any

FOREVER = 1 << 62  # an `until` that nobody waits for


def digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=8).hexdigest()


class Fate(StrEnum):
    """What became of an answer at the backend that gave it."""

    WHOLE = "whole"
    CUT = "cut"  # it ended early, or the connection was reset before its end
    LOST = "lost"  # the request ran; not a byte was sent, and the connection was reset
    SILENT = "silent"  # the request ran; not a byte was sent, and the connection stays up
    GARBLED = "garbled"  # bytes that are no answer, or not the backend's body
    EXTRA = "extra"  # whole, and more bytes after it
    LATE = "late"  # whole, in the place of a later one


class State(StrEnum):
    READY = "ready"
    DRAIN = "drain"
    LEAVE = "leave"


class Event(StrEnum):
    """What the world did. Each spans `at` to `until`; a moment has both the same."""

    START = "start"  # by the world: the first one too
    AGAIN = "again"  # after an end of its own
    END = "end"  # by itself
    KILL = "kill"
    OFF = "off"  # power lost; `until` is its return
    WIPE = "wipe"  # its disk lost
    TERM = "term"  # SIGTERM; until its processes are gone
    HUP = "hup"
    FREEZE = "freeze"
    SLOW = "slow"  # processor
    DISK = "disk"
    CLOCK = "clock"
    RESET = "reset"  # its connections
    LINK = "link"  # loss or squeeze
    CUT = "cut"  # `machines` from `others` (none: from all), one way too
    CHOKED = "choked"  # packets wait over half a second in its link
    PRESS = "press"  # clients press beyond the usual
    BACKEND = "backend"  # trouble of `machines` that are backends, by their ids
    CLOSING = "closing"  # the closing fault; until its machines are back
    GONE = "gone"  # a core machine is removed for good; until its successor, `others`, counts in its place
    ACK_LOST = "ack_lost"  # answers to who calls `ctl` are lost on their way


@dataclass(frozen=True, slots=True)
class Machine:
    name: str
    zone: str
    edge: bool  # carries traffic
    core: bool  # belongs to what `settled` speaks of


@dataclass(frozen=True, slots=True)
class Kind:
    """What is owed for the requests of a route. Routes that are only probed have none."""

    name: str
    worth: float
    late: float
    aim: int


@dataclass(frozen=True, slots=True)
class Sent:
    """A client began to send a try. `deadline` is the time after which it no longer waits; `first` is the id of
    the request's first try (its own where it is the first); `whole_at` comes in a `Wrote`."""

    at: int
    id: str
    client: str
    host: str
    path: str
    method: str
    body_digest: str
    key: str | None
    tenant: str | None  # that the client believes to be
    route: str  # its name among the kinds, "" for a probe of the configuration
    deadline: int
    gateway: str  # the machine that the connection leads to
    conn: int
    first: str
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Wrote:
    """The last byte of a try is on its way."""

    at: int
    id: str


@dataclass(frozen=True, slots=True)
class Got:
    """An answer at a client. `id` is the try that waited there (None: no one did); `shown` is the `Attempt-Id` in the
    answer. Status 0: bytes that are no answer. `whole`: it ended as its head promised."""

    at: int
    id: str | None
    status: int
    seal: str | None
    body_digest: str
    whole: bool
    retry_after: float | None
    conn: int
    shown: str | None = None
    encoded: bool = False  # it bore a Content-Encoding


@dataclass(frozen=True, slots=True)
class Closed:
    """A connection ended while a try waited on it (id None: none did). `read`: the gateway's process had read the whole
    request, as far as the network can tell. `by_client`: the client gave up."""

    at: int
    id: str | None
    conn: int
    read: bool
    by_client: bool = False


@dataclass(frozen=True, slots=True)
class Arrived:
    """A request was read at a backend. `tenant`: its `Tenant` header; `key_shown`: its `Authorization`; `named`: its
    `Backend`; `gateway`: the machine that sent it ("" where the address tells none)."""

    at: int
    id: str
    backend: str
    service: str
    tenant: str | None
    key_shown: str | None
    host: str
    path: str
    method: str
    body_digest: str
    named: str | None
    gateway: str


@dataclass(frozen=True, slots=True)
class Ran:
    """A backend began to work on what had arrived."""

    at: int
    id: str
    backend: str
    service: str


@dataclass(frozen=True, slots=True)
class Declined:
    at: int
    id: str
    backend: str
    status: int  # 0: by a reset


@dataclass(frozen=True, slots=True)
class Answered:
    """A backend was done with what it ran. `body_digest` is that of the true body, whatever was sent of it."""

    at: int
    id: str
    backend: str
    status: int
    seal: str
    body_digest: str
    fate: Fate


@dataclass(frozen=True, slots=True)
class Dropped:
    """A backend ceased work, as the connection of the request had closed or its own life ended (`own`)."""

    at: int
    id: str
    backend: str
    own: bool


@dataclass(frozen=True, slots=True)
class Said:
    at: int
    backend: str
    state: State
    acked_at: int | None
    by: str | None  # the machine that acknowledged


@dataclass(frozen=True, slots=True)
class Ordered:
    """An operator's configuration, once its outcome is known: `status` 0 where none was clear. `at` is when the first
    call with it was sent."""

    at: int
    gen: int
    valid: bool
    content_digest: str
    acked_at: int | None
    status: int
    by: str | None


@dataclass(frozen=True, slots=True)
class Replied:
    """A machine's answer to one call with an order, as it came; `lost`: on its way, so that the operator never had it.
    `sent` is when the call was made."""

    at: int
    sent: int
    gen: int
    valid: bool
    content_digest: str
    status: int
    by: str
    lost: bool = False


@dataclass(frozen=True, slots=True)
class Told:
    """What one machine itself gave to a reader in the day, sent at `sent`. `gen` -1: that there is no configuration."""

    at: int
    sent: int
    gen: int
    content_digest: str
    by: str


@dataclass(frozen=True, slots=True)
class Looked:
    """What the platform saw of a gateway's `readyz`."""

    at: int
    machine: str
    ready: bool


@dataclass(frozen=True, slots=True)
class ReadBack:
    """`gen` -1: asked for as long as it takes, and nothing came."""

    at: int
    gen: int
    content_digest: str


@dataclass(frozen=True, slots=True)
class Happened:
    at: int
    until: int
    kind: Event
    machines: tuple[str, ...]
    planned: bool = False
    others: tuple[str, ...] = ()  # of a cut: from whom; none is from all
    why: str = ""  # the trouble of the day that it belongs to, for readers


@dataclass(frozen=True, slots=True)
class Noted:
    at: int
    machine: str
    event: str
    fields: dict[str, Any]


@dataclass
class Record:
    """`add` puts an event on the list of its kind; each list is in order of `at` but for those of spans, which are
    told when they are over or known."""

    name: str
    seed: int
    bounds: dict[str, Any]  # as in the settings' `terms.bounds`, times in microseconds
    machines: tuple[Machine, ...] = ()
    kinds: dict[str, Kind] = field(default_factory=dict)
    texts: dict[str, bytes] = field(default_factory=dict)  # configurations as they were sent, by digest
    beat: int = 1_500_000
    began: int = 0  # when traffic began
    ended: int = 0  # when the day was over
    sent: list[Sent] = field(default_factory=list)
    wrote: list[Wrote] = field(default_factory=list)
    got: list[Got] = field(default_factory=list)
    closed: list[Closed] = field(default_factory=list)
    arrived: list[Arrived] = field(default_factory=list)
    ran: list[Ran] = field(default_factory=list)
    declined: list[Declined] = field(default_factory=list)
    answered: list[Answered] = field(default_factory=list)
    dropped: list[Dropped] = field(default_factory=list)
    said: list[Said] = field(default_factory=list)
    ordered: list[Ordered] = field(default_factory=list)
    replied: list[Replied] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    looked: list[Looked] = field(default_factory=list)
    read_back: list[ReadBack] = field(default_factory=list)
    happened: list[Happened] = field(default_factory=list)
    noted: list[Noted] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._lists: dict[type, list[Any]] = {
            Sent: self.sent,
            Wrote: self.wrote,
            Got: self.got,
            Closed: self.closed,
            Arrived: self.arrived,
            Ran: self.ran,
            Declined: self.declined,
            Answered: self.answered,
            Dropped: self.dropped,
            Said: self.said,
            Ordered: self.ordered,
            Replied: self.replied,
            Told: self.told,
            Looked: self.looked,
            ReadBack: self.read_back,
            Happened: self.happened,
            Noted: self.noted,
        }

    def add(self, event: Any) -> None:
        self._lists[type(event)].append(event)

    def order(self, text: bytes) -> str:
        """Keeps a configuration's text; its digest."""
        name = digest(text)
        self.texts[name] = text
        return name

    def fingerprint(self) -> str:
        """The same for two records just if they hold the same events in the same order."""
        found = hashlib.blake2b(digest_size=16)
        for events in self._lists.values():
            found.update(repr([_plain(event) for event in events]).encode())
        return found.hexdigest()


def _plain(event: Any) -> tuple[Any, ...]:
    return tuple(
        value.value if isinstance(value := getattr(event, name), Enum) else value for name in event.__dataclass_fields__
    )
