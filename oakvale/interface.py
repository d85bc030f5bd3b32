"""The types, events, actions and settings that `oakvale.policy` works with. No decisions live here.

Times are integer microseconds, counter names are strings, ids are passed through untouched.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum


class Effect(Enum):
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


NEVER_RAN = frozenset({Ending.FULL, Ending.NO_CONNECTION, Ending.MOOT})


class State(Enum):
    DRAINING = 0
    READY = 1
    GONE = 2


class ListForm(Enum):
    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


@dataclass(slots=True, frozen=True)
class RequestClass:
    aim: int = 1_000_000
    deadline: int = 5_000_000
    effect: Effect = Effect.SAFE
    group: str = "all"
    memory: int = 0
    worth: float = 1.0
    stream: bool = False
    tries: int = 0  # attempts at most; 0: as the settings say


@dataclass(slots=True, frozen=True)
class Plan:
    rate: float = 0.0  # units a second; 0: no quota on the rate
    burst: float = 0.0
    open: int = 0  # attempts out at once; 0: no such quota
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    fleet: int = 1
    position: int = 0
    zone: int = 0
    on_request: bool = False
    report: tuple[str, ...] = ()
    max_attempts: int = 1
    max_retry_after: int = 1_000_000
    retry_after: bool = True
    may_cancel: bool = False
    copies: bool = False
    may_count: bool = False
    counter_timeout: int = 50_000
    meter_period: int = 0
    largest: float = 1.0
    post_paid: bool = False
    cross_zone_price: float = 0.0
    drain_grace: int = 0
    cold_from: float = 1.0
    ramp: int = 0
    fall_multiple: float = 1.0
    fall_span: int = 1_000_000
    must_ask_in: int = 10_000_000
    late_earns: bool = False  # an answer past its aim is still worth something


def replace_classes(settings: Settings, classes: tuple[RequestClass, ...]) -> Settings:
    return replace(settings, classes=classes)


# ---- events


@dataclass(slots=True, frozen=True)
class Entry:
    backend: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: State = State.READY
    weight: float = 1.0
    started: int = 0
    slots: float = 0.0  # requests that it works on at once; 0: not known


@dataclass(slots=True, frozen=True)
class Backends:
    form: ListForm
    entries: tuple[Entry, ...] = ()


@dataclass(slots=True, frozen=True)
class Request:
    id: str
    customer: str
    class_index: int
    plan: int
    units: float
    gateway_count: int
    first_gateway: int
    deadline: int  # clock time at which the client gives up
    flags: int = 0
    preferred_backend: int = 0  # the backend that its first attempt had best go to; 0: none is known


@dataclass(slots=True, frozen=True)
class Ended:
    id: str
    backend: int
    hop: int
    over: bool
    ending: Ending
    latency: int
    used: int = 0
    true_units: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class Head:
    id: str
    backend: int
    hop: int


@dataclass(slots=True, frozen=True)
class Withdrawn:
    id: str


@dataclass(slots=True, frozen=True)
class Timer:
    token: int


@dataclass(slots=True, frozen=True)
class Counted:
    name: str
    ending: Ending
    level: float
    latency: int


@dataclass(slots=True, frozen=True)
class Probed:
    backend: int
    ending: Ending
    latency: int
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class PeerMessage:
    sender: int
    data: bytes = field(default=b"")


Event = Backends | Request | Ended | Head | Withdrawn | Timer | Counted | Probed | PeerMessage


# ---- actions


@dataclass(slots=True, frozen=True)
class Attempt:
    id: str
    backend: int
    timeout: int = 0


@dataclass(slots=True, frozen=True)
class Cancel:
    id: str
    hop: int


@dataclass(slots=True, frozen=True)
class Refuse:
    id: str
    retry_after: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    id: str


@dataclass(slots=True, frozen=True)
class Wake:
    token: int
    delay: int


@dataclass(slots=True, frozen=True)
class Charge:
    name: str
    amount: float
    ttl: int


@dataclass(slots=True, frozen=True)
class Watch:
    on: bool


@dataclass(slots=True, frozen=True)
class Fetch:
    pass


@dataclass(slots=True, frozen=True)
class Log:
    text: str


Action = Attempt | Cancel | Refuse | Fail | Wake | Charge | Watch | Fetch | Log
