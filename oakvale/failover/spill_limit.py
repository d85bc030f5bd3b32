"""Limits how much load a location takes, by rank, and lowers the limit while the location proves to hold less.

No I/O and no clock; work is in busy slots (see `chains`), times are in microseconds. This is a token bucket that may go
into debt. The debt is work that the location still has queued: a request is admitted while it would be answered within
its target behind that queue. So in any interval no more is admitted than the limit allows plus the longest queue.
"""

from __future__ import annotations

from dataclasses import dataclass

SECOND_US = 1_000_000
MAX_SAVED_S = 0.1  # unused capacity that may be used later, since arrivals are bursty
LONG_REQUEST_FACTOR = 1.5  # times the mean cost that a request is assumed to take: one of four takes longer
LOWEST_RANK_RESERVE = 0.6  # share of the queue that the lowest rank leaves to the highest; linear between them
OVERLOAD_FACTOR = 0.8  # applied to the limit on each sign of overload: half of it is reached in four steps
MIN_OVERLOAD_INTERVAL_US = 400_000  # the queue must have time to follow a reduction
MIN_CAPACITY_FACTOR = 0.25
RECOVERY_PER_SECOND = 0.04  # share of the limit; several times slower than the reductions, to avoid oscillation


def max_queue_wait_s(target_us: int, cost: float) -> float:
    """How long a request may wait in the queue and still meet its target; `cost` is in slot-seconds."""
    return max(0.0, target_us / SECOND_US - LONG_REQUEST_FACTOR * cost)


@dataclass(slots=True)
class SpillLimit:
    """Begins empty, as a previous board holder may have spent what was available."""

    updated_at: int
    limit: float = 0.0  # slots
    level: float = 0.0  # slot-seconds
    capacity_factor: float = 1.0  # share of the limit that the location has proved to hold
    reduced_at: int = 0

    def effective_limit(self) -> float:
        """In slots."""
        return self.limit * self.capacity_factor

    def refill(self, now: int) -> None:
        """Adds what the limit allows since the last call."""
        elapsed_s = max(0, now - self.updated_at) / SECOND_US
        self.updated_at = max(self.updated_at, now)
        self.level = min(self.level + self.effective_limit() * elapsed_s, self.max_level())
        self.capacity_factor = min(1.0, self.capacity_factor + RECOVERY_PER_SECOND * elapsed_s)

    def max_level(self) -> float:
        """In slot-seconds."""
        return self.effective_limit() * MAX_SAVED_S

    def required_level(self, max_wait_s: float, rank_position: float) -> float:
        """The level at which a request that may wait for `max_wait_s` is admitted; `rank_position` is 0 for the
        highest rank and 1 for the lowest."""
        return -self.effective_limit() * max_wait_s * (1 - LOWEST_RANK_RESERVE * rank_position)

    def admits(self, max_wait_s: float, rank_position: float, now: int) -> bool:
        """Whether a request is admitted now; the parameters are those of `required_level`."""
        self.refill(now)
        return self.effective_limit() > 0 and self.level >= self.required_level(max_wait_s, rank_position)

    def consume(self, cost: float) -> None:
        """Takes the cost of a request, in slot-seconds; a negative cost gives it back."""
        self.level -= cost

    def wait_us(self, max_wait_s: float, rank_position: float) -> int:
        """Time until such a request may be admitted; one second if the limit is zero."""
        if self.effective_limit() <= 0:
            return SECOND_US
        return (
            int(
                max(0.0, self.required_level(max_wait_s, rank_position) - self.level)
                / self.effective_limit()
                * SECOND_US
            )
            + 1
        )

    def reduce_for_overload(self, now: int) -> None:
        """Lowers the limit: the location has more open requests than the limit explains, or has rejected one."""
        if now - self.reduced_at >= MIN_OVERLOAD_INTERVAL_US:
            self.reduced_at = now
            self.capacity_factor = max(MIN_CAPACITY_FACTOR, self.capacity_factor * OVERLOAD_FACTOR)
            self.level = min(self.level, 0.0)
