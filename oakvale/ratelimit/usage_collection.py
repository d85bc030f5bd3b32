"""What a new counter gathers from the other gateways: what they last read, and for how long they have lived."""

from __future__ import annotations

from typing import Any

from oakvale.ratelimit.quotas import QuotaCounter


class UsageCollection:
    """Answers count also after the counter has begun, but not once it is known that it does not count."""

    def __init__(self, counter: QuotaCounter, others: int, own_age: int) -> None:
        """`others`: gateways that were asked; `own_age`: microseconds that this gateway has lived."""
        self.counter = counter
        self._others, self._ages, self._over = others, [own_age], False
        self._failed = 0

    def is_open(self) -> bool:
        return not self._over

    def close(self) -> None:
        self._over = True

    def all_answered(self) -> bool:
        return len(self._ages) > self._others

    def record_failure(self) -> None:
        """One whose connection is gone, or who took too long."""
        self._failed += 1

    def is_complete(self) -> bool:
        """Nothing more is gained by waiting."""
        return len(self._ages) + self._failed > self._others

    def record_answer(self, levels: dict[Any, Any], age: int, now: int) -> None:
        """One gateway's answer: tenant -> level read, and how many passed there uncounted since."""
        self._ages.append(age)
        for tenant, (level, uncounted) in levels.items():
            self.counter.merge_reading(str(tenant), float(level), float(uncounted), now)
        if self.all_answered():
            self.counter.bound_unknown_usage(now - min(self._ages))
