"""Load boards on the internal network: kept by the gateways that hold the counting duties, queried by all gateways."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from oakvale.base.loop import Loop
from oakvale.failover.chains import Chains
from oakvale.failover.spill import SpillController, SpillRejection, SpillRequest
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.loadbalancing.load_board import BackendCandidate, LoadBoard
from oakvale.ratelimit.service import RateLimiter, duty_of
from oakvale.transport.links import Answer, Connection, Transport

SELECTION_TIMEOUT_US = 40_000  # after this a gateway selects without the board
HOLDER_BACKOFF_US = 300_000  # a holder that did not answer is not asked again for this long
CLOSED_ZONES_VALID_US = 2_000_000  # the last report of a holder that stopped responding stays valid for this long

log_event = EventLogger(__name__)


@dataclass(slots=True, frozen=True)
class Selection:
    """The backend that a board holder selected."""

    service: str
    backend: str
    ticket: int
    holder_duty: str  # the result is reported to its holder at that time
    max_idle_us: int | None = None  # idle time up to which a connection is likely usable


@dataclass(slots=True, frozen=True)
class Rejected:
    """No location has capacity (oakvale/failover): the request is refused, and may be retried after `wait_us`."""

    wait_us: int


SelectionCallback = Callable[[Selection | Rejected | None], None]


@dataclass(slots=True, frozen=True)
class RequestFacts:
    """What the spill controller needs to know of a request."""

    route: str
    rank: int
    tenant: str
    safe: bool
    target_us: int


class AttemptResult(NamedTuple):
    """How an attempt ended, as reported to the board holder."""

    service: str
    backend: str
    ticket: int  # 0: selected by no board; negative: selected by this gateway without the holder
    route: str
    latency: int  # microseconds
    outcome: str  # see LoadBoard.record_attempt
    dropped: int  # microseconds that a connection lost at the first write had been idle; else 0
    gateway: str
    kept: int  # microseconds for which the gateway keeps the connection open
    zone: str  # the gateway's; sent only where failover chains are configured


class LoadBoards:
    """One gateway's part: as board holder, and as client of the holders. With failover chains, the holder also reports
    the closed locations, and rejects what no location has capacity for; a gateway that reaches no holder uses its own
    share of the locations' capacity."""

    def __init__(
        self,
        loop: Loop,
        transport: Transport,
        rate_limiter: RateLimiter,
        node: str,
        zone: str,
        candidates: Callable[[str], list[BackendCandidate]],
    ) -> None:
        self._loop, self._transport, self._rate_limiter, self._candidates = loop, transport, rate_limiter, candidates
        self._node, self._zone = node, zone
        self._boards: dict[str, LoadBoard] = {}
        self._unanswered_at: dict[str, int] = {}
        self.chains: Chains | None = None
        self.missing_gateways: Callable[[str, str], frozenset[str]] = lambda service, zone: frozenset()
        self.on_zones_closed: Callable[[str, frozenset[str]], None] = lambda service, zones: None
        self._spills: dict[str, SpillController] = {}  # service -> controller, for boards held here
        self._local_spills: dict[str, SpillController] = {}
        # service -> closed zones, and when a holder reported them
        self._closed: dict[str, tuple[frozenset[str], int]] = {}
        self._failed_zones: set[tuple[str, str]] = set()  # service and zone: closed, and not fully open since
        self._ticket = 0  # of selections without a holder: negative
        transport.handlers["pick"] = self._on_select
        transport.handlers["done"] = self._on_attempt_ended

    def set_chains(self, chains: Chains | None) -> None:
        """None: no traffic is moved between locations, and requests are not described to the holder."""
        self.chains = chains
        if chains is None:
            self._spills.clear()
            self._local_spills.clear()
            for service in list(self._closed):
                self._set_closed_zones(service, frozenset())
            return
        for spill in [*self._spills.values(), *self._local_spills.values()]:
            spill.set_chains(chains)

    def select(
        self,
        service: str,
        wait: int,
        on_selected: SelectionCallback,
        facts: RequestFacts | None = None,
        without: frozenset[str] = frozenset(),
    ) -> None:
        """Asks the board holder for a backend. `wait`: microseconds after which the attempt is over in any case;
        `facts`: where failover chains are configured; `without`: excluded backends."""
        duty, now = duty_of(f"service {service}"), self._loop.now
        if self._rate_limiter.holds(duty):
            return on_selected(
                self._parse_selection(
                    service, duty, self._select_here(service, self._node, self._zone, wait, facts, without)
                )
            )
        holder = self._rate_limiter.holder(duty)
        if holder is None or now - self._unanswered_at.get(duty, -HOLDER_BACKOFF_US) < HOLDER_BACKOFF_US:
            return on_selected(self._select_locally(service, wait, facts, without))

        def answered(answer: Any) -> None:
            if not isinstance(answer, list):
                self._unanswered_at[duty] = self._loop.now
                return on_selected(self._select_locally(service, wait, facts, without))
            on_selected(self._parse_selection(service, duty, answer))

        body: list[Any] = [service, self._node, self._zone, wait]
        if facts is not None or without:
            body.append(facts and [facts.route, facts.rank, facts.tenant, facts.safe, facts.target_us])
        if without:
            body.append(sorted(without))
        self._transport.ask(holder, "pick", body, SELECTION_TIMEOUT_US, answered)

    def report_attempt(
        self, pick: Selection, route: str, latency: int, outcome: str, dropped: int = 0, kept: int = 0
    ) -> None:
        self._report(
            pick.holder_duty or duty_of(f"service {pick.service}"),
            AttemptResult(
                pick.service, pick.backend, pick.ticket, route, latency, outcome, dropped, self._node, kept, self._zone
            ),
        )

    def report_unselected_attempt(
        self, service: str, backend: str, route: str, latency: int, outcome: str, kept: int = 0
    ) -> None:
        """Reports an attempt at a backend that no board selected."""
        if outcome != "none" or self.chains is not None and latency:
            self._report(
                duty_of(f"service {service}"),
                AttemptResult(service, backend, 0, route, latency, outcome, 0, self._node, kept, self._zone),
            )

    def _report(self, duty: str, result: AttemptResult) -> None:
        local_spill = self._local_spills.get(result.service)
        if self.chains is not None and local_spill is not None:
            self._record_in_spill(local_spill, result, min(result.ticket, 0))
        result = result._replace(ticket=0) if result.ticket < 0 else result
        if self._rate_limiter.holds(duty):
            return self._record(result)
        holder = self._rate_limiter.holder(duty)
        if holder is not None:
            self._transport.tell(holder, "done", list(result if self.chains is not None else result[:-1]))

    def _board(self, service: str) -> LoadBoard:
        board = self._boards.get(service)
        if board is None:
            board = self._boards[service] = LoadBoard(self._loop.net.rng.random)
        return board

    def _on_select(self, conn: Connection, body: Any, answer: Answer) -> None:
        service, gateway, zone, wait = str(body[0]), str(body[1]), str(body[2]), int(body[3])
        if not self._rate_limiter.holds(duty_of(f"service {service}")):
            self._boards.pop(service, None)
            self._spills.pop(service, None)
            return answer(None)
        packed_facts = body[4] if len(body) > 4 else None
        facts = None
        if packed_facts is not None:
            facts = RequestFacts(
                str(packed_facts[0]),
                int(packed_facts[1]),
                str(packed_facts[2]),
                bool(packed_facts[3]),
                int(packed_facts[4]),
            )
        without = frozenset(map(str, body[5])) if len(body) > 5 else frozenset()
        answer(self._select_here(service, gateway, zone, wait, facts, without))

    def _on_attempt_ended(self, conn: Connection, body: Any, _: Answer) -> None:
        if str(body[0]) in self._boards:
            self._record(
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

    # ---- as board holder

    def _select_here(
        self,
        service: str,
        gateway: str,
        zone: str,
        wait: int,
        facts: RequestFacts | None,
        without: frozenset[str] = frozenset(),
    ) -> list[Any] | None:
        """Backend, ticket, safe idle time and, if there are any, the closed zones. An empty backend: rejected; the
        second item is then the wait."""
        now, board, candidates = self._loop.now, self._board(service), self._candidates(service)
        if self.chains is None or facts is None or not candidates:
            found = board.select(candidates, gateway, zone, now + wait, now, None, without)
            return [*found, board.idle_timeout.safe_idle_time(now)] if found else None
        spill = self._spill(service)
        ask = SpillRequest(
            gateway, zone, facts.rank, facts.tenant, facts.safe, board.request_cost(facts.route), facts.target_us
        )
        way = spill.admit(
            ask,
            {candidate.zone for candidate in candidates},
            board.typical_latency(),
            lambda: board.zone_load(candidates),
            now,
        )
        for place, flow, share in spill.state_changes():
            if flow == "open":
                self._failed_zones.discard((service, place))
            elif flow == "out" and (service, place) not in self._failed_zones:
                # once per failure: later on, restarted backends are there
                self._failed_zones.add((service, place))
                board.mark_suspect((candidate.id for candidate in candidates if candidate.zone == place), now)
            log_event("place", service=service, place=place, flow=flow, share=share, refused=spill.rejected_count)
        if spill.flow_log_due(now):
            log_event("flow", service=service, refused=spill.rejected_count, **spill.take_flow(now))
        if isinstance(way, SpillRejection):
            return ["", way.retry_after_us, None, sorted(spill.closed_zones(gateway))]
        found = board.select(candidates, gateway, zone, now + wait, now, way.zones, without)
        if found is None:
            return None
        spill.record_sent(
            next(candidate.zone for candidate in candidates if candidate.id == found[0]), ask, found[1], now + wait, now
        )
        named = [*found, board.idle_timeout.safe_idle_time(now)]
        return [*named, sorted(spill.closed_zones(gateway))] if spill.is_active() else named

    def _record(self, result: AttemptResult) -> None:
        spill = self._spills.get(result.service)
        if spill is not None and result.zone:
            self._record_in_spill(spill, result, result.ticket)
        self._board(result.service).record_attempt(
            result.backend,
            result.ticket,
            result.route,
            result.latency,
            result.outcome,
            self._loop.now,
            result.dropped,
            result.gateway,
            result.kept,
        )

    def _record_in_spill(self, spill: SpillController, result: AttemptResult, ticket: int) -> None:
        zone = next(
            (candidate.zone for candidate in self._candidates(result.service) if candidate.id == result.backend), None
        )
        if zone is not None:
            board = self._board(result.service)
            spill.record_end(
                ticket,
                zone,
                SpillRequest(result.gateway, result.zone, cost=board.request_cost(result.route)),
                result.latency,
                result.outcome,
                board.typical_latency(),
                self._loop.now,
            )

    def _spill(self, service: str) -> SpillController:
        spill = self._spills.get(service)
        if spill is None:
            spill = self._spills[service] = self._new_spill(service, True)
            closed, at = self._closed.get(service, (frozenset(), -CLOSED_ZONES_VALID_US))
            if self._loop.now - at < CLOSED_ZONES_VALID_US:
                spill.adopt_closed_zones(closed, self._loop.now)  # as the former holder reported
        return spill

    def _new_spill(self, service: str, is_holder: bool) -> SpillController:
        duty = duty_of(f"service {service}")
        spill = SpillController(
            service,
            self._loop.net.rng.random,
            lambda zone: self.missing_gateways(service, zone),
            self._rate_limiter.unreachable_gateways if is_holder else None,
            None if is_holder else lambda: self._rate_limiter.isolated_share(duty),
        )
        assert self.chains is not None
        spill.set_chains(self.chains)
        return spill

    def flows(self) -> list[list[Any]]:
        """Of the services whose boards are held here: the capacity of each zone and the load offered, in slots."""
        found = []
        for service, spill in self._spills.items():
            if self._rate_limiter.holds(duty_of(f"service {service}")):
                if not spill.is_active():
                    log_event("flow", service=service, refused=spill.rejected_count, **spill.take_flow(self._loop.now))
                loads = [[load.home, load.rank, round(load.work, 3)] for load in spill.take_loads(self._loop.now)]
                held = self._board(service).zone_capacity(self._candidates(service))
                found.append([service, {zone: round(slots, 3) for zone, slots in held.items()}, loads])
        return found

    # ---- as client of a holder

    def _parse_selection(self, service: str, duty: str, answer: list[Any] | None) -> Selection | Rejected | None:
        if self.chains is not None:
            closed = frozenset(map(str, answer[3])) if answer and len(answer) > 3 else frozenset()
            if closed or service in self._closed:
                self._set_closed_zones(service, closed)
        if not answer:
            return None
        if not answer[0]:
            return Rejected(int(answer[1]))
        return Selection(service, str(answer[0]), int(answer[1]), duty, answer[2])

    def _set_closed_zones(self, service: str, closed: frozenset[str]) -> None:
        was = self._closed.pop(service, (frozenset(), 0))[0]
        if closed:
            self._closed[service] = (closed, self._loop.now)
        if was != closed:
            log_event("places out", "warning" if closed else "info", service=service, places=",".join(sorted(closed)))
            self.on_zones_closed(service, closed)

    def _select_locally(
        self, service: str, wait: int, facts: RequestFacts | None, without: frozenset[str]
    ) -> Selection | Rejected | None:
        """Selects without a holder: by its last report and local observations, within this gateway's share."""
        if self.chains is None or facts is None:
            return None
        now, candidates = (
            self._loop.now,
            [candidate for candidate in self._candidates(service) if candidate.id not in without],
        )
        spill = self._local_spills.get(service)
        if spill is None:
            spill = self._local_spills[service] = self._new_spill(service, False)
        closed, at = self._closed.get(service, (frozenset(), -CLOSED_ZONES_VALID_US))
        if now - at < CLOSED_ZONES_VALID_US:
            spill.adopt_closed_zones(closed, now)
        board = self._board(service)
        ask = SpillRequest(
            self._node,
            self._zone,
            facts.rank,
            facts.tenant,
            facts.safe,
            board.request_cost(facts.route),
            facts.target_us,
        )
        way = spill.admit(ask, {candidate.zone for candidate in candidates}, board.typical_latency(), None, now)
        allowed = [
            candidate
            for candidate in candidates
            if not isinstance(way, SpillRejection) and way.zones and candidate.zone in way.zones
        ]
        if not allowed:
            self._apply_local_closures(service, spill, at)
            return Rejected(way.retry_after_us) if isinstance(way, SpillRejection) else None
        # the few local attempts tell nothing better, and the service's driver may choose another
        candidate = self._loop.net.rng.choice(allowed)
        self._ticket -= 1
        spill.record_sent(candidate.zone, ask, self._ticket, now + wait, now)
        self._apply_local_closures(service, spill, at)
        return Selection(service, candidate.id, self._ticket, "")

    def _apply_local_closures(self, service: str, spill: SpillController, at: int) -> None:
        """Applies the local view of closed zones, unless a holder's report of `at` is still valid."""
        if self._loop.now - at < CLOSED_ZONES_VALID_US or not spill.is_active() and service not in self._closed:
            return
        was, closed = self._closed.get(service, (frozenset(), 0))[0], spill.closed_zones(self._node)
        if was != closed:
            self._set_closed_zones(service, closed)
        if closed:
            self._closed[service] = (closed, at)  # not a holder's report: keeps the old time
