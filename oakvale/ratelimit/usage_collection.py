"""What a new counter collects from the other gateways: their last usage readings, and how long they have run."""

from __future__ import annotations

from typing import Any

from oakvale.ratelimit.quotas import QuotaCounter


class UsageCollection:
    """Accepts answers even after the counter has started, until the collection is closed because the duty was lost."""

    def __init__(self, counter: QuotaCounter, other_count: int, own_age: int) -> None:
        """`other_count`: number of gateways asked; `own_age`: microseconds that this gateway has run."""
        self.counter = counter
        self._other_count, self._ages, self._closed = other_count, [own_age], False
        self._failed = 0

    def is_open(self) -> bool:
        return not self._closed

    def close(self) -> None:
        self._closed = True

    def all_answered(self) -> bool:
        return len(self._ages) > self._other_count

    def record_failure(self) -> None:
        """A gateway whose connection was lost, or that did not answer in time."""
        self._failed += 1

    def is_complete(self) -> bool:
        """Whether every gateway has answered or failed."""
        return len(self._ages) + self._failed > self._other_count

    def record_answer(self, levels: dict[Any, Any], age: int, now: int) -> None:
        """One gateway's answer: tenant -> last level read and requests passed uncounted since; and its age."""
        self._ages.append(age)
        for tenant, (level, uncounted) in levels.items():
            self.counter.merge_reading(str(tenant), float(level), float(uncounted), now)
        if self.all_answered():
            self.counter.bound_unknown_usage(now - min(self._ages))
