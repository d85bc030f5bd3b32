"""Mean latency of each route of a service, as its answers say. No I/O and no clock.

A route that is removed or falls silent says nothing about the others: it is forgotten once they were answered for a
while without it. The route that was answered last is always kept.
"""

from __future__ import annotations

from dataclasses import dataclass

SAMPLE_WEIGHT = 0.05  # of the newest answer
MEMORY_US = 60_000_000  # of a route without answers, beyond its latency


@dataclass(slots=True, frozen=True)
class RouteLatency:
    """What is known of one route; times in microseconds."""

    mean: float
    answered_at: int


class RouteLatencies:
    """The routes of one service, in the order of their latest answers."""

    def __init__(self) -> None:
        self._routes: dict[str, RouteLatency] = {}

    def record(self, route: str, latency: int, now: int) -> float:
        """Takes an answer into the mean of its route; returns the mean before, or the latency itself at first."""
        known = self._routes.pop(route, None)
        mean = known.mean if known is not None else float(latency)
        self._routes[route] = RouteLatency(mean + SAMPLE_WEIGHT * (latency - mean), now)
        name, longest_silent = next(iter(self._routes.items()))
        if longest_silent.answered_at + longest_silent.mean + MEMORY_US < now:
            del self._routes[name]
        return mean

    def mean(self, route: str) -> float | None:
        """The mean of a route; None if it is not known."""
        known = self._routes.get(route)
        return known.mean if known is not None else None

    def slowest(self) -> float | None:
        """The mean of the slowest route; None if none is known."""
        return max((known.mean for known in self._routes.values()), default=None)
