"""Boards of services over the mains: kept by the gateways that hold the counting duties, asked by all."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from oakvale.base.loop import Loop
from oakvale.failover.chains import Chains
from oakvale.failover.spill import Ask, SpillController, Wait
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.loadbalancing.load_board import BackendCandidate, LoadBoard
from oakvale.ratelimit.service import RateLimiter, duty_of
from oakvale.transport.links import Answer, Connection, Transport

SELECTION_TIMEOUT_US = 40_000  # microseconds for an answer: beyond, the gateway chooses by itself
HOLDER_BACKOFF_US = 300_000  # after one that did not come
CLOSED_ZONES_VALID_US = 2_000_000  # for so long a keeper's word on places is good when it is heard no more

log_event = EventLogger(__name__)


@dataclass(slots=True, frozen=True)
class Selection:
    """What the keeper of a board named."""

    service: str
    backend: str
    ticket: int
    holder_duty: str  # a duty: what is handed back goes to who holds it then
    max_idle_us: int | None = None  # microseconds that a connection may have been idle and surely be whole


@dataclass(slots=True, frozen=True)
class Rejected:
    """No place has room for it (oakvale/failover): it is refused, and may come back."""

    wait_us: int


SelectionCallback = Callable[[Selection | Rejected | None], None]


@dataclass(slots=True, frozen=True)
class RequestFacts:
    """What a crest weighs of a request."""

    route: str
    rank: int
    tenant: str
    safe: bool
    target_us: int


class AttemptResult(NamedTuple):
    """How an attempt ended, as a keeper is told."""

    service: str
    backend: str
    ticket: int  # 0: nobody had named it; below, this gateway by itself
    route: str
    latency: int  # microseconds
    outcome: str  # as Board.done has them
    dropped: int  # microseconds that the connection had been idle that was lost at once; 0: none was
    gateway: str
    kept: int  # microseconds that the connection may stay idle there
    zone: str  # the gateway's, told where chains are shown


class LoadBoards:
    """With chains shown, the keeper of a board also says which places are out, and turns away what none can hold;
    a gateway that reaches no keeper goes by its own part of what the places may take."""

    def __init__(
        self,
        loop: Loop,
        transport: Transport,
        rate_limiter: RateLimiter,
        node: str,
        zone: str,
        offers: Callable[[str], list[BackendCandidate]],
    ) -> None:
        self._loop, self._transport, self._rate_limiter, self._offers = loop, transport, rate_limiter, offers
        self._node, self._zone = node, zone
        self._boards: dict[str, LoadBoard] = {}
        self._doubt: dict[str, int] = {}
        self.chains: Chains | None = None
        self.missing_gateways: Callable[[str, str], frozenset[str]] = lambda service, zone: frozenset()
        self.on_zones_closed: Callable[[str, frozenset[str]], None] = lambda service, zones: None
        self._spills: dict[str, SpillController] = {}  # of the boards kept here
        self._alone: dict[str, SpillController] = {}
        self._closed: dict[str, tuple[frozenset[str], int]] = {}  # service -> places out, and when a keeper said so
        self._fell: set[tuple[str, str]] = set()  # service and place: out, and not whole again
        self._ticket = 0  # of attempts that were named here without a keeper: below 0
        transport.handlers["pick"] = self._picked
        transport.handlers["done"] = self._ended

    def set_chains(self, chains: Chains | None) -> None:
        """None: nothing is moved, and nothing is asked for it."""
        self.chains = chains
        if chains is None:
            self._spills.clear()
            self._alone.clear()
            for service in list(self._closed):
                self._close(service, frozenset())
            return
        for spill in [*self._spills.values(), *self._alone.values()]:
            spill.show(chains)

    def select(
        self,
        service: str,
        wait: int,
        then: SelectionCallback,
        facts: RequestFacts | None = None,
        without: frozenset[str] = frozenset(),
    ) -> None:
        """`wait`: microseconds after which the attempt is over in any case; `facts`: where chains are shown;
        `without`: backends not to be named."""
        duty, now = duty_of(f"service {service}"), self._loop.now
        if self._rate_limiter.holds(duty):
            return then(self._take(service, duty, self._pick(service, self._node, self._zone, wait, facts, without)))
        holder = self._rate_limiter.holder(duty)
        if holder is None or now - self._doubt.get(duty, -HOLDER_BACKOFF_US) < HOLDER_BACKOFF_US:
            return then(self._by_itself(service, wait, facts, without))

        def answered(answer: Any) -> None:
            if not isinstance(answer, list):
                self._doubt[duty] = self._loop.now
                return then(self._by_itself(service, wait, facts, without))
            then(self._take(service, duty, answer))

        body: list[Any] = [service, self._node, self._zone, wait]
        if facts is not None or without:
            body.append(facts and [facts.route, facts.rank, facts.tenant, facts.safe, facts.target_us])
        if without:
            body.append(sorted(without))
        self._transport.ask(holder, "pick", body, SELECTION_TIMEOUT_US, answered)

    def report_attempt(
        self, pick: Selection, route: str, latency: int, outcome: str, dropped: int = 0, kept: int = 0
    ) -> None:
        self._tell(
            pick.holder_duty or duty_of(f"service {pick.service}"),
            AttemptResult(
                pick.service, pick.backend, pick.ticket, route, latency, outcome, dropped, self._node, kept, self._zone
            ),
        )

    def report_unselected_attempt(
        self, service: str, backend: str, route: str, latency: int, outcome: str, kept: int = 0
    ) -> None:
        """How an attempt ended that nobody had named."""
        if outcome != "none" or self.chains is not None and latency:
            self._tell(
                duty_of(f"service {service}"),
                AttemptResult(service, backend, 0, route, latency, outcome, 0, self._node, kept, self._zone),
            )

    def _tell(self, duty: str, end: AttemptResult) -> None:
        alone = self._alone.get(end.service)
        if self.chains is not None and alone is not None:
            self._learn(alone, end, min(end.ticket, 0))
        end = end._replace(ticket=0) if end.ticket < 0 else end
        if self._rate_limiter.holds(duty):
            return self._end(end)
        holder = self._rate_limiter.holder(duty)
        if holder is not None:
            self._transport.tell(holder, "done", list(end if self.chains is not None else end[:-1]))

    def _board(self, service: str) -> LoadBoard:
        board = self._boards.get(service)
        if board is None:
            board = self._boards[service] = LoadBoard(self._loop.net.rng.random)
        return board

    def _picked(self, conn: Connection, body: Any, answer: Answer) -> None:
        service, asker, zone, wait = str(body[0]), str(body[1]), str(body[2]), int(body[3])
        if not self._rate_limiter.holds(duty_of(f"service {service}")):
            self._boards.pop(service, None)
            self._spills.pop(service, None)
            return answer(None)
        said = body[4] if len(body) > 4 else None
        facts = None
        if said is not None:
            facts = RequestFacts(str(said[0]), int(said[1]), str(said[2]), bool(said[3]), int(said[4]))
        without = frozenset(map(str, body[5])) if len(body) > 5 else frozenset()
        answer(self._pick(service, asker, zone, wait, facts, without))

    def _ended(self, conn: Connection, body: Any, _: Answer) -> None:
        if str(body[0]) in self._boards:
            self._end(
                AttemptResult(
                    str(body[0]),
                    str(body[1]),
                    int(body[2]),
                    str(body[3]),
                    int(body[4]),
                    str(body[5]),
                    int(body[6]),
                    str(body[7]),
                    int(body[8]),
                    str(body[9]) if len(body) > 9 else "",
                )
            )

    # ---- as the keeper

    def _pick(
        self,
        service: str,
        asker: str,
        zone: str,
        wait: int,
        facts: RequestFacts | None,
        without: frozenset[str] = frozenset(),
    ) -> list[Any] | None:
        """Backend, ticket and youth; behind them the places that are out, if any is. No backend: turned away, for so
        long."""
        now, board, offers = self._loop.now, self._board(service), self._offers(service)
        if self.chains is None or facts is None or not offers:
            found = board.select(offers, asker, zone, now + wait, now, None, without)
            return [*found, board.idle_timeout.safe_idle_time(now)] if found else None
        spill = self._spill(service)
        ask = Ask(asker, zone, facts.rank, facts.tenant, facts.safe, board.request_cost(facts.route), facts.target_us)
        way = spill.ask(
            ask, {offer.zone for offer in offers}, board.typical_latency(), lambda: board.zone_load(offers), now
        )
        for place, flow, share in spill.news():
            if flow == "open":
                self._fell.discard((service, place))
            elif flow == "out" and (service, place) not in self._fell:  # later, those that started anew are there
                self._fell.add((service, place))
                board.mark_suspect((offer.id for offer in offers if offer.zone == place), now)
            log_event("place", service=service, place=place, flow=flow, share=share, refused=spill.turned)
        if spill.flow_due(now):
            log_event("flow", service=service, refused=spill.turned, **spill.flow(now))
        if isinstance(way, Wait):
            return ["", way.micros, None, sorted(spill.closed(asker))]
        found = board.select(offers, asker, zone, now + wait, now, way.zones, without)
        if found is None:
            return None
        spill.sent(next(offer.zone for offer in offers if offer.id == found[0]), ask, found[1], now + wait, now)
        named = [*found, board.idle_timeout.safe_idle_time(now)]
        return [*named, sorted(spill.closed(asker))] if spill.moves() else named

    def _end(self, end: AttemptResult) -> None:
        spill = self._spills.get(end.service)
        if spill is not None and end.zone:
            self._learn(spill, end, end.ticket)
        self._board(end.service).record_attempt(
            end.backend,
            end.ticket,
            end.route,
            end.latency,
            end.outcome,
            self._loop.now,
            end.dropped,
            end.gateway,
            end.kept,
        )

    def _learn(self, spill: SpillController, end: AttemptResult, ticket: int) -> None:
        there = next((offer.zone for offer in self._offers(end.service) if offer.id == end.backend), None)
        if there is not None:
            board = self._board(end.service)
            spill.ended(
                ticket,
                there,
                Ask(end.gateway, end.zone, cost=board.request_cost(end.route)),
                end.latency,
                end.outcome,
                board.typical_latency(),
                self._loop.now,
            )

    def _spill(self, service: str) -> SpillController:
        spill = self._spills.get(service)
        if spill is None:
            spill = self._spills[service] = self._made(service, True)
            closed, at = self._closed.get(service, (frozenset(), -CLOSED_ZONES_VALID_US))
            if self._loop.now - at < CLOSED_ZONES_VALID_US:
                spill.follow(closed, self._loop.now)  # as the keeper before said
        return spill

    def _made(self, service: str, keeps: bool) -> SpillController:
        duty = duty_of(f"service {service}")
        spill = SpillController(
            service,
            self._loop.net.rng.random,
            lambda zone: self.missing_gateways(service, zone),
            self._rate_limiter.unreachable_gateways if keeps else None,
            None if keeps else lambda: self._rate_limiter.isolated_share(duty),
        )
        assert self.chains is not None
        spill.show(self.chains)
        return spill

    def flows(self) -> list[list[Any]]:
        """Of the services whose boards are kept here: what places hold, and what was asked, in slots."""
        found = []
        for service, spill in self._spills.items():
            if self._rate_limiter.holds(duty_of(f"service {service}")):
                if not spill.moves():
                    log_event("flow", service=service, refused=spill.turned, **spill.flow(self._loop.now))
                loads = [[load.home, load.rank, round(load.work, 3)] for load in spill.report(self._loop.now)]
                held = self._board(service).zone_capacity(self._offers(service))
                found.append([service, {zone: round(slots, 3) for zone, slots in held.items()}, loads])
        return found

    # ---- as one who asks

    def _take(self, service: str, duty: str, answer: list[Any] | None) -> Selection | Rejected | None:
        if self.chains is not None:
            closed = frozenset(map(str, answer[3])) if answer and len(answer) > 3 else frozenset()
            if closed or service in self._closed:
                self._close(service, closed)
        if not answer:
            return None
        if not answer[0]:
            return Rejected(int(answer[1]))
        return Selection(service, str(answer[0]), int(answer[1]), duty, answer[2])

    def _close(self, service: str, closed: frozenset[str]) -> None:
        was = self._closed.pop(service, (frozenset(), 0))[0]
        if closed:
            self._closed[service] = (closed, self._loop.now)
        if was != closed:
            log_event("places out", "warning" if closed else "info", service=service, places=",".join(sorted(closed)))
            self.on_zones_closed(service, closed)

    def _by_itself(
        self, service: str, wait: int, facts: RequestFacts | None, without: frozenset[str]
    ) -> Selection | Rejected | None:
        """No keeper answers: by what it said last, and by what is seen here, a part of what places may take."""
        if self.chains is None or facts is None:
            return None
        now, offers = self._loop.now, [offer for offer in self._offers(service) if offer.id not in without]
        spill = self._alone.get(service)
        if spill is None:
            spill = self._alone[service] = self._made(service, False)
        closed, at = self._closed.get(service, (frozenset(), -CLOSED_ZONES_VALID_US))
        if now - at < CLOSED_ZONES_VALID_US:
            spill.follow(closed, now)
        board = self._board(service)
        ask = Ask(
            self._node,
            self._zone,
            facts.rank,
            facts.tenant,
            facts.safe,
            board.request_cost(facts.route),
            facts.target_us,
        )
        way = spill.ask(ask, {offer.zone for offer in offers}, board.typical_latency(), None, now)
        may = [offer for offer in offers if not isinstance(way, Wait) and way.zones and offer.zone in way.zones]
        if not may:
            self._shut(service, spill, at)
            return Rejected(way.micros) if isinstance(way, Wait) else None
        # of one's own few attempts nothing better is known, and the lane has its say
        offer = self._loop.net.rng.choice(may)
        self._ticket -= 1
        spill.sent(offer.zone, ask, self._ticket, now + wait, now)
        self._shut(service, spill, at)
        return Selection(service, offer.id, self._ticket, "")

    def _shut(self, service: str, spill: SpillController, at: int) -> None:
        """`at`: when a keeper spoke last; while its word is good, it stands."""
        if self._loop.now - at < CLOSED_ZONES_VALID_US or not spill.moves() and service not in self._closed:
            return
        was, closed = self._closed.get(service, (frozenset(), 0))[0], spill.closed(self._node)
        if was != closed:
            self._close(service, closed)
        if closed:
            self._closed[service] = (closed, at)  # no keeper's word
