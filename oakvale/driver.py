"""Connects one policy instance with the sockets: socket activity becomes events, and actions are carried out.

No decisions live here: the policy decides what is sent where, when it is cancelled and how each request ends. The
stand-alone gateway has one driver. In the whole system each service has its own, and all drivers of a process share
its connections, buffers and limits.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from oakvale import interface as i
from oakvale.base.address import Address
from oakvale.memory.requests import Answer, ClientRequest, InFlightAttempt
from oakvale.policy.gateway import Gateway
from oakvale.retry_budget import RetryBudget
from oakvale.shared import ConnectionOwner, SharedResources
from oakvale.wire.backends import BackendConnection, Dialect


class Driver(ConnectionOwner):
    """Base class; `dialect` is the protocol variant that its backends use."""

    dialect: Dialect

    def __init__(
        self, shared: SharedResources, settings: i.Settings, seed: int, budget: RetryBudget | None = None
    ) -> None:
        super().__init__(shared)
        self.settings = settings
        self.gateway = Gateway(settings, seed, budget)
        self._events: deque[i.Event] = deque()
        self._dispatching = False
        self._told_stopping = False  # the policy knows that the process is shutting down
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

    # ---- to be implemented by subclasses

    def address(self, backend: int) -> Address | None:
        """The address of a backend; None if it is no longer known."""
        raise NotImplementedError

    def serves(self, backend: int) -> bool:
        """Whether a backend takes requests, so that an idle connection to it may be kept."""
        raise NotImplementedError

    def max_connection_idle(self, request: ClientRequest) -> int | None:
        """Longest idle time, in microseconds, of a connection that may carry this request; None for any."""
        return None

    def final_answer(self, request: ClientRequest, action: i.Refuse | i.Fail) -> Answer:
        """The final answer of a request that was refused or failed."""
        raise NotImplementedError

    # ---- events

    def dispatch(self, event: i.Event) -> None:
        """Passes an event to the policy and carries out its actions; events that these cause are queued."""
        if self.stopping and not self._told_stopping:  # before anything is decided after SIGTERM
            self._told_stopping = True
            self._events.append(i.Stopping())
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
            self._recover(event)

    def _recover(self, event: i.Event) -> None:
        """After an exception: answers the request concerned, and has the policy forget it, also where it was answered
        before. A timer is set again, or periodic work would end."""
        if isinstance(event, i.Timer):
            self.loop.wake_at(self.loop.now + self.limits.fault_pause, self._on_timer, event.token)
        request_id = getattr(event, "id", "")
        request = self.requests.get(request_id)
        if request is not None and not request.finished:
            self.final(request, Answer(500, [(b"content-type", b"text/plain")], b"internal error\n"))
        if request_id and not isinstance(event, i.Withdrawn):
            self._events.append(i.Withdrawn(request_id))

    def request_received(self, request: ClientRequest, event: i.Request) -> None:
        """Registers a new request and passes it to the policy."""
        self.tally.requests += 1
        self.requests.add(request)
        self.dispatch(event)

    def client_gone(self, request: ClientRequest) -> None:
        """The client has left: withdraws the request and cancels attempts that are not wholly written."""
        if not request.finished:
            self.abandon(request)
            self.dispatch(i.Withdrawn(request.id))
            for attempt in [out for out in request.attempts.values() if not out.written]:
                self.cancel_attempt(attempt)  # not wholly sent, so it can't run, whatever its effect

    def attempt_ended(
        self, attempt: InFlightAttempt, ending: i.Ending, answer: Answer | None = None, report: tuple[float, ...] = ()
    ) -> None:
        """Records the end of an attempt, passes on a usable answer, and reports the end to the policy."""
        request = attempt.request
        if request.attempts.pop(attempt.hop, None) is None:
            return
        self.tally.attempts[ending.value] += 1
        if request.abandoned:
            self.tally.abandoned_attempts[ending.value] += 1
        if answer is not None and not request.finished:
            self._forward(attempt, ending, answer)
        self.requests.remove_if_done(request)
        self.dispatch(
            i.Ended(
                request.id,
                attempt.backend,
                attempt.hop,
                request.finished,
                ending,
                self.loop.now - attempt.started_at,
                report=report,
            )
        )

    def _forward(self, attempt: InFlightAttempt, ending: i.Ending, answer: Answer) -> None:
        """Answers the client if no other attempt may follow. After an exception the policy decides what follows, as
        after an attempt without a usable answer."""
        try:
            forwarded = self.dialect.client_answer(attempt, ending, answer)
        except Exception:
            self.log.exception("answer cannot be passed on", extra={"status": answer.status})
            return
        if forwarded is not None:
            self.final(attempt.request, forwarded)

    # ---- actions

    def _attempt(self, action: i.Attempt) -> None:
        request = self.requests.get(action.id)
        if request is None:
            return
        hop, now = request.hops, self.loop.now
        request.hops += 1
        deadline = min(request.deadline, now + action.timeout) if action.timeout else request.deadline
        attempt = InFlightAttempt(request, action.backend, hop, now, deadline)
        request.attempts[hop] = attempt
        if request.finished or deadline <= now or hop >= self.settings.max_attempts:
            return self.attempt_ended(attempt, i.Ending.MOOT)
        # all attempts of a request share its id: a late duplicate of an earlier attempt's answer on the same connection
        # would be taken for the answer of this one
        connection = self.idle.take(action.backend, now, self.max_connection_idle(request), request.used_connections)
        if connection is not None:
            return connection.start_attempt(attempt, self)
        address = self.address(action.backend)
        if address is None or not self._may_connect():
            return self.attempt_ended(attempt, i.Ending.NO_CONNECTION)
        try:
            BackendConnection(self, attempt, address)
        except OSError as error:
            self.log.warning("no socket for an attempt", extra={"why": str(error)})
            self.attempt_ended(attempt, i.Ending.NO_CONNECTION)

    def _may_connect(self) -> bool:
        return self.backend_connections < self.limits.backends or self.idle.close_oldest()

    def _cancel(self, action: i.Cancel) -> None:
        request = self.requests.get(action.id)
        attempt = request.attempts.get(action.hop) if request else None
        if attempt is not None:
            self.cancel_attempt(attempt)

    def cancel_attempt(self, attempt: InFlightAttempt, ending: i.Ending = i.Ending.CANCELLED) -> None:
        """Ends an attempt and closes its connection, so that its backend notices at once."""
        if attempt.connection is not None:
            attempt.connection.end()
        self.attempt_ended(attempt, ending)

    def _refuse(self, action: i.Refuse) -> None:
        request = self.requests.get(action.id)
        if request is not None and not request.finished:
            self.final(request, self.final_answer(request, action))

    def _fail(self, action: i.Fail) -> None:
        request = self.requests.get(action.id)
        if request is not None and not request.finished:
            self.final(request, self.final_answer(request, action))

    def _wake(self, action: i.Wake) -> None:
        self.loop.wake_at(self.loop.now + action.delay, self._on_timer, action.token)

    def _on_timer(self, token: int) -> None:
        self.dispatch(i.Timer(token))

    def _charge(self, action: i.Charge) -> None:
        self.dispatch(i.Counted(action.name, i.Ending.NO_CONNECTION, 0.0, 0))

    def _watch(self, action: i.Watch) -> None:
        pass

    def _fetch(self, _: i.Fetch) -> None:
        pass

    def _record(self, action: i.Log) -> None:
        self.log.info(action.text)
