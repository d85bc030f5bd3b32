"""The module's host on the sockets: what they bring becomes events, each action is carried out on them.

No decisions live here: the module says what is sent where, when it is called off and how each request ends.
"""

from __future__ import annotations

import logging
import time
from collections import deque
from collections.abc import Callable
from functools import lru_cache, partial
from typing import Any

from oakvale import interface as i
from oakvale.lifecycle.configuration import Configuration
from oakvale.lifecycle.loop import Loop
from oakvale.lifecycle.status import Tally
from oakvale.logic import Gateway
from oakvale.memory.buffers import BufferPool, Room
from oakvale.memory.idle import Clients, IdleConnections
from oakvale.memory.names import BackendNames
from oakvale.memory.requests import Answer, AttemptOut, InHand, RequestsInHand
from oakvale.wire.backends import BackendConnection, blames_request
from oakvale.wire.clients import response, terms
from oakvale.wire.counter import Counter
from oakvale.wire.discovery import Discovery
from oakvale.wire.http import end_to_end

FOR_US = frozenset({b"endpoint-load-metrics", b"x-never-ran"})  # what backends tell gateways, not clients


class Host:
    def __init__(self, configuration: Configuration, loop: Loop) -> None:
        self.loop, self.limits = loop, configuration.limits
        self.settings, self.names = configuration.settings, configuration.names
        self.log = logging.getLogger("oakvale.host")
        self.buffers = BufferPool(self.limits.buffer, self.limits.buffers)
        self.requests = RequestsInHand(self.limits.requests)
        self.idle = IdleConnections(self.limits.backend_idle, self.limits.backend_settle)
        self.clients = Clients(self.limits.client_grace, self.limits.clients_idle)
        self.tally = Tally()
        self.backend_names = BackendNames(self.names)
        self.backend_connections = 0
        self.bodies = Room(self.limits.bodies)
        self.listed = self.stopping = self.taking_ended = self.ended = False
        self.gateway = Gateway(self.settings, configuration.seed)
        self.counter = Counter(self, configuration.counter) if configuration.counter else None
        self.discovery = Discovery(self, configuration.discovery)
        self.terms = lru_cache(self.limits.cached)(partial(terms, self.settings))
        self.response = lru_cache(self.limits.cached)(response)
        self.unix_time = time.time_ns  # the clock of the kernel's stamps
        self._events: deque[i.Event] = deque()
        self._giving = False
        self._carry: dict[type[i.Action], Callable[[Any], None]] = {
            i.Attempt: self._attempt, i.Cancel: self._cancel, i.Refuse: self._refuse, i.Fail: self._fail,
            i.Wake: self._wake, i.Charge: self._charge, i.Watch: self._watch, i.Fetch: self._fetch,
            i.Log: self._record}

    # ---- events

    def give(self, event: i.Event) -> None:
        """Hands the module an event and carries out its actions. What these bring at once waits its turn."""
        self._events.append(event)
        if self._giving:
            return
        self._giving = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._giving = False

    def _handle(self, event: i.Event) -> None:
        try:
            for action in self.gateway.handle(self.loop.now, event):
                self._carry[type(action)](action)
        except Exception:
            self.log.exception("event failed", extra={"kind": type(event).__name__})
            self._after_fault(event)

    def _after_fault(self, event: i.Event) -> None:
        """A fault in one request's handling: that request is answered, the rest served. A timer is set again,
        or the module's own work at intervals would end with it."""
        if isinstance(event, i.Timer):
            self.loop.wake_at(self.loop.now + self.limits.fault_pause, self._due, event.token)
        request = self.requests.get(getattr(event, "id", ""))
        if request is not None and not request.over:
            self._final(request, Answer(500, [(b"content-type", b"text/plain")], b"internal error\n"))
            self._events.append(i.Withdrawn(request.id))

    def request_came(self, request: InHand, event: i.Request) -> None:
        self.tally.requests += 1
        self.requests.add(request)
        self.give(event)

    def client_gone(self, request: InHand) -> None:
        if not request.over:
            request.over = True
            self.requests.drop_if_done(request)
            self.give(i.Withdrawn(request.id))

    def attempt_ended(self, attempt: AttemptOut, ending: i.Ending, answer: Answer | None = None,
                      report: tuple[float, ...] = ()) -> None:
        request = attempt.request
        if request.out.pop(attempt.hop, None) is None:
            return
        self.tally.attempts[ending.value] += 1
        if answer is not None and not request.over and (
                ending is i.Ending.SERVED or blames_request(answer)):
            self._final(request, Answer(answer.status, end_to_end(answer.headers, FOR_US), answer.body))
        self.requests.drop_if_done(request)
        self.give(i.Ended(request.id, attempt.backend, attempt.hop, request.over, ending,
                          self.loop.now - attempt.sent, report=report))

    def counted(self, name: str, ending: i.Ending, level: float, sent: int) -> None:
        self.tally.calls[ending.value] += 1
        self.give(i.Counted(name, ending, level, self.loop.now - sent))

    def backends_changed(self, form: i.ListForm, entries: tuple[i.Entry, ...], freed: list[int]) -> None:
        self.listed = self.listed or bool(entries)
        self.give(i.Backends(form, entries))
        for backend in freed:
            self.idle.free(backend)

    # ---- what the connections ask

    def waited(self, arrived: int) -> int:
        """Microseconds since a stamp. One from the future or from long ago tells of a step of the clock."""
        waited = (self.unix_time() - arrived) // 1000 if arrived else 0
        return waited if 0 < waited < self.limits.clock_step else 0

    def can_serve(self) -> bool:
        return self.listed and not self.stopping

    def takes_no_more(self) -> bool:
        return self.taking_ended or self.requests.full()

    # ---- actions

    def _attempt(self, action: i.Attempt) -> None:
        request = self.requests.get(action.id)
        if request is None:
            return
        hop, now = request.hops, self.loop.now
        request.hops += 1
        due = min(request.deadline, now + action.timeout) if action.timeout else request.deadline
        attempt = AttemptOut(request, action.backend, hop, now, due)
        request.out[hop] = attempt
        if request.over or due <= now or hop >= self.settings.max_attempts:
            return self.attempt_ended(attempt, i.Ending.MOOT)
        connection = self.idle.take(action.backend, now)
        if connection is not None:
            return connection.use(attempt)
        address = self.backend_names.address(action.backend)
        if address is None or not self._room_for_backend():
            return self.attempt_ended(attempt, i.Ending.NO_CONNECTION)
        try:
            BackendConnection(self, attempt, address)
        except OSError as error:
            self.log.warning("no socket for an attempt", extra={"why": str(error)})
            self.attempt_ended(attempt, i.Ending.NO_CONNECTION)

    def _room_for_backend(self) -> bool:
        return self.backend_connections < self.limits.backends or self.idle.end_oldest()

    def _cancel(self, action: i.Cancel) -> None:
        request = self.requests.get(action.id)
        attempt = request.out.get(action.hop) if request else None
        if attempt is not None:
            if attempt.connection is not None:
                attempt.connection.end()
            self.attempt_ended(attempt, i.Ending.CANCELLED)

    def _refuse(self, action: i.Refuse) -> None:
        request = self.requests.get(action.id)
        if request is not None and not request.over:
            headers = [(b"content-type", b"text/plain")]
            if action.retry_after:
                # in hundredths, upwards: few different heads, which need not be made anew
                headers.append((b"retry-after", b"%.2f" % (-(-action.retry_after // 10_000) / 100)))
            # too much was asked, or those who were asked could not serve it
            self._final(request, Answer(503 if request.hops else 429, headers, b"try again later\n"))

    def _fail(self, action: i.Fail) -> None:
        request = self.requests.get(action.id)
        if request is not None and not request.over:
            self._final(request, Answer(502, [(b"content-type", b"text/plain")], b"failed\n"))

    def _final(self, request: InHand, answer: Answer) -> None:
        request.over = True
        request.client.give(answer)
        self.requests.drop_if_done(request)

    def _wake(self, action: i.Wake) -> None:
        self.loop.wake_at(self.loop.now + action.delay, self._due, action.token)

    def _due(self, token: int) -> None:
        self.give(i.Timer(token))

    def _charge(self, action: i.Charge) -> None:
        if self.counter is None:
            return self.give(i.Counted(action.name, i.Ending.NO_CONNECTION, 0.0, 0))
        self.counter.call(action.name, action.amount, action.ttl)

    def _watch(self, action: i.Watch) -> None:
        self.discovery.watch(action.on)

    def _fetch(self, _: i.Fetch) -> None:
        self.discovery.fetch()

    def _record(self, action: i.Log) -> None:
        self.log.info(action.text)
