"""Events, actions and settings of `oakvale.policy`. No decisions live here.

Times and durations are integer microseconds, counter names are strings, ids are passed through unchanged.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum


class Effect(Enum):
    """Whether a request may run twice: safe, or discarded by its key for a time, or not at all."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Ending(Enum):
    """How an attempt, a probe or a counter call ended."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    NO_CONNECTION = "no_connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


# endings after which the request has certainly not run
NEVER_RAN = frozenset({Ending.FULL, Ending.NO_CONNECTION, Ending.MOOT})


class State(Enum):
    """State of a backend, as discovery reports it."""

    DRAINING = 0
    READY = 1
    GONE = 2


class ListForm(Enum):
    """What an update of the backend list holds: changes, the whole list, one kept from before, or nothing."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


@dataclass(slots=True, frozen=True)
class RequestClass:
    """What requests of one kind have in common."""

    aim: int = 1_000_000  # an answer within this time has its full worth
    deadline: int = 5_000_000  # the time that clients usually wait
    effect: Effect = Effect.SAFE
    group: str = "all"  # where repetitions of a keyed request are discarded: all, zone or cell
    memory: int = 0  # for how long they are
    worth: float = 1.0
    stream: bool = False
    tries: int = 0  # attempts at most; 0: `Settings.max_attempts`
    retired: bool = False  # no longer configured: decides requests received before, and nothing about backends


@dataclass(slots=True, frozen=True)
class Plan:
    """Quota of a customer; a quota on the rate refills at `rate` up to `burst`."""

    rate: float = 0.0  # units per second; 0: no quota on the rate
    burst: float = 0.0
    open: int = 0  # attempts in flight at once; 0: no such quota
    price: float = 1.0  # value factor of its units
    over_worth: float = 0.0  # of a unit beyond the quota
    over_cost: float = 0.0
    ceiling_rate: float = 0.0  # hard limit in units per second; 0: none
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """What the policy is configured with."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    fleet: int = 1  # number of gateways
    position: int = 0  # of this one among them
    zone: int = 0
    on_request: bool = False
    report: tuple[str, ...] = ()
    max_attempts: int = 1
    max_retry_after: int = 1_000_000
    retry_after: bool = True
    may_cancel: bool = False
    copies: bool = False
    may_count: bool = False  # there is a shared counter
    counter_timeout: int = 50_000
    meter_period: int = 0
    largest: float = 1.0  # units of a request, at most
    post_paid: bool = False  # answers tell the true units
    cross_zone_price: float = 0.0
    drain_grace: int = 0
    cold_from: float = 1.0  # share of its load that a backend takes right after its start
    ramp: int = 0  # until it takes all of it
    fall_multiple: float = 1.0
    fall_span: int = 1_000_000
    must_ask_in: int = 10_000_000
    late_earns: bool = False  # an answer past its aim has worth


def replace_classes(settings: Settings, classes: tuple[RequestClass, ...]) -> Settings:
    """The same settings with other request classes."""
    return replace(settings, classes=classes)


# ---- events


@dataclass(slots=True, frozen=True)
class Entry:
    """A backend in an update of the list."""

    backend: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: State = State.READY
    weight: float = 1.0
    started: int = 0
    slots: float = 0.0  # requests that it handles at once; 0: unknown


@dataclass(slots=True, frozen=True)
class Backends:
    """An update of the backend list."""

    form: ListForm
    entries: tuple[Entry, ...] = ()


@dataclass(slots=True, frozen=True)
class Request:
    """A new request. Its customer's requests are spread over `gateway_count` gateways from `first_gateway` on."""

    id: str
    customer: str
    class_index: int  # in `Settings.classes`
    plan: int  # index in `Settings.plans`
    units: float
    gateway_count: int
    first_gateway: int
    deadline: int  # clock time at which the client gives up
    flags: int = 0
    preferred_backend: int = 0  # for its first attempt; 0: none


@dataclass(slots=True, frozen=True)
class Ended:
    """An attempt ended."""

    id: str
    backend: int
    hop: int  # index of the attempt among those of its request
    over: bool  # the request needs no further answer
    ending: Ending
    latency: int
    used: int = 0
    true_units: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class Head:
    """The head of an answer arrived."""

    id: str
    backend: int
    hop: int


@dataclass(slots=True, frozen=True)
class Withdrawn:
    """The client of a request has left."""

    id: str


@dataclass(slots=True, frozen=True)
class Stopping:
    """The process is shutting down: its requests have until its end, and nothing that is at work is begun anew."""


@dataclass(slots=True, frozen=True)
class Timer:
    """A timer that `Wake` set is due."""

    token: int


@dataclass(slots=True, frozen=True)
class Counted:
    """The end of the call that a `Charge` asked for; `level` is the count after it."""

    name: str
    ending: Ending
    level: float
    latency: int


@dataclass(slots=True, frozen=True)
class Probed:
    """A probe of a backend ended."""

    backend: int
    ending: Ending
    latency: int
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message of another gateway."""

    sender: int
    data: bytes = field(default=b"")


Event = Backends | Request | Ended | Head | Withdrawn | Stopping | Timer | Counted | Probed | PeerMessage


# ---- actions


@dataclass(slots=True, frozen=True)
class Attempt:
    """Send a request to a backend; `timeout` 0: until the deadline of its client."""

    id: str
    backend: int
    timeout: int = 0


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt."""

    id: str
    hop: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Answer that the request has not run, or can safely be repeated."""

    id: str
    retry_after: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Answer that the request may have run."""

    id: str


@dataclass(slots=True, frozen=True)
class Wake:
    """Set a timer."""

    token: int
    delay: int


@dataclass(slots=True, frozen=True)
class Charge:
    """Add an amount to a count of the shared counter, which expires after `ttl`."""

    name: str
    amount: float
    ttl: int


@dataclass(slots=True, frozen=True)
class Watch:
    """Subscribe to updates of the backend list, or end that."""

    on: bool


@dataclass(slots=True, frozen=True)
class Fetch:
    """Ask for the whole backend list once."""


@dataclass(slots=True, frozen=True)
class Log:
    """Write a log line."""

    text: str


Action = Attempt | Cancel | Refuse | Fail | Wake | Charge | Watch | Fetch | Log
