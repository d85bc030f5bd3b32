"""A gateway's part in drains: it follows the moves that the news tell, watches what its tenants have in flight at a
node that they leave, and tells the primary.

It costs nothing until the first move is heard.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from oakvale.base.address import Address
from oakvale.base.loop import Loop
from oakvale.dataplane.request_router import Order, RequestRouter
from oakvale.drains.moves import Avoid, Moves
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.memory.requests import Answer, ClientRequest
from oakvale.transport.links import Transport

LOOK = 100_000  # microseconds between two looks at what is in flight
TELL = 5  # looks between two words to the primary

log_event = EventLogger(__name__)


class Seen:
    """Stands before a request's client, to see how it ends."""

    def __init__(self, request: ClientRequest) -> None:
        self.request, self._client = request, request.client
        self.there = False  # it had an attempt at the node
        self.status = 0
        request.client = self

    def send_answer(self, answer: Answer) -> None:
        self.status = answer.status
        self._client.send_answer(answer)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._client, name)

    def ended(self) -> str | None:
        """None: not yet. Of one whose client has gone, its attempts may still be out."""
        if not self.request.finished or self.request.attempts:
            return None
        if not self.status:
            return "client_gone"
        return (
            "served"
            if 200 <= self.status < 300
            else "refused"
            if self.status in (408, 421, 429, 503)
            else "failed"
            if self.status in (502, 504)
            else "answered"
        )


@dataclass(slots=True)
class Watch:
    """What a tenant had in hand here when it moved."""

    seen: list[Seen]
    since: int
    began: int = 0
    ends: dict[str, int] = field(default_factory=dict)


class DrainAgent:
    def __init__(
        self,
        loop: Loop,
        transport: Transport,
        router: RequestRouter,
        node: str,
        life: str,
        primary: Callable[[], Address | None],
        wall: Callable[[], int] | None = None,
    ) -> None:
        self._loop, self._transport, self._router = loop, transport, router
        self._node, self._life, self._primary = node, life, primary
        self._wall = wall or (lambda: loop.net.unix_time() // 1000)
        self._moves = Moves(node, life)
        self._watches: dict[str, Watch] = {}
        self._looking = False
        self._looks = 0

    def take(self, entries: list[tuple[str, dict[str, Any]]], born: bool) -> Avoid:
        """The moves as they are now; gives who avoids what. Called before the picture with it is shown, so that
        what is in hand now is all that may still go to the node."""
        moves = dict(entries)
        for key in self._moves.take(entries, self._wall(), born):
            move = moves[key]
            log_event("moves", tenant=move["tenant"], node=move["node"], order=move["order"])
            found = (
                []
                if born
                else [
                    Seen(request)
                    for request in self._router.requests.all()
                    if not request.finished and self._concerned(request, move)
                ]
            )
            self._watches[key] = Watch(found, self._loop.now)
            self._look_at(key, move)
        for key in [key for key in self._watches if key not in self._moves.away]:
            del self._watches[key]
        self._router.leaving = self._moves.leaving
        if self._moves.owed() and not self._looking:
            self._looking, self._looks = True, 0
            self._loop.at(self._loop.now, self._look)
        return self._moves.avoid

    def _concerned(self, request: ClientRequest, move: dict[str, Any]) -> bool:
        order: Order = request.event
        if (order.tenant or "") != move["tenant"]:
            return False
        if move["kind"] == "gateway":
            return True
        backend = self._router.picture.backends.get(move["node"])
        return backend is None or order.driver.service == backend.service and move["node"] not in order.driver.without

    def _look_at(self, key: str, move: dict[str, Any]) -> int:
        """How many of the requests that were in hand may still be at the node."""
        watch = self._watches[key]
        left = []
        for seen in watch.seen:
            order: Order = seen.request.event
            at = move["kind"] == "gateway" or any(
                order.driver.backend_id(attempt.backend) == move["node"] for attempt in seen.request.attempts.values()
            )
            if at and not seen.there:
                seen.there = True
                watch.began += 1
            how = seen.ended()
            if how is None:
                left.append(seen)
            elif seen.there:
                watch.ends[how] = watch.ends.get(how, 0) + 1
        watch.seen = left
        return len(left)

    def _look(self, _: Any) -> None:
        owed = self._moves.owed()
        if not owed:
            self._looking = False
            return
        self._loop.at(self._loop.now + LOOK, self._look)
        words = []
        for key, move in owed.items():
            watch = self._watches.get(key)
            left = self._look_at(key, move) if watch is not None else 0
            if move["kind"] == "gateway" and watch is not None:
                # the platform passes new connections on until two of its looks have failed
                comes = self._loop.now - watch.since < self._router.limits.stop_accepting
                left = max(left, len(self._router.clients.all), int(comes))
            words.append([key, key in self._moves.away, watch.began if watch else 0, left, watch.ends if watch else {}])
        primary = self._primary()
        if self._looks % TELL == 0 and words and primary is not None:
            self._transport.tell(primary, "towed", [self._node, self._life, words])
        self._looks += 1
