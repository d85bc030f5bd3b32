"""Request routing in a gateway: matches a request to a route, has it counted, and passes it to a service driver."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from oakvale import interface as i
from oakvale.base.address import Address, parse_address
from oakvale.dataplane.backend_protocol import SystemDialect
from oakvale.dataplane.request_classes import RequestClasses, classes_by_service
from oakvale.dataplane.routes import Backend, Route, RoutingSnapshot
from oakvale.drains.moves import effective_exclusions
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
MS = 1_000  # microseconds
SECOND = 1_000_000  # microseconds
MAX_COUNTER_DISCOVERY_WAIT_US = 250 * MS  # also limited to a fifth of the route's target time
MAX_TRANSIT_US = 45 * MS  # a first try loses at most this much of its Time-Left on the way here
MAX_ATTEMPTS = 64  # upper bound; each route sets its own limit
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


def retry_later_answer(status: int, wait_us: int, body: bytes) -> Answer:
    """A refusal of a request that never ran, with Retry-After in seconds, rounded up to hundredths."""
    return Answer(status, [TEXT, (b"retry-after", b"%.2f" % (-(-max(wait_us, 10_000) // 10_000) / 100))], body)


@dataclass(slots=True)
class RoutedRequest:
    """Routing state of a request; the `event` of its `ClientRequest`."""

    driver: ServiceDriver
    route: Route
    tenant: str | None
    event: i.Request
    is_retry: bool = False  # the client sent an earlier request for the same work
    handed_to_driver: bool = False
    selection: Selection | None = None  # the board's advice, until its ticket is returned
    max_connection_idle_us: int | None = None  # for connections that may carry it, as the board advises
    fallback_answer: Answer | None = None  # a backend's failure, sent if no later attempt succeeds
    receipt: Receipt = field(default_factory=Receipt)  # of its count, until it is refunded


class ServiceDriver(Driver):
    """Driver of one service: its backends and its policy instance.

    A service has a main driver, and one more for each set of backends that tenants have been moved off."""

    def __init__(
        self,
        shared: SharedResources,
        boards: LoadBoards,
        service: str,
        zones: dict[str, int],
        zone: str,
        seed: int,
        budget: FleetRetryBudget,
        refund: Callable[[Receipt], None],
        excluded_backends: frozenset[str] = frozenset(),
    ) -> None:
        """`refund` returns the count of a request that never ran; `excluded_backends` are never used unless no other
        backend is ready."""
        self.boards, self.excluded_backends, self._refund = boards, excluded_backends, refund
        self._classes = RequestClasses()
        self._zones, self.service = zones, service
        settings = i.Settings(
            classes=(),
            plans=(i.Plan(),),
            zone=zones.get(zone, 0),
            retry_after=True,
            max_attempts=MAX_ATTEMPTS,
            max_retry_after=SECOND,
            may_cancel=True,
            cross_zone_price=1.0,
            cold_from=1.0,
            late_earns=True,
        )
        super().__init__(shared, settings, seed, budget)
        self.budget = budget
        self.dialect = SystemDialect()
        self._ids: dict[int, str] = {}  # by the policy's backend number
        self._numbers: dict[str, int] = {}
        self._addresses: dict[int, Address] = {}
        self._ready: set[int] = set()
        self._backends: dict[str, Backend] = {}
        self._candidates: list[BackendCandidate] = []
        self._closed_zones: frozenset[str] = frozenset()
        self.has_backend_list = False

    def configure_classes(self, configured: frozenset[i.RequestClass]) -> None:
        """Takes the request classes that the service's routes have in a new configuration."""
        if self._classes.configure(configured):
            self._update_classes()

    def _update_classes(self) -> None:
        self.settings = i.replace_classes(self.settings, self._classes.numbered)
        self.gateway.update_settings(self.settings)

    def request_received(self, request: ClientRequest, event: i.Request) -> None:
        """Also gives the request its class, and records it in the retry budget, which allows retries in proportion.

        The class gets its number here, as numbers may change while a request waits for its turn."""
        self.budget.record_request(self.loop.now)
        number, is_new = self._classes.number(request.event.route)
        if is_new:
            self._update_classes()
        super().request_received(request, replace(event, class_index=number))

    def final(self, request: ClientRequest, answer: Answer) -> None:
        """Answers the client; also refunds a request that was never attempted."""
        super().final(request, answer)
        self._refund_if_not_attempted(request)

    def client_gone(self, request: ClientRequest) -> None:
        """Withdraws the request; also refunds one that was never attempted."""
        super().client_gone(request)
        self._refund_if_not_attempted(request)

    def _refund_if_not_attempted(self, request: ClientRequest) -> None:
        """A request without any attempt has certainly not run."""
        if not request.hops:
            routed: RoutedRequest = request.event
            self._refund(routed.receipt)

    def update_backends(self, backends: list[Backend], numbers: dict[str, int]) -> None:
        """Takes the service's current backends; closes idle connections to those that may no longer be used."""
        if self.excluded_backends:
            excluded = effective_exclusions({backend.id: backend.ready for backend in backends}, self.excluded_backends)
            backends = [backend for backend in backends if backend.id not in excluded]
        current = {backend.id: backend for backend in backends}
        if current == self._backends and self.has_backend_list:
            return
        previous, self._backends, self.has_backend_list = self._backends, current, True
        self._publish_backends(numbers)
        for name, backend in previous.items():
            now = current.get(name)
            if name not in self.excluded_backends and (now is None or not now.ready or now.address != backend.address):
                self.idle.close_backend(self._numbers[name])

    def close_zones(self, zones: frozenset[str], numbers: dict[str, int]) -> None:
        """Stops using these zones and ends the attempts that wait for an answer there.

        The policy retries such a request if it is safe and the retry budget allows, and otherwise answers at once. An
        attempt that is not wholly written ends with the connect timeout."""
        newly_closed, self._closed_zones = zones - self._closed_zones, zones
        if not self._publish_backends(numbers):
            return
        closed = {self._numbers[backend.id] for backend in self._backends.values() if backend.zone in newly_closed}
        for number in closed:
            self.idle.close_backend(number)
        for attempt in [
            attempt
            for request in self.requests.all()
            if not request.finished and request.event.driver is self
            for attempt in request.attempts.values()
        ]:
            if attempt.backend in closed and attempt.written and attempt.connection is not None:
                self.cancel_attempt(attempt, i.Ending.TIMEOUT)

    def _publish_backends(self, numbers: dict[str, int]) -> bool:
        """Passes the backend list to the policy; returns whether closed zones are avoided.

        They are not where no backend outside them is ready: an attempt there is better than a refusal."""
        ready = {backend.id for backend in self._backends.values() if backend.ready}
        usable = {name for name in ready if self._backends[name].zone not in self._closed_zones}
        avoids_closed_zones = bool(usable) or not ready
        usable = usable if avoids_closed_zones else ready
        entries = []
        for backend in self._backends.values():
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
                    state=i.State.READY if backend.id in usable else i.State.DRAINING,
                    slots=backend.slots,
                )
            )
        self._ready = {self._numbers[name] for name in usable}
        candidates = [
            BackendCandidate(backend.id, backend.zone, backend.slots, backend.warmup_us)
            for backend in self._backends.values()
            if backend.ready
        ]
        if candidates != self._candidates:
            self._candidates = candidates
        self.dispatch(i.Backends(i.ListForm.FULL, tuple(entries)))
        return avoids_closed_zones

    def backend_number(self, backend: str) -> int:
        """The policy's number of a backend; 0 if it is unknown here."""
        return self._numbers.get(backend, 0)

    def attempt_ended(
        self, attempt: InFlightAttempt, ending: i.Ending, answer: Answer | None = None, report: tuple[float, ...] = ()
    ) -> None:
        """Reports the result to the holder of the service's board, which advises all gateways."""
        routed: RoutedRequest = attempt.request.event
        name, latency, outcome = self.backend_id(attempt.backend), self.loop.now - attempt.started_at, OUTCOMES[ending]
        if attempt.hop in attempt.request.attempts:
            if routed.selection is not None and routed.selection.backend == name:
                dropped_after_idle_us = attempt.connection_idle_us if attempt.dropped_before_answer else 0
                self.boards.report_attempt(
                    routed.selection,
                    routed.route.name,
                    latency,
                    outcome,
                    dropped_after_idle_us,
                    attempt.reusable_for_us,
                )
                routed.selection = None
            else:
                self.boards.report_unselected_attempt(
                    self.service, name, routed.route.name, latency, outcome, attempt.reusable_for_us
                )
        super().attempt_ended(attempt, ending, answer, report)

    def retire(self) -> None:
        """Called when no more requests will come: timers are set only while some are still pending."""
        self._action_handlers[i.Wake] = self._wake_while_pending

    def _wake_while_pending(self, action: i.Wake) -> None:
        if any(request.event.driver is self for request in self.requests.all()):
            self._wake(action)

    def candidates(self) -> list[BackendCandidate]:
        """The ready backends, as the board selects from them."""
        return self._candidates

    def backend_id(self, number: int) -> str:
        """The name of a backend with this number; empty if it is unknown here."""
        return self._ids.get(number, "")

    def address(self, backend: int) -> Address | None:
        return self._addresses.get(backend)

    def serves(self, backend: int) -> bool:
        return backend in self._ready

    def max_connection_idle(self, request: ClientRequest) -> int | None:
        """An unsafe request must not go out on a connection that its backend may have closed without notice."""
        routed: RoutedRequest = request.event
        return routed.max_connection_idle_us

    def final_answer(self, request: ClientRequest, action: i.Refuse | i.Fail) -> Answer:
        """An earlier error of a backend if there is one; else 502 if the request may have run, or 503 if not."""
        routed: RoutedRequest = request.event
        if routed.fallback_answer is not None:
            return routed.fallback_answer
        self.tally.refusals["may_have_run" if isinstance(action, i.Fail) else "no_backend"] += 1
        if isinstance(action, i.Fail):
            return Answer(502, [TEXT], b"it may have run\n")
        return retry_later_answer(503, action.retry_after, b"try again later\n")


class RequestRouter(ConnectionOwner):
    """Owns the clients' connections and hands each request to the driver of its service."""

    def __init__(
        self,
        shared: SharedResources,
        rate_limiter: RateLimiter,
        transport: Transport,
        node: str,
        zones: list[str],
        zone: str,
        retry_limits: RetryLimits,
    ) -> None:
        super().__init__(shared)
        self.rate_limiter = rate_limiter
        self.boards = LoadBoards(
            shared.loop, transport, rate_limiter, node, zone, lambda service: self._driver(service).candidates()
        )
        self.boards.on_zones_closed = lambda service, zones: self._driver(service).close_zones(
            zones, self._backend_numbers
        )
        self.snapshot = RoutingSnapshot()
        self._zones, self._zone = {name: n for n, name in enumerate(zones)}, zone
        self._drivers: dict[str, ServiceDriver] = {}
        self._drivers_with_exclusions: dict[tuple[str, frozenset[str]], ServiceDriver] = {}  # for moved tenants
        self.draining = False  # clients are to reconnect to other gateways
        self._backend_numbers: dict[str, int] = {}  # shared by all drivers
        self._rng, self._retry_limits = self.loop.net.rng, retry_limits
        self.admission_closed = False
        self._previous_client_idle = (0, 0)  # a longer idle limit that clients may still assume, and until when
        self._longest_wait_us: dict[tuple[str, str], int] = {}  # by a route's host and prefix
        self._classes_by_service: dict[str, frozenset[i.RequestClass]] = {}  # of the configuration in force
        self.serves: Callable[[], bool] = lambda: self.snapshot.generation >= 0  # whether requests may be handled
        self.revocations_current: Callable[[], bool] = lambda: True  # whether a revoked key would be known here

    @property
    def stopping(self) -> bool:
        """While true, answers announce that their connection closes, and `readyz` reports not ready."""
        return self.shared.stopping or self.draining

    @stopping.setter
    def stopping(self, stopping: bool) -> None:
        self.shared.stopping = stopping

    # ---- configuration and state updates

    def apply_snapshot(self, snapshot: RoutingSnapshot) -> None:
        """Uses this snapshot for all requests from now on."""
        previous, self.snapshot = self.snapshot, snapshot
        if snapshot.generation != previous.generation:
            self._longest_wait_us.clear()
            self._configure_classes()
            previous_idle_us = previous.clients.within(self.shared.limits).client_idle
            if previous.generation >= 0 and snapshot.clients.within(self.shared.limits).client_idle < previous_idle_us:
                self._previous_client_idle = (
                    max(previous_idle_us, self.limits.client_idle),
                    self.loop.now + previous_idle_us,
                )
                self.loop.at(self._previous_client_idle[1], self._update_limits)
            self._update_limits()
        if snapshot.backends is not previous.backends:
            by_service: dict[str, list[Backend]] = {}
            for backend in snapshot.backends.values():
                by_service.setdefault(backend.service, []).append(backend)
            for service in dict.fromkeys([*self._drivers, *by_service]):  # a deterministic order, for replays
                self._driver(service).update_backends(by_service.get(service, []), self._backend_numbers)
            for (service, _), driver in self._drivers_with_exclusions.items():
                driver.update_backends(by_service.get(service, []), self._backend_numbers)
        if snapshot.avoid is not previous.avoid:
            avoided_sets = {avoided for avoided in snapshot.avoid.values()}
            for key in [
                key for key in self._drivers_with_exclusions if not any(key[1] <= avoided for avoided in avoided_sets)
            ]:
                self._drivers_with_exclusions.pop(key).retire()

    def _configure_classes(self) -> None:
        """Has all drivers drop the request classes of routes that were removed or changed."""
        routes = (route for routes in self.snapshot.routes.values() for route in routes)
        self._classes_by_service = classes_by_service(routes)
        drivers = [*self._drivers.values(), *self._drivers_with_exclusions.values()]
        for driver in drivers:
            driver.configure_classes(self._classes_by_service.get(driver.service, frozenset()))

    def _update_limits(self, _: Any = None) -> None:
        """A shorter idle limit takes effect once clients that rely on the longer one have had time to notice."""
        limits = self.snapshot.clients.within(self.shared.limits)
        previous_idle_us, until = self._previous_client_idle
        if self.loop.now < until:
            limits = replace(limits, client_idle=max(limits.client_idle, previous_idle_us))
        self.limits = limits

    def _driver(self, service: str) -> ServiceDriver:
        driver = self._drivers.get(service)
        if driver is None:
            budget = FleetRetryBudget(
                self._retry_limits, lambda: len(self.snapshot.members), self._rng.random, self.loop.now
            )
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
            driver.configure_classes(self._classes_by_service.get(service, frozenset()))
        return driver

    def _driver_for_tenant(self, service: str, tenant: str | None) -> ServiceDriver:
        """The driver of the service without the backends that the tenant was moved off, if it has any of them."""
        driver = self._driver(service)
        excluded = frozenset(
            name
            for name in self.snapshot.avoid.get(tenant or "", ())
            if (found := self.snapshot.backends.get(name)) is not None and found.service == service
        )
        if not excluded:
            return driver
        narrowed = self._drivers_with_exclusions.get((service, excluded))
        if narrowed is None:
            narrowed = self._drivers_with_exclusions[service, excluded] = ServiceDriver(
                self.shared,
                self.boards,
                service,
                self._zones,
                self._zone,
                self._rng.getrandbits(32),
                driver.budget,
                self.rate_limiter.refund,
                excluded,
            )
            narrowed.configure_classes(self._classes_by_service.get(service, frozenset()))
            narrowed.update_backends(
                [backend for backend in self.snapshot.backends.values() if backend.service == service],
                self._backend_numbers,
            )
        return narrowed

    # ---- requests

    def open(self, client: Any, incoming: IncomingRequest, arrived: int) -> Answer | ClientRequest:
        """Checks a request that was received; returns it, or the answer where it goes no further."""
        snapshot, fields = self.snapshot, incoming.fields
        if not self.serves():
            return retry_later_answer(503, SECOND // 2, b"no current configuration yet\n")
        if snapshot.clients.max_head_bytes and incoming.head_size() > self.limits.header:
            raise BadRequest(431, "head too large")
        if incoming.method == b"CONNECT":  # a success would turn the connection into a tunnel
            raise BadRequest(405, "no tunnels")
        request_id = fields.get(b"attempt-id", b"")
        if not ATTEMPT_ID.fullmatch(request_id):
            raise BadRequest(400, "Attempt-Id is missing or not understood")
        host = fields.get(b"host", b"").decode("latin-1").lower()
        if host not in snapshot.routes:
            host = host.rpartition(":")[0] or host
        path = incoming.target.partition(b"?")[0].decode("latin-1")
        route = snapshot.match(host, path)
        if route is None:
            return plain_answer(404, "no such route")
        tenant = None
        if snapshot.keys is not None and not route.public:
            scheme, _, key = fields.get(b"authorization", b"").decode("latin-1").partition(" ")
            key_owner = snapshot.keys.get(key.strip()) if scheme.lower() == "bearer" else None
            if key_owner is None:
                return plain_answer(401, "no such key")
            if not self.revocations_current():
                return retry_later_answer(503, SECOND // 2, b"keys may be out of date\n")
            tenant = key_owner.name
        name = request_id.decode("latin-1")
        if self.requests.get(name) is not None:
            raise BadRequest(409, "Attempt-Id is of a request in hand")
        if self.admission_closed or self.requests.full():
            return retry_later_answer(503, SECOND // 2, b"no room\n")
        time_left = fields.get(b"time-left", b"")
        wait_us = min(route.deadline_us, int(time_left) * MS if DIGITS.fullmatch(time_left) else route.deadline_us)
        service = route.choose_service(self._rng.random())
        driver = self._driver_for_tenant(service, tenant) if snapshot.avoid else self._driver(service)
        event = i.Request(name, "", 0, 0, 1.0, 1, 0, arrived + wait_us)  # the driver sets its class
        routed = RoutedRequest(driver, route, tenant, event, is_retry=self._is_retry(route, wait_us))
        return ClientRequest(
            name, client, incoming.method, incoming.target, incoming.headers, incoming.body, event.deadline, routed
        )

    def _is_retry(self, route: Route, wait_us: int) -> bool:
        """Whether a client has sent this request before, judged by its Time-Left.

        First tries of a route all start with the same time, and lose at most MAX_TRANSIT_US on the way here."""
        key = route.host, route.prefix
        longest = max(wait_us, self._longest_wait_us.get(key, 0))
        self._longest_wait_us[key] = longest
        return wait_us < longest - MAX_TRANSIT_US

    def begin(self, request: ClientRequest) -> None:
        """Starts a request that `open` returned: counts it against its tenant's quota, if it has one."""
        routed: RoutedRequest = request.event
        self.requests.add(request)
        if routed.tenant is None:
            return self._select_backend(request)
        max_wait_us = min(MAX_COUNTER_DISCOVERY_WAIT_US, routed.route.target_us // 5)
        self.rate_limiter.count_request(
            routed.tenant, routed.is_retry, partial(self._on_counted, request), max_wait_us, routed.receipt
        )

    def _on_counted(self, request: ClientRequest, within_quota: bool, wait_us: int, counted: bool) -> None:
        if request.finished:
            return self.rate_limiter.refund(request.event.receipt)  # the client left in the meantime
        if within_quota:
            return self._select_backend(request)
        self.tally.refusals["quota" if counted else "uncounted"] += 1
        if counted:
            self.final(request, retry_later_answer(429, wait_us, b"over the quota\n"))
        else:
            self.final(request, retry_later_answer(503, wait_us, b"not counted\n"))

    def _select_backend(self, request: ClientRequest) -> None:
        routed: RoutedRequest = request.event
        facts = None
        if self.boards.chains is not None:
            route = routed.route
            tenant = self.snapshot.tenants.get(routed.tenant) if routed.tenant is not None else None
            priority = route.priority if tenant is None or tenant.priority is None else int(tenant.priority)
            facts = RequestFacts(route.name, priority, routed.tenant or "", route.safe, route.target_us)
        self.boards.select(
            routed.driver.service,
            request.deadline - self.loop.now,
            partial(self._on_selected, request),
            facts,
            routed.driver.excluded_backends,
        )

    def _on_selected(self, request: ClientRequest, selection: Selection | Rejected | None) -> None:
        routed: RoutedRequest = request.event
        if isinstance(selection, Rejected):
            if not request.finished:
                self.tally.refusals["no_room"] += 1
                self.final(request, retry_later_answer(503, selection.wait_us, b"no place has room\n"))
            return
        if not request.finished:
            routed.handed_to_driver, routed.selection = True, selection
            if selection is not None:
                routed.max_connection_idle_us = None if routed.route.safe else selection.max_idle_us
                routed.event = replace(routed.event, preferred_backend=routed.driver.backend_number(selection.backend))
            routed.driver.request_received(request, routed.event)
            selection, attempted = routed.selection, {attempt.backend for attempt in request.attempts.values()}
            if selection is None or routed.driver.backend_number(selection.backend) in attempted:
                return
        if selection is not None:  # the policy did not use it
            routed.selection = None
            self.boards.report_attempt(selection, routed.route.name, 0, "none")

    def final(self, request: ClientRequest, answer: Answer) -> None:
        """Answers a request that was not handed to a driver."""
        super().final(request, answer)
        self.rate_limiter.refund(request.event.receipt)

    def client_gone(self, request: ClientRequest) -> None:
        """Abandons a request whose client has left; its driver, if it has one, does the rest."""
        routed: RoutedRequest = request.event
        if routed.handed_to_driver:
            return routed.driver.client_gone(request)
        self.abandon(request)
        self.rate_limiter.refund(routed.receipt)
