"""Health: backend latencies and failures, learned passively from how attempts ended. Nothing is probed."""

from oakvale.interface import Ended, Ending
from oakvale.latency_statistics import LatencyStatistics
from oakvale.policy_records import REJECTED, SECOND_US, Backend, PendingRequest

MIN_AIM_US = 1_000  # a shorter aim says nothing about a backend, also before its latency is known


class Health(LatencyStatistics):  # when a backend counts as stalled or is ejected
    def update_min_aim(self) -> None:
        """The least aim of use: one below a quarter of the baseline would take sound backends from all."""
        needed = max(MIN_AIM_US, int(0.25 * self.baseline * self.context.mean_units))
        self.context.min_aim = next((x for x in self.context.aims if x > needed), max(SECOND_US, 16 * needed))

    def stalled(self, backend: Backend) -> bool:
        """Whether it has work and has answered nothing for longer than that work should take."""
        work, context = max(map(self.patience, backend.in_flight.values()), default=-1.0), self.context
        return work >= 0 and context.now - max(backend.answered_at, context.resumed_at) > max(
            3 * work, 0.25 * context.min_aim)

    def learn(self, backend: Backend, event: Ended, pending: PendingRequest) -> bool:
        """Updates the statistics from the end of an attempt; returns whether it gave a latency sample."""
        now, latency = self.context.now, event.latency / max(pending.request.units, 1.0)  # per unit
        sample = self.comparable_sample(latency, pending.latency)
        if event.ending is Ending.SERVED:
            backend.answered_at, backend.ejected_until = now, backend.ejected_until * (backend.failures > 1)
            backend.failures = max(0, backend.failures - 1)  # each answer takes one failure off
            self.add_sample(backend, sample)
            self.record_answer(latency, pending.latency)
            return True
        if event.ending in (*REJECTED, Ending.RESET) or event.ending is Ending.ERROR and not event.over:
            self.eject(backend)
        elif event.ending in (Ending.TIMEOUT, Ending.CANCELLED):
            self.record_wait(latency, pending.latency)
            if sample > backend.latency:
                self.add_sample(backend, sample)
                return True
        return False

    def eject(self, backend: Backend) -> None:
        """Sends it nothing for a while: one that fails at once looks idle and would draw all traffic."""
        if backend.ejected_until <= self.context.now:
            backend.failures = min(backend.failures + 1, 5)  # for a 16th of the aim at first, at most the aim
            backend.ejected_until = self.context.now + (self.context.min_aim << backend.failures >> 5)
