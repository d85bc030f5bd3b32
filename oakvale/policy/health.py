"""Health: backend latencies and failures, learned passively from how attempts ended. Nothing is probed."""

from math import exp

from oakvale.interface import Ended, Ending
from oakvale.policy.records import EWMA_WEIGHT
from oakvale.policy_records import REJECTED, SECOND_US, Backend, Context

MIN_AIM_US = 1_000  # a shorter aim says nothing about a backend, also before its latency is known
MIN_BASELINE_ANSWERS = 20  # answers before a baseline is taken: the first to arrive are the quickest


class Health:  # latency statistics of the fleet, and when a backend counts as stalled or is ejected
    def __init__(self, context: Context) -> None:
        self.context = context
        self.latency = self.mean_latency = 0.0  # per unit in the fleet: moving average; mean of more answers
        self.baseline, self.answers = 0.0, 0  # lowest such mean, which rises slowly; answers in the mean

    def latency_of(self, backend: Backend) -> float:
        """Expected latency per unit. Old samples fade, so that a slow backend is tried again."""
        known = exp((backend.latency_at - self.context.now) / (7 * SECOND_US)) if backend.latency else 0.0
        return (self.latency or 1.0) + (backend.latency - self.latency) * known

    def update_min_aim(self) -> None:
        """The least aim of use: one below a quarter of the baseline would take sound backends from all."""
        needed = max(MIN_AIM_US, int(0.25 * self.baseline * self.context.mean_units))
        self.context.min_aim = next((x for x in self.context.aims if x > needed), max(SECOND_US, 16 * needed))

    def stalled(self, backend: Backend) -> bool:
        """Whether it has work and has answered nothing for longer than that work should take."""
        work, context = max(backend.in_flight.values(), default=0.0), self.context
        return work > 0 and context.now - max(backend.answered_at, context.resumed_at) > max(
            3 * self.latency * work, 0.25 * context.min_aim)

    def learn(self, backend: Backend, event: Ended, units: float) -> bool:
        """Updates the statistics from the end of an attempt; returns whether it gave a latency sample."""
        now, sample = self.context.now, event.latency / max(units, 1.0)  # per unit
        if event.ending is Ending.SERVED:
            backend.answered_at, backend.ejected_until = now, backend.ejected_until * (backend.failures > 1)
            backend.failures = max(0, backend.failures - 1)  # each answer takes one failure off
            self.add_sample(backend, sample)
            self.latency = self.latency + EWMA_WEIGHT * (sample - self.latency) if self.latency else sample
            self.answers = min(self.answers + 1, MIN_BASELINE_ANSWERS)
            self.mean_latency += (sample - self.mean_latency) / self.answers
            if self.answers == MIN_BASELINE_ANSWERS:
                self.baseline = min(self.baseline or self.mean_latency, self.mean_latency)
            return True
        if event.ending in (*REJECTED, Ending.RESET) or event.ending is Ending.ERROR and not event.over:
            self.eject(backend)
        elif event.ending in (Ending.TIMEOUT, Ending.CANCELLED) and sample > backend.latency:
            self.add_sample(backend, sample)
            return True
        return False

    def add_sample(self, backend: Backend, sample: float) -> None:
        """Moves the average, which starts at the fleet's: one gateway of many gets few answers of each."""
        known = self.latency_of(backend) if self.latency else sample
        backend.latency, backend.latency_at = known + 2 * EWMA_WEIGHT * (sample - known), self.context.now

    def eject(self, backend: Backend) -> None:
        """Sends it nothing for a while: one that fails at once looks idle and would draw all traffic."""
        if backend.ejected_until <= self.context.now:
            backend.failures = min(backend.failures + 1, 5)  # for a 16th of the aim at first, at most the aim
            backend.ejected_until = self.context.now + (self.context.min_aim << backend.failures >> 5)
