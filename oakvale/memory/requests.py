"""Requests in hand: what is owed an answer, or still has attempts out."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

from oakvale.interface import Ending

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class Answer:
    """A final answer on its way to a client, or a backend's."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One request of a client."""

    id: str
    client: Any  # takes the answer with `give`
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    deadline: int
    event: Any = None  # what it is to the decision module
    finished: bool = False
    abandoned: bool = False  # over because its client left
    hops: int = 0
    attempts: dict[int, InFlightAttempt] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """One attempt: `written` once the kernel has taken its last byte."""

    request: ClientRequest
    backend: int
    hop: int
    started_at: int
    deadline: int
    connection: ReusableConnection | None = None
    written: bool = False
    ending: Ending | None = None
    connection_idle_us: int = 0  # microseconds that its connection had been idle; 0 on a new one
    reusable_for_us: int = 0  # microseconds that its connection may be idle, now that it has ended well
    dropped_before_answer: bool = False  # that connection ended before anything of an answer came


class ReusableConnection(Protocol):
    """A connection to a backend, which carries one attempt at a time."""

    @property
    def backend(self) -> int: ...
    @property
    def last_used(self) -> int: ...
    @property
    def max_idle_us(self) -> int:
        """Microseconds for which it may stay idle and be used again."""

    def start_attempt(self, attempt: InFlightAttempt, host: Any) -> None:
        """Gives an idle connection its next request, which this lane hears the end of."""

    def is_reusable(self) -> bool:
        """Neither ended nor holding stray bytes."""

    def end(self) -> None: ...


class RequestTable:
    def __init__(self, most: int) -> None:
        self._most = most
        self._by_id: dict[str, ClientRequest] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def all(self) -> list[ClientRequest]:
        return list(self._by_id.values())

    def get(self, rid: str) -> ClientRequest | None:
        return self._by_id.get(rid)

    def full(self) -> bool:
        return len(self._by_id) >= self._most

    def add(self, request: ClientRequest) -> None:
        self._by_id[request.id] = request

    def remove_if_done(self, request: ClientRequest) -> None:
        if request.finished and not request.attempts:
            self._by_id.pop(request.id, None)
