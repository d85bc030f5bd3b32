"""The driver of one service: the service's backends, its policy instance, and the answers to its requests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from oakvale import interface as i
from oakvale.base.address import Address, parse_address
from oakvale.dataplane.backend_protocol import SystemDialect
from oakvale.dataplane.request_classes import RequestClasses
from oakvale.dataplane.routes import Backend, Route
from oakvale.drains.moves import effective_exclusions
from oakvale.driver import Driver
from oakvale.loadbalancing.board_service import LoadBoards, Selection
from oakvale.loadbalancing.load_board import BackendCandidate
from oakvale.memory.requests import Answer, ClientRequest, InFlightAttempt
from oakvale.ratelimit.counter_state import Receipt
from oakvale.retry_budget import FleetRetryBudget
from oakvale.shared import SharedResources

SECOND = 1_000_000  # microseconds
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
        attempt that is not wholly written ends with the connect timeout. A gateway that is stopping ends none: the
        backend may be at work, and a retry may find no room."""
        newly_closed, self._closed_zones = zones - self._closed_zones, zones
        if not self._publish_backends(numbers):
            return
        closed = {self._numbers[backend.id] for backend in self._backends.values() if backend.zone in newly_closed}
        for number in closed:
            self.idle.close_backend(number)
        if self.stopping:
            return
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
