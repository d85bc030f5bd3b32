"""The policy of one gateway before simulated backends of one service, in simulated time.

A backend works on `slots` requests at once, queues a few more, and turns others away unless it is dead: then it
accepts requests and never answers. Times and durations are in microseconds.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from oakvale import interface as i
from oakvale.policy.gateway import Gateway
from oakvale.retry_budget import FleetRetryBudget, RetryLimits

MS = 1_000
SECOND = 1_000_000
NETWORK_US = 500  # one way between gateway and backend


@dataclass
class Run:
    """An attempt at a backend."""

    request: SimulatedRequest
    hop: int
    backend: int
    sent_at: int
    began_at: int = -1  # -1: it waits in the queue, or its backend is dead
    cancelled_at: int = -1
    completed: bool = False  # its backend has done its work
    ended: bool = False  # the gateway knows


@dataclass(eq=False)
class SimulatedRequest:
    """A request of a client, the runs of its attempts and its outcome."""

    id: str
    class_index: int
    work: int
    sent_at: int
    deadline: int
    runs: list[Run] = field(default_factory=list)
    outcome: str = ""  # served, refused, failed; empty while it has no answer
    answered_at: int = -1

    @property
    def finished(self) -> bool:
        return bool(self.outcome)


@dataclass
class SimulatedBackend:
    """Works on requests in the order of their arrival."""

    slots: int
    queue: int
    dead: bool = False
    busy: int = 0
    waiting: list[Run] = field(default_factory=list)


class BackendPoolSimulation:
    """Delivers a policy's attempts to backends and their ends to the policy."""

    def __init__(self, classes: tuple[i.RequestClass, ...], backends: list[SimulatedBackend], seed: int = 1) -> None:
        self.now, self._number, self._due = 1_000 * SECOND, 0, list[tuple[int, int, Callable[[], Any]]]()
        self.backends = dict(enumerate(backends, 1))
        self.requests: dict[str, SimulatedRequest] = {}
        self.settings = i.Settings(
            classes=classes,
            plans=(i.Plan(),),
            max_attempts=64,
            max_retry_after=SECOND,
            may_cancel=True,
            cross_zone_price=1.0,
            late_earns=True,
        )
        self.budget = FleetRetryBudget(RetryLimits(10 * SECOND, 0.2, 62.0), lambda: 2, lambda: 0.5, self.now)
        self.gateway = Gateway(self.settings, seed, self.budget)
        self.send(
            i.Backends(
                i.ListForm.FULL,
                tuple(i.Entry(number, slots=backend.slots) for number, backend in self.backends.items()),
            )
        )

    def at(self, time: int, action: Callable[[], Any]) -> None:
        """Calls `action` at a time, or now if that is over."""
        self._number += 1
        heapq.heappush(self._due, (max(time, self.now), self._number, action))

    def run_until(self, time: int) -> None:
        """Lets everything happen that is due until then."""
        while self._due and self._due[0][0] <= time:
            self.now, _, action = heapq.heappop(self._due)
            action()
        self.now = time

    def send(self, event: i.Event) -> None:
        """Passes an event to the policy and carries out what it decides."""
        for action in self.gateway.handle(self.now, event):
            self._carry_out(action)

    def ask(self, class_index: int, work: int, time_left: int | None = None) -> SimulatedRequest:
        """A client sends a request that takes a backend `work`; without `time_left` it has its class's deadline."""
        wait = self.settings.classes[class_index].deadline if time_left is None else time_left
        request = SimulatedRequest(f"r{len(self.requests)}", class_index, work, self.now, self.now + wait)
        self.requests[request.id] = request
        self.budget.record_request(self.now)
        self.send(i.Request(request.id, "", class_index, 0, 1.0, 1, 0, request.deadline))
        return request

    def ask_regularly(
        self, class_index: int, work: int, per_second: float, start: int, end: int, time_left: int | None = None
    ) -> None:
        """Has clients send such requests from `start` to `end`, evenly."""
        for number in range(int((end - start) * per_second / SECOND)):
            time = start + int(number * SECOND / per_second)
            self.at(time, partial(self.ask, class_index, work, time_left))

    def served_share(self, class_index: int, start: int, end: int) -> float:
        """The share of a class's requests sent in this time that backends answered before their deadline."""
        sent = [x for x in self.requests.values() if x.class_index == class_index and start <= x.sent_at < end]
        return sum(request.outcome == "served" for request in sent) / max(1, len(sent))

    # ---- actions

    def _carry_out(self, action: i.Action) -> None:
        if isinstance(action, i.Wake):
            self.at(self.now + action.delay, lambda: self.send(i.Timer(action.token)))
        elif isinstance(action, i.Attempt):
            self._attempt(self.requests[action.id], action.backend)
        elif isinstance(action, i.Cancel):
            request = self.requests[action.id]
            run = request.runs[action.hop]
            run.cancelled_at = self.now
            self._leave(run)
            self._end(run, i.Ending.CANCELLED)
        elif isinstance(action, i.Refuse | i.Fail):
            self._answer(self.requests[action.id], "refused" if isinstance(action, i.Refuse) else "failed")

    def _answer(self, request: SimulatedRequest, outcome: str) -> None:
        if not request.finished:
            request.outcome, request.answered_at = outcome, self.now

    def _attempt(self, request: SimulatedRequest, number: int) -> None:
        run = Run(request, len(request.runs), number, self.now)
        request.runs.append(run)
        self.at(request.deadline, lambda: self._time_out(run))
        self.at(self.now + NETWORK_US, lambda: self._arrive(run))

    def _time_out(self, run: Run) -> None:
        if not run.ended:
            self._leave(run)
            self._end(run, i.Ending.TIMEOUT)

    def _end(self, run: Run, ending: i.Ending) -> None:
        """Reports the end of an attempt, which is the request's answer if it was served."""
        if run.ended:
            return
        run.ended = True
        if ending is i.Ending.SERVED:
            self._answer(run.request, "served")
        request = run.request
        event = i.Ended(request.id, run.backend, run.hop, request.finished, ending, self.now - run.sent_at)
        self.at(self.now, lambda: self.send(event))

    # ---- backends

    def _arrive(self, run: Run) -> None:
        backend = self.backends[run.backend]
        if run.ended or backend.dead:
            return
        if backend.busy < backend.slots:
            self._begin(run)
        elif len(backend.waiting) < backend.queue:
            backend.waiting.append(run)
        else:
            self.at(self.now + NETWORK_US, lambda: self._end(run, i.Ending.FULL))

    def _begin(self, run: Run) -> None:
        self.backends[run.backend].busy += 1
        run.began_at = self.now
        self.at(self.now + run.request.work, lambda: self._complete(run))

    def _complete(self, run: Run) -> None:
        if not run.ended:
            self._leave(run)
            run.completed = True
            self.at(self.now + NETWORK_US, lambda: self._end(run, i.Ending.SERVED))

    def _leave(self, run: Run) -> None:
        """Frees the run's place at its backend."""
        backend = self.backends[run.backend]
        if run in backend.waiting:
            backend.waiting.remove(run)
        elif run.began_at >= 0 and not run.completed:
            backend.busy -= 1
            if backend.waiting:
                self._begin(backend.waiting.pop(0))
