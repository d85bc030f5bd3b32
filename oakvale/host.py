"""The stand-alone gateway: a driver with its counter, its discovery, and the answers to its clients."""

from __future__ import annotations

from functools import lru_cache, partial

from oakvale import interface as i
from oakvale.base.address import Address
from oakvale.base.configuration import Configuration
from oakvale.base.loop import Loop
from oakvale.driver import Driver
from oakvale.memory.backend_names import BackendNames
from oakvale.memory.requests import Answer, ClientRequest
from oakvale.shared import SharedResources
from oakvale.wire.backends import ServiceDialect
from oakvale.wire.clients import (
    HEALTH_PATH,
    METHODS,
    BadRequest,
    IncomingRequest,
    decode_request,
    parse_call_terms,
    plain_answer,
)
from oakvale.wire.counter import CounterClient
from oakvale.wire.discovery import Discovery


class Host(Driver):
    """Owns the connections to clients, backends, counter and discovery."""

    def __init__(self, configuration: Configuration, loop: Loop) -> None:
        super().__init__(SharedResources(loop, configuration.limits), configuration.settings, configuration.seed)
        self.names = configuration.names
        self.dialect = ServiceDialect(self.settings.report)
        self.backend_names = BackendNames(self.names)
        self.listed = self.admission_closed = False
        self.counter = CounterClient(self, configuration.counter) if configuration.counter else None
        self.discovery = Discovery(self, configuration.discovery)
        self.terms = lru_cache(self.limits.cached)(partial(parse_call_terms, self.settings))
        self.unix_time = loop.net.unix_time  # the clock of the kernel's timestamps

    # ---- implementation of Driver

    def address(self, backend: int) -> Address | None:
        return self.backend_names.address(backend)

    def serves(self, backend: int) -> bool:
        return self.backend_names.serves(backend)

    def final_answer(self, request: ClientRequest, action: i.Refuse | i.Fail) -> Answer:
        headers = [(b"content-type", b"text/plain")]
        if isinstance(action, i.Fail):
            return Answer(502, headers, b"failed\n")
        if action.retry_after:
            # rounded up to hundredths of a second: few different heads, which are cached
            headers.append((b"retry-after", b"%.2f" % (-(-action.retry_after // 10_000) / 100)))
        # 429: over quota, no attempt was made; 503: the backends could not serve it
        return Answer(503 if request.hops else 429, headers, b"try again later\n")

    # ---- called by client connections

    def waited(self, arrived: int) -> int:
        """Microseconds since an arrival; 0 where the clock has stepped, as its timestamp is implausible."""
        waited = (self.unix_time() - arrived) // 1000 if arrived else 0
        return waited if 0 < waited < self.limits.clock_step else 0

    def open(self, client: object, incoming: IncomingRequest, came: int) -> Answer | ClientRequest:
        """Answers a request at once, or registers nothing yet and returns it for `begin`."""
        if incoming.target == HEALTH_PATH:
            return plain_answer(200, "ok") if self.can_serve() else plain_answer(503, "not ready")
        if incoming.method not in METHODS:
            raise BadRequest(405, "only GET and POST")
        request = decode_request(incoming, came, self.names, self.limits.client_wait, self.terms)
        if self.requests.get(request.id) is not None:
            raise BadRequest(409, "X-Trace-Id is of a request in hand")
        if self.refuses_requests():
            return plain_answer(503, "no room")
        return ClientRequest(
            request.id,
            client,
            incoming.method,
            incoming.target,
            incoming.headers,
            incoming.body,
            request.deadline,
            request,
        )

    def begin(self, request: ClientRequest) -> None:
        """Starts to handle a request that `open` returned."""
        self.request_received(request, request.event)

    def counted(self, name: str, ending: i.Ending, level: float, sent: int) -> None:
        """Reports the end of a counter call to the policy."""
        self.tally.calls[ending.value] += 1
        self.dispatch(i.Counted(name, ending, level, self.loop.now - sent))

    def backends_changed(self, form: i.ListForm, entries: tuple[i.Entry, ...], freed: list[int]) -> None:
        """Reports an update of the backend list, and closes idle connections to removed backends."""
        self.listed = self.listed or bool(entries)
        self.dispatch(i.Backends(form, entries))
        for backend in freed:
            self.idle.close_backend(backend)

    def can_serve(self) -> bool:
        """Whether a backend list has arrived and the process is not stopping."""
        return self.listed and not self.stopping

    def refuses_requests(self) -> bool:
        """Whether new requests are turned away at once."""
        return self.admission_closed or self.requests.full()

    def _charge(self, action: i.Charge) -> None:
        if self.counter is None:
            return self.dispatch(i.Counted(action.name, i.Ending.NO_CONNECTION, 0.0, 0))
        self.counter.call(action.name, action.amount, action.ttl)

    def _watch(self, action: i.Watch) -> None:
        self.discovery.watch(action.on)

    def _fetch(self, _: i.Fetch) -> None:
        self.discovery.fetch()
