"""Sight: whether a place has failed for a service, by several observers that do not depend on each other.

No I/O and no clock; times are microseconds. An observer is a gateway that sends to the place, the primary that
misses beats of all of its backends, or the ring that misses all of its gateways. A place that answers anybody has
not failed: who alone can't see it is cut off from it. And a gateway says something of a place only while another
place answers it, or it would be the gateway that is cut off.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

ANSWER_TIMEOUT_FACTOR = (
    3.0  # usual times without any answer: about one in twenty requests takes longer, hardly all at a place do
)
SINGLE_REQUEST_TIMEOUT_FACTOR = 6.0  # with one request alone: a small place is full of those, and gets no more
MIN_CONSECUTIVE_FAILURES = (
    3  # broken off one after the other, with no answer between: these come fast, and are waited for less long
)
MIN_OBSERVERS = 2  # observers that are needed
OBSERVER_LIFETIME_US = 30_000_000  # a gateway that has sent nothing to the place for so long is no observer of it


@dataclass(slots=True)
class Observation:
    """A place as one gateway sees it."""

    zone: str  # the gateway's
    served_at: int = 0
    since: int = 0  # when the first was sent that had no answer since; 0: none
    sent: int = 0  # since then
    lost: int = 0
    at: int = 0  # when anything was last seen


class FailureDetector:
    """All places of one service."""

    def __init__(self) -> None:
        self._seen: dict[str, dict[str, Observation]] = {}  # place -> gateway -> what it sees
        self._served: dict[str, dict[str, int]] = {}  # gateway -> place -> when it was last answered by it

    def record_sent(self, place: str, gateway: str, zone: str, now: int) -> None:
        seen = self._seen.setdefault(place, {}).setdefault(gateway, Observation(zone))
        seen.since, seen.sent, seen.at = seen.since or now, seen.sent + 1, now

    def record_answer(self, place: str, gateway: str, zone: str, now: int) -> None:
        seen = self._seen.setdefault(place, {}).setdefault(gateway, Observation(zone))
        seen.served_at = seen.at = now
        seen.since = seen.sent = seen.lost = 0
        self._served.setdefault(gateway, {})[place] = now

    def record_failure(self, place: str, gateway: str, zone: str, began: int, now: int) -> None:
        """Broken off, refused, or given up after it was silent for long."""
        seen = self._seen.setdefault(place, {}).setdefault(gateway, Observation(zone))
        seen.since = seen.since or max(began, 1)
        seen.lost, seen.at = seen.lost + 1, now

    def reset(self, place: str) -> None:
        """What was seen before says nothing of it any more: it is tried anew."""
        self._seen.pop(place, None)

    def last_answered_at(self, place: str) -> int:
        return max((seen.served_at for seen in self._seen.get(place, {}).values()), default=0)

    def failing_observers(self, place: str, usual: int, now: int) -> list[Observation]:
        """The gateways that see it failed, and whose word counts. Silence counts from the last answer to anybody."""
        found, last = [], self.last_answered_at(place)
        for gateway, seen in self._seen.get(place, {}).items():
            if not seen.since or now - seen.at > OBSERVER_LIFETIME_US:
                continue
            silent = now - max(seen.since, last)
            waits = ANSWER_TIMEOUT_FACTOR if seen.sent + seen.lost >= 2 else SINGLE_REQUEST_TIMEOUT_FACTOR
            fails = seen.lost >= MIN_CONSECUTIVE_FAILURES and silent >= usual or silent >= waits * usual
            elsewhere = max((at for other, at in self._served.get(gateway, {}).items() if other != place), default=0)
            if fails and elsewhere > seen.since:
                found.append(seen)
        return found

    def has_failed(self, place: str, usual: int, others: Iterable[str], now: int) -> bool:
        """`usual`: microseconds that an answer takes; `others`: kinds of observers, besides gateways, that miss it.
        Those it answered lately and that wait for nothing speak for it: they must be fewer."""
        told = self.failing_observers(place, usual, now)
        well = sum(
            1
            for seen in self._seen.get(place, {}).values()
            if not seen.since and now - seen.served_at < 2 * ANSWER_TIMEOUT_FACTOR * usual
        )
        enough = len(told) + len(set(others)) >= MIN_OBSERVERS
        return enough and len(told) >= well and now - self.last_answered_at(place) >= usual
