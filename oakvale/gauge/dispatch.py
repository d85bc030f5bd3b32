"""Boards of services over the mains: kept by the gateways that hold the counting duties, asked by all."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from oakvale.base.loop import Loop
from oakvale.gauge.board import Board, Offer
from oakvale.gauge.service import Gauge, duty_of
from oakvale.mains.links import Answer, Conn, Mains

PICK = 40_000  # microseconds for an answer: beyond, the gateway chooses by itself
DOUBT = 300_000  # after one that did not come


@dataclass(slots=True, frozen=True)
class Pick:
    """What the keeper of a board named."""

    service: str
    backend: str
    ticket: int
    keeper: str  # a duty: what is handed back goes to who holds it then
    youth: int | None = None  # microseconds that a connection may have been idle and surely be whole


class Boards:
    def __init__(self, loop: Loop, mains: Mains, gauge: Gauge, node: str, zone: str,
                 offers: Callable[[str], list[Offer]]) -> None:
        self._loop, self._mains, self._gauge, self._offers = loop, mains, gauge, offers
        self._node, self._zone = node, zone
        self._boards: dict[str, Board] = {}
        self._doubt: dict[str, int] = {}
        mains.handlers["pick"] = self._picked
        mains.handlers["done"] = self._ended

    def ask(self, service: str, wait: int, then: Callable[[Pick | None], None],
            without: frozenset[str] = frozenset()) -> None:
        """`wait`: microseconds after which the attempt is over in any case; `without`: backends not to be named."""
        duty, now = duty_of(f"service {service}"), self._loop.now
        if self._gauge.counts(duty):
            board = self._board(service)
            found = board.pick(self._offers(service), self._node, self._zone, now + wait, now, without)
            return then(Pick(service, *found, duty, board.idling.within(now)) if found else None)
        holder = self._gauge.holder(duty)
        if holder is None or now - self._doubt.get(duty, -DOUBT) < DOUBT:
            return then(None)

        def answered(answer: Any) -> None:
            if not isinstance(answer, list):
                self._doubt[duty] = self._loop.now
                return then(None)
            then(Pick(service, str(answer[0]), int(answer[1]), duty, answer[2]))

        body = [service, self._node, self._zone, wait, *([sorted(without)] if without else [])]
        self._mains.ask(holder, "pick", body, PICK, answered)

    def done(self, pick: Pick, route: str, latency: int, outcome: str, dropped: int = 0, kept: int = 0) -> None:
        self._tell(pick.keeper, pick.service, pick.backend, pick.ticket, route, latency, outcome, dropped, kept)

    def teach(self, service: str, backend: str, route: str, latency: int, outcome: str, kept: int = 0) -> None:
        """How an attempt ended that nobody had named."""
        if outcome != "none":
            self._tell(duty_of(f"service {service}"), service, backend, 0, route, latency, outcome, 0, kept)

    def _tell(self, duty: str, service: str, backend: str, ticket: int, route: str, latency: int,
              outcome: str, dropped: int = 0, kept: int = 0) -> None:
        if self._gauge.counts(duty):
            return self._board(service).done(backend, ticket, route, latency, outcome, self._loop.now, dropped,
                                             self._node, kept)
        holder = self._gauge.holder(duty)
        if holder is not None:
            self._mains.tell(holder, "done", [service, backend, ticket, route, latency, outcome, dropped,
                                             self._node, kept])

    def _board(self, service: str) -> Board:
        board = self._boards.get(service)
        if board is None:
            board = self._boards[service] = Board(self._loop.net.rng.random)
        return board

    def _picked(self, conn: Conn, body: Any, answer: Answer) -> None:
        service, asker, zone, wait = str(body[0]), str(body[1]), str(body[2]), int(body[3])
        if not self._gauge.counts(duty_of(f"service {service}")):
            self._boards.pop(service, None)
            return answer(None)
        now, board = self._loop.now, self._board(service)
        without = frozenset(map(str, body[4])) if len(body) > 4 else frozenset()
        found = board.pick(self._offers(service), asker, zone, now + wait, now, without)
        answer([*found, board.idling.within(now)] if found else None)

    def _ended(self, conn: Conn, body: Any, _: Answer) -> None:
        service = str(body[0])
        if service in self._boards:
            self._boards[service].done(str(body[1]), int(body[2]), str(body[3]), int(body[4]), str(body[5]),
                                       self._loop.now, int(body[6]), str(body[7]), int(body[8]))
