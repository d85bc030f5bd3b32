"""Request routing in a gateway: matches a request to a route, has it counted, and passes it to a service driver."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

from oakvale import interface as i
from oakvale.dataplane.request_classes import classes_by_service
from oakvale.dataplane.routes import Backend, Route, RoutingSnapshot
from oakvale.dataplane.service_driver import RoutedRequest, ServiceDriver, retry_later_answer
from oakvale.loadbalancing.board_service import LoadBoards, Rejected, RequestFacts, Selection
from oakvale.memory.requests import Answer, ClientRequest
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
