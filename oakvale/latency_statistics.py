"""Latencies of a service's answers: the averages that the policy decides by. No decisions live here.

Latencies are in microseconds per unit of a request's cost; a request costs one unit unless its client says more.
"""

from __future__ import annotations

from math import exp

from oakvale.class_latency import EWMA_WEIGHT, ClassLatency
from oakvale.interface import RequestClass
from oakvale.policy_records import SECOND_US, Backend, Context, PendingRequest

MIN_BASELINE_ANSWERS = 20  # answers before a baseline is taken: the first to arrive are the quickest
BACKEND_FADE_US = 7 * SECOND_US  # in which what is known of one backend fades to a third


class LatencyStatistics:
    """Averages over all backends of a service, and of each backend."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.latency = 0.0  # moving average over all backends; 0 before the first answer
        self.mean_latency, self.answers = 0.0, 0  # mean of the last `answers`, MIN_BASELINE_ANSWERS at most
        self.baseline = 0.0  # lowest such mean; the policy lets it rise slowly
        self.by_class: dict[RequestClass, ClassLatency] = {}

    def keep_classes(self, classes: tuple[RequestClass, ...]) -> None:
        """Forgets the classes that are no longer configured."""
        self.by_class = {known: self.by_class.get(known) or ClassLatency() for known in classes}
        self.context.class_latencies = [self.by_class[known] for known in classes]

    def class_latency(self, known: ClassLatency) -> float:
        """Expected latency of a class; that of all answers before the first of its own."""
        return known.mean if known.answered_at else self.latency

    def recent_latency(self, pending: PendingRequest) -> float:
        """The time of a request as answers of late say; 0 where its class has none.

        It fades, as those who refuse requests for it learn by none: without that, they would refuse all for good."""
        known = pending.latency
        return known.recent * known.known_share(self.context.now) * pending.request.units if known.answered_at else 0.0

    def latency_of(self, backend: Backend) -> float:
        """Expected latency of a usual request at a backend. Old samples fade, so that a slow one is tried again."""
        known = exp((backend.latency_at - self.context.now) / BACKEND_FADE_US) if backend.latency else 0.0
        return (self.latency or 1.0) + (backend.latency - self.latency) * known

    def usual_latency(self, pending: PendingRequest) -> float:
        """Expected time of a request, at whichever backend."""
        return self.class_latency(pending.latency) * pending.request.units

    def expected_latency(self, backend: Backend, pending: PendingRequest) -> float:
        """Expected time of a request at a backend, for those who would give its attempt up."""
        at_backend = self.latency_of(backend) * self._class_factor(pending.latency) * pending.request.units
        return max(at_backend, pending.latency.backed_off(self.context.now) * pending.request.units)

    def patience(self, pending: PendingRequest) -> float:
        """Expected time of a request at whichever backend, for those who would take that backend for stalled."""
        backed_off = pending.latency.backed_off(self.context.now)
        return max(self.usual_latency(pending), backed_off * pending.request.units)

    def comparable_sample(self, sample: float, known: ClassLatency) -> float:
        """A latency as it would be for a usual request: backends are not to be compared by what they were sent."""
        return sample / self._class_factor(known)

    def _class_factor(self, known: ClassLatency) -> float:
        """How much longer requests of a class take than all on average; 1 before any answer."""
        latency = self.class_latency(known)
        return latency / self.latency if latency and self.latency else 1.0

    def record_answer(self, sample: float, known: ClassLatency) -> None:
        """Takes the latency of an answer into the averages over all backends and into that of its class."""
        known.add(sample, self.context.now)
        self.latency = self.latency + EWMA_WEIGHT * (sample - self.latency) if self.latency else sample
        self.answers = min(self.answers + 1, MIN_BASELINE_ANSWERS)
        self.mean_latency += (sample - self.mean_latency) / self.answers
        if self.answers == MIN_BASELINE_ANSWERS:
            self.baseline = min(self.baseline or self.mean_latency, self.mean_latency)

    def record_wait(self, waited: float, known: ClassLatency) -> None:
        """Notes an attempt that was given up or timed out: an answer of its class may take longer than this. One that
        was called off before the usual time, as its client left, says nothing."""
        if waited > self.class_latency(known):
            known.waited_in_vain = max(waited, known.waited_in_vain)

    def add_sample(self, backend: Backend, sample: float) -> None:
        """Moves a backend's average by a comparable sample. It starts at that of all: one gateway of many gets few
        answers of each."""
        known = self.latency_of(backend) if self.latency else sample
        backend.latency, backend.latency_at = known + 2 * EWMA_WEIGHT * (sample - known), self.context.now
