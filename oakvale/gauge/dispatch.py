"""Boards of services over the mains: kept by the gateways that hold the counting duties, asked by all."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from oakvale.base.loop import Loop
from oakvale.gauge.board import Board, Offer
from oakvale.gauge.service import Gauge, duty_of
from oakvale.lifecycle.daybook import Writer
from oakvale.mains.links import Answer, Conn, Mains
from oakvale.spillway.chains import Chains
from oakvale.spillway.crest import Ask, Crest, Wait

PICK = 40_000  # microseconds for an answer: beyond, the gateway chooses by itself
DOUBT = 300_000  # after one that did not come
TOLD = 2_000_000  # for so long a keeper's word on places is good when it is heard no more

note = Writer(__name__)


@dataclass(slots=True, frozen=True)
class Pick:
    """What the keeper of a board named."""

    service: str
    backend: str
    ticket: int
    keeper: str  # a duty: what is handed back goes to who holds it then


@dataclass(slots=True, frozen=True)
class Turned:
    """No place has room for it (oakvale/spillway): it is refused, and may come back."""

    wait: int  # microseconds


Named = Callable[[Pick | Turned | None], None]


@dataclass(slots=True, frozen=True)
class Facts:
    """What a crest weighs of a request."""

    route: str
    rank: int
    tenant: str
    safe: bool
    aim: int  # microseconds


class Boards:
    """With chains shown, the keeper of a board also says which places are out, and turns away what none can hold;
    a gateway that reaches no keeper goes by its own part of what the places may take."""

    def __init__(self, loop: Loop, mains: Mains, gauge: Gauge, node: str, zone: str,
                 offers: Callable[[str], list[Offer]]) -> None:
        self._loop, self._mains, self._gauge, self._offers = loop, mains, gauge, offers
        self._node, self._zone = node, zone
        self._boards: dict[str, Board] = {}
        self._doubt: dict[str, int] = {}
        self.chains: Chains | None = None
        self.missing: Callable[[str, str], frozenset[str]] = lambda service, zone: frozenset()
        self.on_closed: Callable[[str, frozenset[str]], None] = lambda service, zones: None
        self._crests: dict[str, Crest] = {}  # of the boards kept here
        self._alone: dict[str, Crest] = {}
        self._closed: dict[str, tuple[frozenset[str], int]] = {}  # service -> places out, and when a keeper said so
        self._fell: set[tuple[str, str]] = set()  # service and place: out, and not whole again
        self._ticket = 0  # of attempts that were named here without a keeper: below 0
        mains.handlers["pick"] = self._picked
        mains.handlers["done"] = self._ended

    def show(self, chains: Chains | None) -> None:
        """None: nothing is moved, and nothing is asked for it."""
        self.chains = chains
        if chains is None:
            self._crests.clear()
            self._alone.clear()
            for service in list(self._closed):
                self._close(service, frozenset())
            return
        for crest in [*self._crests.values(), *self._alone.values()]:
            crest.show(chains)

    def ask(self, service: str, wait: int, then: Named, facts: Facts | None = None) -> None:
        """`wait`: microseconds after which the attempt is over in any case; `facts`: where chains are shown."""
        duty, now = duty_of(f"service {service}"), self._loop.now
        if self._gauge.counts(duty):
            return then(self._take(service, duty, self._pick(service, self._node, self._zone, wait, facts)))
        holder = self._gauge.holder(duty)
        if holder is None or now - self._doubt.get(duty, -DOUBT) < DOUBT:
            return then(self._by_itself(service, wait, facts))

        def answered(answer: Any) -> None:
            if not isinstance(answer, list):
                self._doubt[duty] = self._loop.now
                return then(self._by_itself(service, wait, facts))
            then(self._take(service, duty, answer))

        body = [service, self._node, self._zone, wait]
        if facts is not None:
            body.append([facts.route, facts.rank, facts.tenant, facts.safe, facts.aim])
        self._mains.ask(holder, "pick", body, PICK, answered)

    def done(self, pick: Pick, route: str, latency: int, outcome: str) -> None:
        self._tell(pick.keeper or duty_of(f"service {pick.service}"), pick.service, pick.backend, pick.ticket, route,
                   latency, outcome)

    def teach(self, service: str, backend: str, route: str, latency: int, outcome: str) -> None:
        """How an attempt ended that nobody had named."""
        if outcome != "none" or self.chains is not None and latency:
            self._tell(duty_of(f"service {service}"), service, backend, 0, route, latency, outcome)

    def _tell(self, duty: str, service: str, backend: str, ticket: int, route: str, latency: int,
              outcome: str) -> None:
        if self.chains is not None and service in self._alone:
            self._learn(self._alone[service], service, backend, min(ticket, 0), route, latency, outcome, self._node,
                        self._zone)
        ticket = max(ticket, 0)
        if self._gauge.counts(duty):
            return self._end(service, backend, ticket, route, latency, outcome, self._node, self._zone)
        holder = self._gauge.holder(duty)
        if holder is not None:
            body: list[Any] = [service, backend, ticket, route, latency, outcome]
            if self.chains is not None:
                body += [self._node, self._zone]
            self._mains.tell(holder, "done", body)

    def _board(self, service: str) -> Board:
        board = self._boards.get(service)
        if board is None:
            board = self._boards[service] = Board(random.random)
        return board

    def _picked(self, conn: Conn, body: Any, answer: Answer) -> None:
        service, asker, zone, wait = str(body[0]), str(body[1]), str(body[2]), int(body[3])
        if not self._gauge.counts(duty_of(f"service {service}")):
            self._boards.pop(service, None)
            self._crests.pop(service, None)
            return answer(None)
        said = body[4] if len(body) > 4 else None
        facts = None
        if said is not None:
            facts = Facts(str(said[0]), int(said[1]), str(said[2]), bool(said[3]), int(said[4]))
        answer(self._pick(service, asker, zone, wait, facts))

    def _ended(self, conn: Conn, body: Any, _: Answer) -> None:
        service = str(body[0])
        if service in self._boards:
            gateway, zone = (str(body[6]), str(body[7])) if len(body) > 7 else ("", "")
            self._end(service, str(body[1]), int(body[2]), str(body[3]), int(body[4]), str(body[5]), gateway, zone)

    # ---- as the keeper

    def _pick(self, service: str, asker: str, zone: str, wait: int, facts: Facts | None) -> list[Any] | None:
        """Backend and ticket; behind them the places that are out, if any is. No backend: turned away, for so long."""
        now, board, offers = self._loop.now, self._board(service), self._offers(service)
        if self.chains is None or facts is None or not offers:
            found = board.pick(offers, asker, zone, now + wait, now)
            return list(found) if found else None
        crest = self._crest(service)
        ask = Ask(asker, zone, facts.rank, facts.tenant, facts.safe, board.work(facts.route), facts.aim)
        way = crest.ask(ask, {offer.zone for offer in offers}, board.usual(), lambda: board.held(offers), now)
        for place, flow, share in crest.news():
            if flow == "open":
                self._fell.discard((service, place))
            elif flow == "out" and (service, place) not in self._fell:  # later, those that started anew are there
                self._fell.add((service, place))
                board.distrust(offer.id for offer in offers if offer.zone == place)
            note("place", service=service, place=place, flow=flow, share=share, refused=crest.turned)
        if crest.flow_due(now):
            note("flow", service=service, refused=crest.turned, **crest.flow(now))
        if isinstance(way, Wait):
            return ["", way.micros, sorted(crest.closed(asker))]
        found = board.pick(offers, asker, zone, now + wait, now, way.zones)
        if found is None:
            return None
        crest.sent(next(offer.zone for offer in offers if offer.id == found[0]), ask, found[1], now + wait, now)
        return [*found, sorted(crest.closed(asker))] if crest.moves() else list(found)

    def _end(self, service: str, backend: str, ticket: int, route: str, latency: int, outcome: str, gateway: str,
             zone: str) -> None:
        crest = self._crests.get(service)
        if crest is not None and gateway:
            self._learn(crest, service, backend, ticket, route, latency, outcome, gateway, zone)
        self._board(service).done(backend, ticket, route, latency, outcome, self._loop.now)

    def _learn(self, crest: Crest, service: str, backend: str, ticket: int, route: str, latency: int, outcome: str,
               gateway: str, zone: str) -> None:
        there = next((offer.zone for offer in self._offers(service) if offer.id == backend), None)
        if there is not None:
            board = self._board(service)
            crest.ended(ticket, there, Ask(gateway, zone, cost=board.work(route)), latency, outcome, board.usual(),
                        self._loop.now)

    def _crest(self, service: str) -> Crest:
        crest = self._crests.get(service)
        if crest is None:
            crest = self._crests[service] = self._made(service, True)
            closed, at = self._closed.get(service, (frozenset(), -TOLD))
            if self._loop.now - at < TOLD:
                crest.follow(closed, self._loop.now)  # as the keeper before said
        return crest

    def _made(self, service: str, keeps: bool) -> Crest:
        duty = duty_of(f"service {service}")
        crest = Crest(service, random.random, lambda zone: self.missing(service, zone),
                      self._gauge.away if keeps else None, None if keeps else lambda: self._gauge.cut(duty))
        assert self.chains is not None
        crest.show(self.chains)
        return crest

    def flows(self) -> list[list[Any]]:
        """Of the services whose boards are kept here: what places hold, and what was asked, in slots."""
        found = []
        for service, crest in self._crests.items():
            if self._gauge.counts(duty_of(f"service {service}")):
                if not crest.moves():
                    note("flow", service=service, refused=crest.turned, **crest.flow(self._loop.now))
                loads = [[load.home, load.rank, round(load.work, 3)] for load in crest.report(self._loop.now)]
                held = self._board(service).capacity(self._offers(service))
                found.append([service, {zone: round(slots, 3) for zone, slots in held.items()}, loads])
        return found

    # ---- as one who asks

    def _take(self, service: str, duty: str, answer: list[Any] | None) -> Pick | Turned | None:
        if self.chains is not None:
            closed = frozenset(map(str, answer[2])) if answer and len(answer) > 2 else frozenset()
            if closed or service in self._closed:
                self._close(service, closed)
        if not answer:
            return None
        return Pick(service, str(answer[0]), int(answer[1]), duty) if answer[0] else Turned(int(answer[1]))

    def _close(self, service: str, closed: frozenset[str]) -> None:
        was = self._closed.pop(service, (frozenset(), 0))[0]
        if closed:
            self._closed[service] = (closed, self._loop.now)
        if was != closed:
            note("places out", "warning" if closed else "info", service=service, places=",".join(sorted(closed)))
            self.on_closed(service, closed)

    def _by_itself(self, service: str, wait: int, facts: Facts | None) -> Pick | Turned | None:
        """No keeper answers: by what it said last, and by what is seen here, a part of what places may take."""
        if self.chains is None or facts is None:
            return None
        now, offers = self._loop.now, self._offers(service)
        crest = self._alone.get(service)
        if crest is None:
            crest = self._alone[service] = self._made(service, False)
        closed, at = self._closed.get(service, (frozenset(), -TOLD))
        if now - at < TOLD:
            crest.follow(closed, now)
        board = self._board(service)
        ask = Ask(self._node, self._zone, facts.rank, facts.tenant, facts.safe, board.work(facts.route), facts.aim)
        way = crest.ask(ask, {offer.zone for offer in offers}, board.usual(), None, now)
        may = [offer for offer in offers if not isinstance(way, Wait) and way.zones and offer.zone in way.zones]
        if not may:
            self._shut(service, crest, at)
            return Turned(way.micros) if isinstance(way, Wait) else None
        offer = random.choice(may)  # of one's own few attempts nothing better is known, and the lane has its say
        self._ticket -= 1
        crest.sent(offer.zone, ask, self._ticket, now + wait, now)
        self._shut(service, crest, at)
        return Pick(service, offer.id, self._ticket, "")

    def _shut(self, service: str, crest: Crest, at: int) -> None:
        """`at`: when a keeper spoke last; while its word is good, it stands."""
        if self._loop.now - at < TOLD or not crest.moves() and service not in self._closed:
            return
        was, closed = self._closed.get(service, (frozenset(), 0))[0], crest.closed(self._node)
        if was != closed:
            self._close(service, closed)
        if closed:
            self._closed[service] = (closed, at)  # no keeper's word
