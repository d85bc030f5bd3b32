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
class InHand:
    """One request of a client."""

    id: str
    client: Any  # takes the answer with `give`
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    deadline: int
    event: Any = None  # what it is to the decision module
    over: bool = False
    abandoned: bool = False  # over because its client left
    hops: int = 0
    out: dict[int, AttemptOut] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class AttemptOut:
    """One attempt: `written` once the kernel has taken its last byte."""

    request: InHand
    backend: int
    hop: int
    sent: int
    due: int
    connection: Carrier | None = None
    written: bool = False
    ending: Ending | None = None
    idled: int = 0  # microseconds that its connection had been idle; 0 on a new one
    kept: int = 0  # microseconds that its connection may be idle, now that it has ended well
    dropped: bool = False  # that connection ended before anything of an answer came


class Carrier(Protocol):
    """A connection to a backend, which carries one attempt at a time."""

    @property
    def backend(self) -> int: ...
    @property
    def used(self) -> int: ...
    @property
    def lasts(self) -> int:
        """Microseconds for which it may stay idle and be used again."""

    def use(self, attempt: AttemptOut, host: Any) -> None:
        """Gives an idle connection its next request, which this lane hears the end of."""

    def whole(self) -> bool:
        """Neither ended nor holding stray bytes."""

    def end(self) -> None: ...


class RequestsInHand:
    def __init__(self, most: int) -> None:
        self._most = most
        self._by_id: dict[str, InHand] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def all(self) -> list[InHand]:
        return list(self._by_id.values())

    def get(self, rid: str) -> InHand | None:
        return self._by_id.get(rid)

    def full(self) -> bool:
        return len(self._by_id) >= self._most

    def add(self, request: InHand) -> None:
        self._by_id[request.id] = request

    def drop_if_done(self, request: InHand) -> None:
        if request.over and not request.out:
            self._by_id.pop(request.id, None)
