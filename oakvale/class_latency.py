"""What is known of the latency of one request class. No decisions live here.

Latencies are in microseconds per unit of a request's cost; a request costs one unit unless its client says more.
"""

from __future__ import annotations

from dataclasses import dataclass

SECOND_US = 1_000_000
EWMA_WEIGHT = 0.1  # of the newest sample in moving averages: about the last ten answers
CLASS_PATIENCE_US = SECOND_US  # an answer of a class is overdue this long after its latency
CLASS_HALF_LIFE_US = SECOND_US  # of what is known of a class while an answer is overdue
MISLED_WEIGHT = 0.5  # of an answer that took longer than attempts were given before it: what was known misled them


@dataclass(slots=True)
class ClassLatency:
    """The latency of one request class."""

    mean: float = 0.0  # moving average
    recent: float = 0.0  # the same, but what was known before counts for less the longer an answer was overdue
    answered_at: int = 0  # 0: no answer yet, and so no average
    waited_in_vain: float = 0.0  # longest wait without an answer since the last answer

    def known_share(self, now: int) -> float:
        """How much of what is known still counts: all of it, or less the longer an answer is overdue."""
        overdue = now - self.answered_at - self.recent - CLASS_PATIENCE_US
        return float(0.5 ** (overdue / CLASS_HALF_LIFE_US)) if overdue > 0 else 1.0

    def backed_off(self, now: int) -> float:
        """The least latency to expect while no answer comes and attempts wait in vain: whoever gives up after a
        multiple of it waits longer each time. Otherwise all could be given up too soon, and no answer would say so."""
        return self.waited_in_vain / 2 if self.known_share(now) < 1 else 0.0

    def add(self, sample: float, now: int) -> None:
        """Takes an answer into both averages. It replaces `recent` where less than half of that still counts."""
        if not self.answered_at:
            self.mean = self.recent = sample
        share = self.known_share(now)
        misled = share < 1 and 0 < self.waited_in_vain < sample
        self.recent += min(1.0, max(EWMA_WEIGHT, 2 - 2 * share)) * (sample - self.recent)
        self.mean += (MISLED_WEIGHT if misled else EWMA_WEIGHT) * (sample - self.mean)
        self.answered_at, self.waited_in_vain = now, 0.0
