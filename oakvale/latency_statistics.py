"""Latencies of a service's answers: the averages that the policy decides by. No decisions live here.

Latencies are in microseconds per unit of a request's cost; a request costs one unit unless its client says more.
"""

from __future__ import annotations

from math import exp

from oakvale.policy_records import SECOND_US, Backend, Context

EWMA_WEIGHT = 0.1  # of the newest sample in moving averages: about the last ten answers
MIN_BASELINE_ANSWERS = 20  # answers before a baseline is taken: the first to arrive are the quickest
BACKEND_FADE_US = 7 * SECOND_US  # in which what is known of one backend fades to a third


class LatencyStatistics:
    """Averages over all backends of a service, and of each backend."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.latency = 0.0  # moving average over all backends; 0 before the first answer
        self.mean_latency, self.answers = 0.0, 0  # mean of the last `answers`, MIN_BASELINE_ANSWERS at most
        self.baseline = 0.0  # lowest such mean; the policy lets it rise slowly

    def latency_of(self, backend: Backend) -> float:
        """Expected latency at a backend. Old samples fade, so that a slow backend is tried again."""
        known = exp((backend.latency_at - self.context.now) / BACKEND_FADE_US) if backend.latency else 0.0
        return (self.latency or 1.0) + (backend.latency - self.latency) * known

    def record_answer(self, sample: float) -> None:
        """Takes the latency of an answer into the averages over all backends."""
        self.latency = self.latency + EWMA_WEIGHT * (sample - self.latency) if self.latency else sample
        self.answers = min(self.answers + 1, MIN_BASELINE_ANSWERS)
        self.mean_latency += (sample - self.mean_latency) / self.answers
        if self.answers == MIN_BASELINE_ANSWERS:
            self.baseline = min(self.baseline or self.mean_latency, self.mean_latency)

    def add_sample(self, backend: Backend, sample: float) -> None:
        """Moves a backend's average, which starts at that of all: one gateway of many gets few answers of each."""
        known = self.latency_of(backend) if self.latency else sample
        backend.latency, backend.latency_at = known + 2 * EWMA_WEIGHT * (sample - known), self.context.now
