"""Weir: how much may flow to a place, by rank, and how it is cut when the place holds less than it was thought to.

No I/O and no clock; work is in slots kept busy (see `chains`), times are microseconds. What was let through ahead of
the limit is a debt, which the place works off as a queue: a request passes while it would still be answered within
its aim behind that. So no more comes in any span than the limit brings, and the longest queue that is borne.
"""

from __future__ import annotations

from dataclasses import dataclass

SECOND_US = 1_000_000
MAX_SAVED_S = 0.1  # seconds of the limit that were not used and may be later: arrivals clump
LONG_REQUEST_FACTOR = 1.5  # mean works that a request is reckoned to take: of four, one takes longer
LOWEST_RANK_RESERVE = 0.6  # of its patience the lowest rank leaves to the highest, and those between in steps
OVERLOAD_FACTOR = 0.8  # when a place is crowded: half is found in four steps
MIN_OVERLOAD_INTERVAL_US = 400_000  # microseconds between two: the queue must be seen to follow
MIN_CAPACITY_FACTOR = 0.25
RECOVERY_PER_SECOND = (
    0.04  # of the limit that comes back each second: several times slower than it is cut, so that it settles
)


def max_queue_wait_s(aim: int, cost: float) -> float:
    """Seconds; `aim` in microseconds, `cost` in slot-seconds."""
    return max(0.0, aim / SECOND_US - LONG_REQUEST_FACTOR * cost)


@dataclass(slots=True)
class SpillLimit:
    """Begins empty: a keeper before this one may have spent what there was."""

    updated_at: int
    limit: float = 0.0  # slots
    level: float = 0.0  # slot-seconds
    capacity_factor: float = 1.0  # share of the limit that proved to be true
    reduced_at: int = 0

    def effective_limit(self) -> float:
        return self.limit * self.capacity_factor

    def refill(self, now: int) -> None:
        passed = max(0, now - self.updated_at) / SECOND_US
        self.updated_at = max(self.updated_at, now)
        self.level = min(self.level + self.effective_limit() * passed, self.max_level())
        self.capacity_factor = min(1.0, self.capacity_factor + RECOVERY_PER_SECOND * passed)

    def max_level(self) -> float:
        return self.effective_limit() * MAX_SAVED_S

    def required_level(self, max_queue_wait_s: float, low: float) -> float:
        """The level at which a request passes that may wait so many seconds; `low` is 0 for the highest rank, 1 for
        the lowest."""
        return -self.effective_limit() * max_queue_wait_s * (1 - LOWEST_RANK_RESERVE * low)

    def admits(self, max_queue_wait_s: float, low: float, now: int) -> bool:
        self.refill(now)
        return self.effective_limit() > 0 and self.level >= self.required_level(max_queue_wait_s, low)

    def consume(self, cost: float) -> None:
        self.level -= cost

    def wait_us(self, max_queue_wait_s: float, low: float) -> int:
        """Microseconds until one like it may pass; a second where nothing flows."""
        if self.effective_limit() <= 0:
            return SECOND_US
        return (
            int(max(0.0, self.required_level(max_queue_wait_s, low) - self.level) / self.effective_limit() * SECOND_US)
            + 1
        )

    def reduce_for_overload(self, now: int) -> None:
        """More is open there than the limit can have caused, or the place turned a request away."""
        if now - self.reduced_at >= MIN_OVERLOAD_INTERVAL_US:
            self.reduced_at = now
            self.capacity_factor = max(MIN_CAPACITY_FACTOR, self.capacity_factor * OVERLOAD_FACTOR)
            self.level = min(self.level, 0.0)
