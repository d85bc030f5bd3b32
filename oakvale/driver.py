"""A lane: one decision module and what carries out its actions on the sockets.

What the sockets bring becomes events, each action is carried out on them. No decisions live here: the module
says what is sent where, when it is called off and how each request ends. The gateway in service has one lane;
in the whole system each service has its own, and all share the process's connections, buffers and bounds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from oakvale import interface as i
from oakvale.base.address import Address
from oakvale.memory.requests import Answer, AttemptOut, InHand
from oakvale.policy.gateway import Gateway
from oakvale.retry_budget import RetryBudget
from oakvale.shared import ConnectionOwner, SharedResources
from oakvale.wire.backends import BackendConnection, Dialect


class Driver(ConnectionOwner):
    dialect: Dialect

    def __init__(
        self, shared: SharedResources, settings: i.Settings, seed: int, budget: RetryBudget | None = None
    ) -> None:
        super().__init__(shared)
        self.settings = settings
        self.gateway = Gateway(settings, seed, budget)
        self._events: deque[i.Event] = deque()
        self._dispatching = False
        self._action_handlers: dict[type[i.Action], Callable[[Any], None]] = {
            i.Attempt: self._attempt,
            i.Cancel: self._cancel,
            i.Refuse: self._refuse,
            i.Fail: self._fail,
            i.Wake: self._wake,
            i.Charge: self._charge,
            i.Watch: self._watch,
            i.Fetch: self._fetch,
            i.Log: self._record,
        }

    @property
    def backend_connections(self) -> int:
        return self.shared.backend_connections

    @backend_connections.setter
    def backend_connections(self, count: int) -> None:
        self.shared.backend_connections = count

    # ---- what the owner of a lane says

    def address(self, backend: int) -> Address | None:
        """Where a backend listens, None where it is not known any more."""
        raise NotImplementedError

    def serves(self, backend: int) -> bool:
        """Neither leaving nor left: a connection to it may be kept."""
        raise NotImplementedError

    def max_connection_idle(self, request: InHand) -> int | None:
        """Microseconds that a connection may have been idle and carry this request; None for any."""
        return None

    def final_answer(self, request: InHand, action: i.Refuse | i.Fail) -> Answer:
        """The final answer of a request that is given up."""
        raise NotImplementedError

    # ---- events

    def dispatch(self, event: i.Event) -> None:
        """Hands the module an event and carries out its actions. What these bring at once waits its turn."""
        self._events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._dispatching = False

    def _handle(self, event: i.Event) -> None:
        try:
            for action in self.gateway.handle(self.loop.now, event):
                self._action_handlers[type(action)](action)
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
            self.final(request, Answer(500, [(b"content-type", b"text/plain")], b"internal error\n"))
            self._events.append(i.Withdrawn(request.id))

    def request_received(self, request: InHand, event: i.Request) -> None:
        self.tally.requests += 1
        self.requests.add(request)
        self.dispatch(event)

    def client_gone(self, request: InHand) -> None:
        if not request.over:
            self.abandon(request)
            self.dispatch(i.Withdrawn(request.id))
            for attempt in [out for out in request.out.values() if not out.written]:
                self.cancel_attempt(attempt)  # it can't run yet: nothing more of it goes out, whatever its effect

    def attempt_ended(
        self, attempt: AttemptOut, ending: i.Ending, answer: Answer | None = None, report: tuple[float, ...] = ()
    ) -> None:
        request = attempt.request
        if request.out.pop(attempt.hop, None) is None:
            return
        self.tally.attempts[ending.value] += 1
        if request.abandoned:
            self.tally.abandoned_attempts[ending.value] += 1
        if answer is not None and not request.over:
            passed = self.dialect.passes(attempt, ending, answer)
            if passed is not None:
                self.final(request, passed)
        self.requests.drop_if_done(request)
        self.dispatch(
            i.Ended(
                request.id,
                attempt.backend,
                attempt.hop,
                request.over,
                ending,
                self.loop.now - attempt.sent,
                report=report,
            )
        )

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
        connection = self.idle.take(action.backend, now, self.max_connection_idle(request))
        if connection is not None:
            return connection.use(attempt, self)
        address = self.address(action.backend)
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
            self.cancel_attempt(attempt)

    def cancel_attempt(self, attempt: AttemptOut, ending: i.Ending = i.Ending.CANCELLED) -> None:
        """Ends an attempt with its connection: nothing more of it is sent, and its backend learns of it at once."""
        if attempt.connection is not None:
            attempt.connection.end()
        self.attempt_ended(attempt, ending)

    def _refuse(self, action: i.Refuse) -> None:
        request = self.requests.get(action.id)
        if request is not None and not request.over:
            self.final(request, self.final_answer(request, action))

    def _fail(self, action: i.Fail) -> None:
        request = self.requests.get(action.id)
        if request is not None and not request.over:
            self.final(request, self.final_answer(request, action))

    def _wake(self, action: i.Wake) -> None:
        self.loop.wake_at(self.loop.now + action.delay, self._due, action.token)

    def _due(self, token: int) -> None:
        self.dispatch(i.Timer(token))

    def _charge(self, action: i.Charge) -> None:
        self.dispatch(i.Counted(action.name, i.Ending.NO_CONNECTION, 0.0, 0))

    def _watch(self, action: i.Watch) -> None:
        pass

    def _fetch(self, _: i.Fetch) -> None:
        pass

    def _record(self, action: i.Log) -> None:
        self.log.info(action.text)
