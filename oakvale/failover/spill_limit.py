"""Weir: how much may flow to a place, by rank, and how it is cut when the place holds less than it was thought to.

No I/O and no clock; work is in slots kept busy (see `chains`), times are microseconds. What was let through ahead of
the limit is a debt, which the place works off as a queue: a request passes while it would still be answered within
its aim behind that. So no more comes in any span than the limit brings, and the longest queue that is borne.
"""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000
SAVED = 0.1  # seconds of the limit that were not used and may be later: arrivals clump
LONG = 1.5  # mean works that a request is reckoned to take: of four, one takes longer
KEEP = 0.6  # of its patience the lowest rank leaves to the highest, and those between in steps
CUT = 0.8  # when a place is crowded: half is found in four steps
CUT_EACH = 400_000  # microseconds between two: the queue must be seen to follow
LEAST = 0.25
RISE = 0.04  # of the limit that comes back each second: several times slower than it is cut, so that it settles


def patience(aim: int, cost: float) -> float:
    """Seconds; `aim` in microseconds, `cost` in slot-seconds."""
    return max(0.0, aim / SECOND - LONG * cost)


@dataclass(slots=True)
class SpillLimit:
    """Begins empty: a keeper before this one may have spent what there was."""

    at: int
    limit: float = 0.0  # slots
    level: float = 0.0  # slot-seconds
    hold: float = 1.0  # share of the limit that proved to be true
    cut_at: int = 0

    def rate(self) -> float:
        return self.limit * self.hold

    def fill(self, now: int) -> None:
        passed = max(0, now - self.at) / SECOND
        self.at = max(self.at, now)
        self.level = min(self.level + self.rate() * passed, self.most())
        self.hold = min(1.0, self.hold + RISE * passed)

    def most(self) -> float:
        return self.rate() * SAVED

    def needs(self, patience: float, low: float) -> float:
        """The level at which a request passes that may wait so many seconds; `low` is 0 for the highest rank, 1 for
        the lowest."""
        return -self.rate() * patience * (1 - KEEP * low)

    def passes(self, patience: float, low: float, now: int) -> bool:
        self.fill(now)
        return self.rate() > 0 and self.level >= self.needs(patience, low)

    def take(self, cost: float) -> None:
        self.level -= cost

    def wait(self, patience: float, low: float) -> int:
        """Microseconds until one like it may pass; a second where nothing flows."""
        if self.rate() <= 0:
            return SECOND
        return int(max(0.0, self.needs(patience, low) - self.level) / self.rate() * SECOND) + 1

    def crowded(self, now: int) -> None:
        """More is open there than the limit can have caused, or the place turned a request away."""
        if now - self.cut_at >= CUT_EACH:
            self.cut_at = now
            self.hold = max(LEAST, self.hold * CUT)
            self.level = min(self.level, 0.0)
