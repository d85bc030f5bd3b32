"""Records of customers, backends and requests, and the state that the policy modules share. No decisions live here.

Times and durations are in microseconds.
"""

from __future__ import annotations

import random
from dataclasses import replace

from oakvale.class_latency import ClassLatency
from oakvale.interface import (
    Action,
    Backends,
    Ending,
    Entry,
    ListForm,
    Plan,
    Request,
    RequestClass,
    Settings,
    State,
)
from oakvale.retry_budget import RetryCost

SECOND_US = 1_000_000
EPOCH_US = 30 * SECOND_US  # half the time that the counter keeps a count; then a new name is used
REJECTED = (Ending.FULL, Ending.NO_CONNECTION)  # the other side added nothing and did no work
BATCH_TIMER = 0  # timer token of the batch; progress checks of attempts use higher ones


class Customer:
    """Quota state of one customer, as this gateway knows it."""

    def __init__(self, name: str, plan: Plan, now: int, window: int, overflow: float) -> None:
        self.name, self.plan, self.last_seen = name, plan, now
        self.gateways = 1  # over which its requests are spread
        self.window = window  # of its quota
        self.balance = plan.burst  # units left of the quota
        self.refilled_at = now
        self.allowance = plan.burst  # units that may pass without asking the counter
        self.others_rate = 0.0  # units per second that other gateways use
        self.overflow = overflow  # units of refill that found the balance full, since the last read
        self.epoch, self.level, self.read_at = -1, 0.0, 0  # the count as last read or added to, and when read
        self.ceiling_left, self.ceiling_at = 0.0, 0  # this gateway's share of a hard ceiling, when refilled
        self.unsent = 0.0  # units that go with the next call
        self.borrowed, self.borrowed_period = 0.0, -1  # units lent to it in that period
        self.in_flight = 0  # attempts
        self.open_calls = 0  # calls about attempts in flight that are out
        self.open_period, self.reported_open = -1, 0  # attempts that the counter knows of, in that period


class ConcurrencyLimit:
    """How many attempts may be in flight at one backend, or at all of them together."""

    def __init__(self, size: float) -> None:
        self.size = size
        self.slow_start = True  # grows exponentially until latency first rises


class Backend:
    """What this gateway knows about one backend; times are 0 for never."""

    def __init__(self, entry: Entry, min_limit: float) -> None:
        self.entry = entry
        self.in_flight: dict[tuple[str, int], PendingRequest] = {}  # by request id and attempt index
        self.reset(min_limit)

    def reset(self, min_limit: float) -> None:
        """Forgets all measurements, as after a restart of the backend."""
        self.latency_at = self.answered_at = self.failures = self.ejected_until = self.warmup_at = 0
        self.limit = ConcurrencyLimit(min_limit)
        self.warmup_tokens = 0.0  # units that it may be sent now while it is cold
        self.latency = 0.0  # mean microseconds per unit


class PendingRequest:
    """A request that awaits its final answer or still has attempts in flight."""

    def __init__(
        self, request: Request, request_class: RequestClass, customer: Customer, sent_at: int, latency: ClassLatency
    ) -> None:
        self.request, self.request_class, self.customer = request, request_class, customer
        self.latency = latency  # of its class
        self.sent_at = sent_at  # when its client first sent it
        self.within_quota = True
        self.pending_calls = 0  # counter calls that it waits for
        self.attempts_made = 0
        self.finished = False  # answered, or its client has left
        self.responding = False  # the head of an answer has arrived
        self.in_flight: dict[int, tuple[Backend, int]] = {}  # attempt index -> backend, when sent
        self.first_run: tuple[Backend, int] | None = None  # first attempt that may have run, when sent
        self.tried = list[int]()  # backends of its attempts
        self.retry_cost = RetryCost()
        self.charged = False  # its units were taken from the customer's balance
        self.counted_units = request.units  # as added to the shared count, scaled by their time


class Context:
    """State that all policy modules share: settings, time, customers, backends, and actions of the current event."""

    settings: Settings
    aims: list[int]  # of all request classes, least first
    min_aim: int  # the least of them that backends can meet
    max_deadline: int

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.mean_units = 1.0  # of a request
        self.now = self.started_at = 0
        self.resumed_at = self.paused_for = 0  # when the last pause of this process ended, and how long it took
        self.stopping = False  # the process is shutting down
        self.actions: list[Action] = []
        self.pending = dict[str, PendingRequest]()
        self.customers = dict[str, Customer]()
        self.backends = dict[int, Backend]()
        self.class_latencies = list[ClassLatency]()  # in the order of `Settings.classes`

    def add_pending(
        self, request: Request, request_class: RequestClass, customer: Customer, sent_at: int
    ) -> PendingRequest:
        """Registers a request that has come."""
        latency = self.class_latencies[request.class_index]
        pending = self.pending[request.id] = PendingRequest(request, request_class, customer, sent_at, latency)
        return pending

    def update_backends(self, update: Backends, min_limit: float) -> None:
        """Takes an update of the backend list; `min_limit` is the concurrency limit of a backend that has just started.

        A backend that left is kept until its last attempt has ended."""
        if update.form is not ListForm.DELTA:
            listed = {entry.backend for entry in update.entries}
            for number, backend in self.backends.items():
                if number not in listed:
                    backend.entry = replace(backend.entry, state=State.GONE, started=0, slots=0.0)
        for entry in update.entries:
            known = self.backends.setdefault(entry.backend, Backend(entry, min_limit))
            if entry.started > known.entry.started:
                known.reset(min_limit)
            known.entry = entry
        self.backends = {
            number: backend
            for number, backend in self.backends.items()
            if backend.in_flight or backend.entry.state is not State.GONE
        }

    def quota_name(self, customer: Customer) -> str:
        """The name of a customer's count in this epoch."""
        return f"q:{customer.name}:{self.now // EPOCH_US}"

    def open_name(self, customer: Customer) -> str:
        """The name of a customer's count of attempts in flight, which changes each longest deadline."""
        return f"o:{customer.name}:{self.now // self.max_deadline}"
