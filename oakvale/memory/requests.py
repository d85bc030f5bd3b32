"""Pending requests: those not yet answered, or with attempts still in flight."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

from oakvale.interface import Ending

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class Answer:
    """An HTTP answer, from a backend or to a client."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request of a client and its attempts in flight."""

    id: str
    client: Any  # its `send_answer` receives the final answer
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    deadline: int
    event: Any = None  # the owner's own record of the request, such as the policy's event
    finished: bool = False  # answered, or abandoned
    abandoned: bool = False  # finished because its client left
    hops: int = 0  # attempts so far
    attempts: dict[int, InFlightAttempt] = field(default_factory=dict)  # those in flight, by hop
    used_connections: set[ReusableConnection] = field(default_factory=set)  # to backends, by all its attempts so far


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """One attempt of a request at a backend."""

    request: ClientRequest
    backend: int
    hop: int
    started_at: int
    deadline: int
    connection: ReusableConnection | None = None
    written: bool = False  # the kernel has taken the last byte of the request
    ending: Ending | None = None
    connection_idle_us: int = 0  # how long its connection had been idle; 0 for a new one
    reusable_for_us: int = 0  # how long its connection may stay idle after a successful exchange
    dropped_before_answer: bool = False  # its reused connection ended before any byte of an answer


class ReusableConnection(Protocol):
    """A connection to a backend that carries one attempt at a time."""

    @property
    def backend(self) -> int: ...
    @property
    def last_used(self) -> int: ...
    @property
    def max_idle_us(self) -> int:
        """How long it may be idle and still be reused."""

    def start_attempt(self, attempt: InFlightAttempt, host: Any) -> None:
        """Starts an attempt on an idle connection; `host` is told how it ends."""

    def is_reusable(self) -> bool:
        """Whether it is still open, with no unexpected bytes received."""

    def end(self) -> None: ...


class RequestTable:
    """The pending requests of a process by id, at most `max_requests`."""

    def __init__(self, max_requests: int) -> None:
        self._max_requests = max_requests
        self._by_id: dict[str, ClientRequest] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def all(self) -> list[ClientRequest]:
        return list(self._by_id.values())

    def get(self, request_id: str) -> ClientRequest | None:
        return self._by_id.get(request_id)

    def full(self) -> bool:
        return len(self._by_id) >= self._max_requests

    def add(self, request: ClientRequest) -> None:
        self._by_id[request.id] = request

    def remove_if_done(self, request: ClientRequest) -> None:
        if request.finished and not request.attempts:
            self._by_id.pop(request.id, None)
