"""Latencies of a service's answers: the averages that the policy decides by. No decisions live here.

Latencies are in microseconds per unit of a request's cost; a request costs one unit unless its client says more.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp

from oakvale.interface import RequestClass
from oakvale.policy_records import SECOND_US, Backend, Context, PendingRequest

EWMA_WEIGHT = 0.1  # of the newest sample in moving averages: about the last ten answers
MIN_BASELINE_ANSWERS = 20  # answers before a baseline is taken: the first to arrive are the quickest
BACKEND_FADE_US = 7 * SECOND_US  # in which what is known of one backend fades to a third
CLASS_PATIENCE_US = SECOND_US  # an answer of a class is overdue this long after its latency
CLASS_HALF_LIFE_US = SECOND_US  # of what is known of a class while an answer is overdue
WEIGHT_AFTER_WAIT = 0.5  # of an answer that follows attempts which waited in vain: what was known misled them


@dataclass(slots=True)
class ClassLatency:
    """The latency of one request class."""

    mean: float  # moving average
    recent: float  # the same, but what was known before counts for less the longer an answer was overdue
    answered_at: int

    def known_share(self, now: int) -> float:
        """How much of what is known still counts: all of it, or less the longer an answer is overdue."""
        overdue = now - self.answered_at - self.recent - CLASS_PATIENCE_US
        return float(0.5 ** (overdue / CLASS_HALF_LIFE_US)) if overdue > 0 else 1.0

    def add(self, sample: float, now: int, weight: float = EWMA_WEIGHT) -> None:
        """Takes an answer into both averages. It replaces `recent` where less than half of that still counts."""
        recent_weight = min(1.0, max(weight, 2 - 2 * self.known_share(now)))
        self.recent += recent_weight * (sample - self.recent)
        self.mean += weight * (sample - self.mean)
        self.answered_at = now


class LatencyStatistics:
    """Averages over all backends of a service, and of each backend."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.latency = 0.0  # moving average over all backends; 0 before the first answer
        self.mean_latency, self.answers = 0.0, 0  # mean of the last `answers`, MIN_BASELINE_ANSWERS at most
        self.baseline = 0.0  # lowest such mean; the policy lets it rise slowly
        self.by_class: dict[RequestClass, ClassLatency] = {}
        self.waited_in_vain: dict[RequestClass, float] = {}  # longest wait without an answer, since the last answer

    def keep_classes(self, classes: tuple[RequestClass, ...]) -> None:
        """Forgets the classes that are no longer configured."""
        self.by_class = {known: self.by_class[known] for known in classes if known in self.by_class}
        self.waited_in_vain = {x: self.waited_in_vain[x] for x in classes if x in self.waited_in_vain}

    def class_latency(self, request_class: RequestClass) -> float:
        """Expected latency of a class; that of all answers before the first of its own."""
        known = self.by_class.get(request_class)
        return known.mean if known is not None else self.latency

    def recent_latency(self, pending: PendingRequest) -> float:
        """The time of a request as answers of late say; 0 where its class has none.

        It fades, as those who refuse requests for it learn by none: without that, they would refuse all for good."""
        known = self.by_class.get(pending.request_class)
        if known is None:
            return 0.0
        return known.recent * known.known_share(self.context.now) * pending.request.units

    def latency_of(self, backend: Backend) -> float:
        """Expected latency of a usual request at a backend. Old samples fade, so that a slow one is tried again."""
        known = exp((backend.latency_at - self.context.now) / BACKEND_FADE_US) if backend.latency else 0.0
        return (self.latency or 1.0) + (backend.latency - self.latency) * known

    def usual_latency(self, pending: PendingRequest) -> float:
        """Expected time of a request, at whichever backend."""
        return self.class_latency(pending.request_class) * pending.request.units

    def expected_latency(self, backend: Backend, pending: PendingRequest) -> float:
        """Expected time of a request at a backend, for those who would give its attempt up."""
        at_backend = self.latency_of(backend) * self._class_factor(pending.request_class) * pending.request.units
        return max(at_backend, self._backed_off(pending))

    def patience(self, pending: PendingRequest) -> float:
        """Expected time of a request at whichever backend, for those who would take that backend for stalled."""
        return max(self.usual_latency(pending), self._backed_off(pending))

    def _backed_off(self, pending: PendingRequest) -> float:
        """The least time to expect while attempts of the class wait in vain: whoever gives up after a multiple of it
        waits longer each time. Otherwise all attempts could be given up too soon, and no answer would ever say so."""
        return self.waited_in_vain.get(pending.request_class, 0.0) / 2 * pending.request.units

    def comparable_sample(self, sample: float, request_class: RequestClass) -> float:
        """A latency as it would be for a usual request: backends are not to be compared by what they were sent."""
        return sample / self._class_factor(request_class)

    def _class_factor(self, request_class: RequestClass) -> float:
        """How much longer requests of a class take than all on average; 1 before any answer."""
        known = self.class_latency(request_class)
        return known / self.latency if known and self.latency else 1.0

    def record_answer(self, sample: float, request_class: RequestClass) -> None:
        """Takes the latency of an answer into the averages over all backends and into that of its class."""
        now = self.context.now
        weight = WEIGHT_AFTER_WAIT if self.waited_in_vain.pop(request_class, 0.0) else EWMA_WEIGHT
        self.by_class.setdefault(request_class, ClassLatency(sample, sample, now)).add(sample, now, weight)
        self.latency = self.latency + EWMA_WEIGHT * (sample - self.latency) if self.latency else sample
        self.answers = min(self.answers + 1, MIN_BASELINE_ANSWERS)
        self.mean_latency += (sample - self.mean_latency) / self.answers
        if self.answers == MIN_BASELINE_ANSWERS:
            self.baseline = min(self.baseline or self.mean_latency, self.mean_latency)

    def record_wait(self, waited: float, request_class: RequestClass) -> None:
        """Notes an attempt that was given up or timed out: an answer of its class may take longer than this. One that
        was called off before the usual time, as its client left, says nothing."""
        if waited > self.class_latency(request_class):
            self.waited_in_vain[request_class] = max(waited, self.waited_in_vain.get(request_class, 0.0))

    def add_sample(self, backend: Backend, sample: float) -> None:
        """Moves a backend's average by a comparable sample. It starts at that of all: one gateway of many gets few
        answers of each."""
        known = self.latency_of(backend) if self.latency else sample
        backend.latency, backend.latency_at = known + 2 * EWMA_WEIGHT * (sample - known), self.context.now
