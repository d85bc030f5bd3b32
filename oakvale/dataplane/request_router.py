"""The data plane of a gateway: requests matched, counted, and given to the lane of their service."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from oakvale import interface as i
from oakvale.base.address import Address, parse_address
from oakvale.dataplane.backend_protocol import SystemDialect
from oakvale.dataplane.routes import Backend, Picture, Route
from oakvale.drains.moves import kept
from oakvale.driver import Driver
from oakvale.loadbalancing.board_service import LoadBoards, Rejected, RequestFacts, Selection
from oakvale.loadbalancing.load_board import BackendCandidate
from oakvale.memory.requests import Answer, ClientRequest, InFlightAttempt
from oakvale.ratelimit.counter_state import Receipt
from oakvale.ratelimit.service import RateLimiter
from oakvale.retry_budget import FleetRetryBudget, RetryLimits
from oakvale.shared import ConnectionOwner, SharedResources
from oakvale.transport.links import Transport
from oakvale.wire.clients import BadRequest, IncomingRequest, plain_answer

ATTEMPT_ID = re.compile(rb"[!-~]{1,128}")
DIGITS = re.compile(rb"[0-9]{1,9}")
MS = 1_000
SECOND = 1_000_000
MOMENT = 250 * MS  # at most, and a fifth of the aim, for a counter to be found
WAY = 45 * MS  # a first try has lost at most so much of its time when it comes
MOST_TRIES = 64  # each route says how many it allows
TEXT = (b"content-type", b"text/plain")


OUTCOMES = {
    i.Ending.SERVED: "served",
    i.Ending.ERROR: "error",
    i.Ending.FULL: "full",
    i.Ending.RESET: "lost",
    i.Ending.TIMEOUT: "lost",
    i.Ending.NO_CONNECTION: "lost",
    i.Ending.CANCELLED: "none",
    i.Ending.MOOT: "none",
}


def later(status: int, wait: int, why: bytes) -> Answer:
    """A refusal: it never ran, and names a time to come back, in hundredths of a second upwards."""
    return Answer(status, [TEXT, (b"retry-after", b"%.2f" % (-(-max(wait, 10_000) // 10_000) / 100))], why)


@dataclass(slots=True)
class Order:
    """A request as the lanes know it."""

    driver: ServiceDriver
    route: Route
    tenant: str | None
    event: i.Request
    again: bool = False  # its client came back with it
    given: bool = False  # to the lane
    pick: Selection | None = None  # the board's advice, until its ticket is handed back
    youth: int | None = None  # microseconds that a connection for it may have been idle, by the board
    last: Answer | None = None  # a backend's own failure, if nothing better comes
    receipt: Receipt = field(default_factory=Receipt)  # of its count, until it is given back


class ServiceDriver(Driver):
    """One service: its backends, and the decisions on them."""

    def __init__(
        self,
        shared: SharedResources,
        boards: LoadBoards,
        service: str,
        zones: dict[str, int],
        zone: str,
        seed: int,
        budget: FleetRetryBudget,
        give_back: Callable[[Receipt], None],
        without: frozenset[str] = frozenset(),
    ) -> None:
        """`give_back`: takes the count of a request that never ran; `without`: backends that the tenants of this lane
        were moved off.
        """
        self.boards, self.without, self._give_back = boards, without, give_back
        self._classes: dict[str, tuple[int, i.RequestClass]] = {}
        self._zones, self.service = zones, service
        settings = i.Settings(
            classes=(),
            plans=(i.Plan(),),
            zone=zones.get(zone, 0),
            retry_after=True,
            max_attempts=MOST_TRIES,
            max_retry_after=SECOND,
            may_cancel=True,
            cross_zone_price=1.0,
            cold_from=1.0,
            late_earns=True,
        )
        super().__init__(shared, settings, seed, budget)
        self.budget = budget
        self.dialect = SystemDialect()
        self._ids: dict[int, str] = {}
        self._numbers: dict[str, int] = {}
        self._addresses: dict[int, Address] = {}
        self._ready: set[int] = set()
        self._known: dict[str, Backend] = {}
        self._offers: list[BackendCandidate] = []
        self._closed: frozenset[str] = frozenset()  # zones that are out for this service
        self.listed = False

    def class_of(self, route: Route) -> int:
        """The number of a route among this lane's classes; a changed route keeps its number."""
        made = i.RequestClass(
            aim=route.aim,
            deadline=route.deadline,
            tries=route.tries,
            effect=i.Effect.SAFE if route.safe else i.Effect.UNSAFE,
        )
        known = self._classes.get(route.name)
        if known is None or known[1] != made:
            number = known[0] if known else len(self._classes)
            self._classes[route.name] = (number, made)
            self.settings = i.replace_classes(self.settings, tuple(c for _, c in self._classes.values()))
            self.gateway.update_settings(self.settings)
            return number
        return known[0]

    def request_received(self, request: ClientRequest, event: i.Request) -> None:
        self.budget.record_request(self.loop.now)
        super().request_received(request, event)

    def final(self, request: ClientRequest, answer: Answer) -> None:
        super().final(request, answer)
        self._count_back(request)

    def client_gone(self, request: ClientRequest) -> None:
        super().client_gone(request)
        self._count_back(request)

    def _count_back(self, request: ClientRequest) -> None:
        """Where no attempt was made, it surely never ran."""
        if not request.hops:
            order: Order = request.event
            self._give_back(order.receipt)

    def learn(self, backends: list[Backend], numbers: dict[str, int]) -> None:
        if self.without:
            off = kept({b.id: b.ready for b in backends}, self.without)
            backends = [b for b in backends if b.id not in off]
        known = {b.id: b for b in backends}
        if known == self._known and self.listed:
            return
        was, self._known, self.listed = self._known, known, True
        self._list(numbers)
        for name, backend in was.items():
            now = known.get(name)
            if name not in self.without and (now is None or not now.ready or now.address != backend.address):
                self.idle.close_backend(self._numbers[name])

    def close(self, zones: frozenset[str], numbers: dict[str, int]) -> None:
        """These zones are out: nothing more goes there. What has gone there and was not answered is given up: the
        module tries it again if it may run twice and the budget allows, and else answers at once. An attempt that
        was not written whole ends by itself, in the time for a connection."""
        came, self._closed = zones - self._closed, zones
        if not self._list(numbers):
            return
        gone = {self._numbers[b.id] for b in self._known.values() if b.zone in came}
        for number in gone:
            self.idle.close_backend(number)
        for attempt in [
            a for r in self.requests.all() if not r.finished and r.event.driver is self for a in r.attempts.values()
        ]:
            if attempt.backend in gone and attempt.written and attempt.connection is not None:
                self.cancel_attempt(attempt, i.Ending.TIMEOUT)

    def _list(self, numbers: dict[str, int]) -> bool:
        """Whether zones that are out are left alone: not where nothing else is there."""
        ready = {b.id for b in self._known.values() if b.ready}
        up = {name for name in ready if self._known[name].zone not in self._closed}
        heeds = bool(up) or not ready
        up = up if heeds else ready
        entries = []
        for backend in self._known.values():
            number = numbers.setdefault(backend.id, len(numbers) + 1)
            self._numbers[backend.id], self._ids[number] = number, backend.id
            address = parse_address(backend.address)
            if address is None:
                continue
            self._addresses[number] = address
            entries.append(
                i.Entry(
                    number,
                    self._zones.get(backend.zone, len(self._zones)),
                    state=i.State.READY if backend.id in up else i.State.DRAINING,
                    slots=backend.slots,
                )
            )
        self._ready = {self._numbers[name] for name in up}
        offers = [BackendCandidate(b.id, b.zone, b.slots, b.warm) for b in self._known.values() if b.ready]
        if offers != self._offers:
            self._offers = offers
        self.dispatch(i.Backends(i.ListForm.FULL, tuple(entries)))
        return heeds

    def number(self, backend: str) -> int:
        """0 for one that is not known here."""
        return self._numbers.get(backend, 0)

    def attempt_ended(
        self, attempt: InFlightAttempt, ending: i.Ending, answer: Answer | None = None, report: tuple[float, ...] = ()
    ) -> None:
        """All gateways learn of it, by the keeper of the service's board."""
        order: Order = attempt.request.event
        name, latency, outcome = self.backend_id(attempt.backend), self.loop.now - attempt.started_at, OUTCOMES[ending]
        if attempt.hop in attempt.request.attempts:
            if order.pick is not None and order.pick.backend == name:
                dropped = attempt.connection_idle_us if attempt.dropped_before_answer else 0
                self.boards.report_attempt(
                    order.pick, order.route.name, latency, outcome, dropped, attempt.reusable_for_us
                )
                order.pick = None
            else:
                self.boards.report_unselected_attempt(
                    self.service, name, order.route.name, latency, outcome, attempt.reusable_for_us
                )
        super().attempt_ended(attempt, ending, answer, report)

    def retire(self) -> None:
        """Nobody is given to this lane any more; its timers end with what it has in hand."""
        self._action_handlers[i.Wake] = self._last_wakes

    def _last_wakes(self, action: i.Wake) -> None:
        if any(request.event.driver is self for request in self.requests.all()):
            self._wake(action)

    def offers(self) -> list[BackendCandidate]:
        return self._offers

    def backend_id(self, number: int) -> str:
        return self._ids.get(number, "")

    def address(self, backend: int) -> Address | None:
        return self._addresses.get(backend)

    def serves(self, backend: int) -> bool:
        return backend in self._ready

    def max_connection_idle(self, request: ClientRequest) -> int | None:
        """What may run once only is not risked on a connection that its backend may have forgotten."""
        order: Order = request.event
        return order.youth

    def final_answer(self, request: ClientRequest, action: i.Refuse | i.Fail) -> Answer:
        order: Order = request.event
        if order.last is not None:
            return order.last
        self.tally.refusals["may_have_run" if isinstance(action, i.Fail) else "no_backend"] += 1
        if isinstance(action, i.Fail):
            return Answer(502, [TEXT], b"it may have run\n")
        return later(503, action.retry_after, b"try again later\n")


class RequestRouter(ConnectionOwner):
    """The owner of clients' connections."""

    def __init__(
        self,
        shared: SharedResources,
        rate_limiter: RateLimiter,
        transport: Transport,
        node: str,
        zones: list[str],
        zone: str,
        retries: RetryLimits,
    ) -> None:
        super().__init__(shared)
        self.rate_limiter = rate_limiter
        self.boards = LoadBoards(
            shared.loop, transport, rate_limiter, node, zone, lambda service: self._driver(service).offers()
        )
        self.boards.on_zones_closed = lambda service, zones: self._driver(service).close(zones, self._numbers)
        self.picture = Picture()
        self._zones, self._zone = {name: n for n, name in enumerate(zones)}, zone
        self._drivers: dict[str, ServiceDriver] = {}
        self._aside: dict[tuple[str, frozenset[str]], ServiceDriver] = {}  # of tenants that were moved off backends
        self.leaving = False  # this gateway is drained: its clients are to come back elsewhere
        self._numbers: dict[str, int] = {}
        self._rng, self._retries = self.loop.net.rng, retries
        self.admission_closed = False
        self._idle_held = (0, 0)  # microseconds that clients may think a connection may be idle, and until when
        self._longest: dict[str, int] = {}  # route -> the longest that a client would wait
        self.sure: Callable[[], bool] = lambda: True  # whether a key's removal would have been heard of

    @property
    def stopping(self) -> bool:
        """Answers say that their connection ends, and `readyz` sends nobody here."""
        return self.shared.stopping or self.leaving

    @stopping.setter
    def stopping(self, stops: bool) -> None:
        self.shared.stopping = stops

    # ---- the news

    def show(self, picture: Picture) -> None:
        """Everything from here on is decided by this picture."""
        was, self.picture = self.picture, picture
        if picture.gen != was.gen:
            self._longest.clear()
            before = was.clients.within(self.shared.limits).client_idle
            if was.gen >= 0 and picture.clients.within(self.shared.limits).client_idle < before:
                self._idle_held = max(before, self.limits.client_idle), self.loop.now + before
                self.loop.at(self._idle_held[1], self._bound)
            self._bound()
        if picture.backends is not was.backends:
            by_service: dict[str, list[Backend]] = {}
            for backend in picture.backends.values():
                by_service.setdefault(backend.service, []).append(backend)
            for service in dict.fromkeys([*self._drivers, *by_service]):  # in an order that a replay has too
                self._driver(service).learn(by_service.get(service, []), self._numbers)
            for (service, _), driver in self._aside.items():
                driver.learn(by_service.get(service, []), self._numbers)
        if picture.avoid is not was.avoid:
            held = {off for off in picture.avoid.values()}
            for key in [key for key in self._aside if not any(key[1] <= off for off in held)]:
                self._aside.pop(key).retire()

    def _bound(self, _: Any = None) -> None:
        """Clients go by a longer bound on idle connections until they have heard that it is a shorter one."""
        limits = self.picture.clients.within(self.shared.limits)
        held, until = self._idle_held
        if self.loop.now < until:
            limits = replace(limits, client_idle=max(limits.client_idle, held))
        self.limits = limits

    def _driver(self, service: str) -> ServiceDriver:
        driver = self._drivers.get(service)
        if driver is None:
            budget = FleetRetryBudget(self._retries, lambda: len(self.picture.members), self._rng.random, self.loop.now)
            driver = self._drivers[service] = ServiceDriver(
                self.shared,
                self.boards,
                service,
                self._zones,
                self._zone,
                self._rng.getrandbits(32),
                budget,
                self.rate_limiter.refund,
            )
        return driver

    def _lane_of(self, service: str, tenant: str | None) -> ServiceDriver:
        """The lane of a tenant that was moved off some backends, if the service has any of them."""
        driver = self._driver(service)
        without = frozenset(
            name
            for name in self.picture.avoid.get(tenant or "", ())
            if (found := self.picture.backends.get(name)) is not None and found.service == service
        )
        if not without:
            return driver
        aside = self._aside.get((service, without))
        if aside is None:
            aside = self._aside[service, without] = ServiceDriver(
                self.shared,
                self.boards,
                service,
                self._zones,
                self._zone,
                self._rng.getrandbits(32),
                driver.budget,
                self.rate_limiter.refund,
                without,
            )
            aside.learn([b for b in self.picture.backends.values() if b.service == service], self._numbers)
        return aside

    # ---- requests

    def open(self, client: Any, incoming: IncomingRequest, came: int) -> Answer | ClientRequest:
        picture, fields = self.picture, incoming.fields
        if picture.gen < 0:
            return later(503, SECOND // 2, b"no configuration yet\n")
        if picture.clients.head and incoming.head_size() > self.limits.header:
            raise BadRequest(431, "head too large")
        if incoming.method == b"CONNECT":  # a success would turn the connection into a tunnel
            raise BadRequest(405, "no tunnels")
        rid = fields.get(b"attempt-id", b"")
        if not ATTEMPT_ID.fullmatch(rid):
            raise BadRequest(400, "Attempt-Id is missing or not understood")
        host = fields.get(b"host", b"").decode("latin-1").lower()
        if host not in picture.routes:
            host = host.rpartition(":")[0] or host
        path = incoming.target.partition(b"?")[0].decode("latin-1")
        route = picture.match(host, path)
        if route is None:
            return plain_answer(404, "no such route")
        tenant = None
        if picture.keys is not None and not route.public:
            scheme, _, key = fields.get(b"authorization", b"").decode("latin-1").partition(" ")
            holder = picture.keys.get(key.strip()) if scheme.lower() == "bearer" else None
            if holder is None:
                return plain_answer(401, "no such key")
            if not self.sure():
                return later(503, SECOND // 2, b"keys may be out of date\n")
            tenant = holder.name
        name = rid.decode("latin-1")
        if self.requests.get(name) is not None:
            raise BadRequest(409, "Attempt-Id is of a request in hand")
        if self.admission_closed or self.requests.full():
            return later(503, SECOND // 2, b"no room\n")
        left = fields.get(b"time-left", b"")
        wait = min(route.deadline, int(left) * MS if DIGITS.fullmatch(left) else route.deadline)
        service = route.service(self._rng.random())
        driver = self._lane_of(service, tenant) if picture.avoid else self._driver(service)
        event = i.Request(name, "", driver.class_of(route), 0, 1.0, 1, 0, came + wait)
        order = Order(driver, route, tenant, event, again=self._comes_again(route, wait))
        return ClientRequest(
            name, client, incoming.method, incoming.target, incoming.headers, incoming.body, event.deadline, order
        )

    def _comes_again(self, route: Route, wait: int) -> bool:
        """First tries of a route all wait for the longest that any did, less their way here."""
        longest = max(wait, self._longest.get(route.name, 0))
        self._longest[route.name] = longest
        return wait < longest - WAY

    def begin(self, request: ClientRequest) -> None:
        order: Order = request.event
        self.requests.add(request)
        if order.tenant is None:
            return self._go(request)
        patience = min(MOMENT, order.route.aim // 5)
        self.rate_limiter.count_request(
            order.tenant, order.again, partial(self._counted, request), patience, order.receipt
        )

    def _counted(self, request: ClientRequest, passes: bool, wait: int, counted: bool) -> None:
        if request.finished:
            return self.rate_limiter.refund(request.event.receipt)  # its client left while it was counted
        if passes:
            return self._go(request)
        self.tally.refusals["quota" if counted else "uncounted"] += 1
        if counted:
            self.final(request, later(429, wait, b"over the quota\n"))
        else:
            self.final(request, later(503, wait, b"not counted\n"))

    def _go(self, request: ClientRequest) -> None:
        order: Order = request.event
        facts = None
        if self.boards.chains is not None:
            route = order.route
            holder = self.picture.tenants.get(order.tenant) if order.tenant is not None else None
            rank = route.prio if holder is None or holder.prio is None else int(holder.prio)
            facts = RequestFacts(route.name, rank, order.tenant or "", route.safe, route.aim)
        self.boards.select(
            order.driver.service,
            request.deadline - self.loop.now,
            partial(self._advised, request),
            facts,
            order.driver.without,
        )

    def _advised(self, request: ClientRequest, pick: Selection | Rejected | None) -> None:
        order: Order = request.event
        if isinstance(pick, Rejected):
            if not request.finished:
                self.tally.refusals["no_room"] += 1
                self.final(request, later(503, pick.wait_us, b"no place has room\n"))
            return
        if not request.finished:
            order.given, order.pick = True, pick
            if pick is not None:
                order.youth = None if order.route.safe else pick.max_idle_us
                order.event = replace(order.event, preferred_backend=order.driver.number(pick.backend))
            order.driver.request_received(request, order.event)
            pick, out = order.pick, {attempt.backend for attempt in request.attempts.values()}
            if pick is None or order.driver.number(pick.backend) in out:
                return
        if pick is not None:  # not followed
            order.pick = None
            self.boards.report_attempt(pick, order.route.name, 0, "none")

    def final(self, request: ClientRequest, answer: Answer) -> None:
        """The answer to a request that was given to no lane."""
        super().final(request, answer)
        self.rate_limiter.refund(request.event.receipt)

    def client_gone(self, request: ClientRequest) -> None:
        order: Order = request.event
        if order.given:
            return order.driver.client_gone(request)
        self.abandon(request)
        self.rate_limiter.refund(order.receipt)
