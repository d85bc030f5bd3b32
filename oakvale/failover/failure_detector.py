"""Detects whether a location has failed for a service, from several independent observers.

No I/O and no clock; times are in microseconds. An observer is a gateway that sends to the location, the primary that
misses the heartbeats of all its backends, or the ring that misses all its gateways. A location that responds to any
gateway has not failed: a gateway that alone gets no response is cut off from it. And a gateway counts as an observer
only while another location responds to it, since otherwise the gateway itself may be cut off.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

ANSWER_TIMEOUT_FACTOR = 3.0  # times the typical latency; about one request in twenty takes longer, hardly all do
SINGLE_REQUEST_TIMEOUT_FACTOR = 6.0  # with only one open request, as is common at a small location
MIN_CONSECUTIVE_FAILURES = 3  # broken off without a response between them; these come fast, so fewer are waited for
MIN_OBSERVERS = 2
OBSERVER_LIFETIME_US = 30_000_000  # a gateway that has sent nothing for so long is no longer an observer


@dataclass(slots=True)
class Observation:
    """What one gateway has observed of a location."""

    gateway_zone: str
    answered_at: int = 0
    unanswered_since: int = 0  # when the first request without a later response was sent; 0: none
    unanswered: int = 0  # requests sent since then
    failures: int = 0
    updated_at: int = 0


class FailureDetector:
    """All locations of one service."""

    def __init__(self) -> None:
        self._observations: dict[str, dict[str, Observation]] = {}  # location -> gateway -> observation
        self._answered_at: dict[str, dict[str, int]] = {}  # gateway -> location -> time of its latest response

    def record_sent(self, location: str, gateway: str, gateway_zone: str, now: int) -> None:
        """Records that a gateway has sent a request to the location."""
        seen = self._observations.setdefault(location, {}).setdefault(gateway, Observation(gateway_zone))
        seen.unanswered_since, seen.unanswered, seen.updated_at = seen.unanswered_since or now, seen.unanswered + 1, now

    def record_answer(self, location: str, gateway: str, gateway_zone: str, now: int) -> None:
        """Records a response of the location."""
        seen = self._observations.setdefault(location, {}).setdefault(gateway, Observation(gateway_zone))
        seen.answered_at = seen.updated_at = now
        seen.unanswered_since = seen.unanswered = seen.failures = 0
        self._answered_at.setdefault(gateway, {})[location] = now

    def record_failure(self, location: str, gateway: str, gateway_zone: str, began: int, now: int) -> None:
        """Records an attempt that was refused, broken off, or given up after a long silence."""
        seen = self._observations.setdefault(location, {}).setdefault(gateway, Observation(gateway_zone))
        seen.unanswered_since = seen.unanswered_since or max(began, 1)
        seen.failures, seen.updated_at = seen.failures + 1, now

    def reset(self, location: str) -> None:
        """Discards the observations of a location that is taken out of service."""
        self._observations.pop(location, None)

    def last_answered_at(self, location: str) -> int:
        """When the location last responded to any gateway."""
        return max((seen.answered_at for seen in self._observations.get(location, {}).values()), default=0)

    def failing_observers(self, location: str, typical_latency: int, now: int) -> list[Observation]:
        """The observations of gateways that get no response from the location but do from another one. The silence
        is counted from its last response to any gateway."""
        failing, last = [], self.last_answered_at(location)
        for gateway, seen in self._observations.get(location, {}).items():
            if not seen.unanswered_since or now - seen.updated_at > OBSERVER_LIFETIME_US:
                continue
            silence = now - max(seen.unanswered_since, last)
            factor = ANSWER_TIMEOUT_FACTOR if seen.unanswered + seen.failures >= 2 else SINGLE_REQUEST_TIMEOUT_FACTOR
            fails = (
                seen.failures >= MIN_CONSECUTIVE_FAILURES
                and silence >= typical_latency
                or silence >= factor * typical_latency
            )
            answered_elsewhere = max(
                (at for other, at in self._answered_at.get(gateway, {}).items() if other != location), default=0
            )
            if fails and answered_elsewhere > seen.unanswered_since:
                failing.append(seen)
        return failing

    def has_failed(self, location: str, typical_latency: int, other_observers: Iterable[str], now: int) -> bool:
        """Whether enough observers, and no fewer than the gateways it recently responded to, report a failure.
        `typical_latency`: in microseconds; `other_observers`: kinds of observers besides gateways that miss it."""
        failing = self.failing_observers(location, typical_latency, now)
        healthy = sum(
            1
            for seen in self._observations.get(location, {}).values()
            if not seen.unanswered_since and now - seen.answered_at < 2 * ANSWER_TIMEOUT_FACTOR * typical_latency
        )
        enough = len(failing) + len(set(other_observers)) >= MIN_OBSERVERS
        return enough and len(failing) >= healthy and now - self.last_answered_at(location) >= typical_latency
