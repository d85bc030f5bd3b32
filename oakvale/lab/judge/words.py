"""The judge's words: what a rule found, what was earned of what was owed, and the figures that bound both."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, fields
from typing import Any

MS = 1_000
SECOND = 1_000_000

RULES = (
    "MIXED",
    "UNASKED",
    "TWICE",
    "REFUSED",
    "DENIED",
    "ROUTE",
    "DRAIN",
    "LOST",
    "GONE",
    "CONFIG",
    "BUDGET",
    "QUOTA",
    "RECOVER",
    "ACKS",
    "STARVED",
    "DUTY",
    "FAULT",
)


@dataclass(frozen=True, slots=True)
class Broken:
    rule: str
    at: int
    ids: tuple[str, ...]  # of requests, backends or machines
    why: str


@dataclass
class Part:
    earned: float = 0.0
    owed: float = 0.0
    asked: int = 0
    served: int = 0


@dataclass
class Worth:
    earned: float = 0.0
    owed: float = 0.0
    by_route: dict[str, Part] = field(default_factory=dict)
    by_second: dict[int, Part] = field(default_factory=dict)  # seconds since traffic began
    by_zone: dict[str, Part] = field(default_factory=dict)
    by_tenant: dict[str, Part] = field(default_factory=dict)
    served: int = 0
    refused: int = 0
    failed: int = 0
    excess: int = 0  # beyond a tenant's limit, or not allowed: nothing is owed
    # what the prices are taken for, of what is owed; counted, not priced
    held: int = 0  # not served, and held for over a quarter of the aim without an offer to a backend inside the aim
    ended: int = 0  # read, never offered to a backend, and ended by a close or a 5xx other than 503
    broken_off: int = 0  # by the gateway while a backend worked, well before the deadline
    refused_again: int = 0  # came back after a refusal, and ends refused

    @property
    def share(self) -> float:
        return self.earned / self.owed if self.owed else 1.0


@dataclass
class Verdict:
    rules: dict[str, list[Broken]]
    worth: Worth

    @property
    def broken(self) -> list[Broken]:
        return [found for rule in RULES for found in self.rules.get(rule, ())]


@dataclass(frozen=True, slots=True)
class Bounds:
    """The figures of the rules, times in microseconds. What a record does not give keeps the pages' example."""

    contact: int = 3 * SECOND
    ack: int = 5 * SECOND
    drain: int = 2_500 * MS
    grace: int = 6 * SECOND
    loss_slack: int = 200 * MS
    apply: int = 2_500 * MS
    revert: int = 250 * MS
    skew: int = 8 * SECOND
    retry_ratio: float = 0.2
    retry_win: int = 10 * SECOND
    retry_slack: float = 0.0
    quota_win: int = 5 * SECOND
    quota_excess: float = 0.0
    quota_slack: float = 0.0
    recover: int = 15 * SECOND

    @classmethod
    def of(cls, bounds: Mapping[str, Any]) -> Bounds:
        plain = {name.replace("-", "_"): value for name, value in bounds.items()}
        return cls(**{f.name: plain[f.name] for f in fields(cls) if f.name in plain})


class Spans:
    """Times, both ends within, merged where they meet."""

    def __init__(self, spans: Iterable[tuple[int, int]] = ()) -> None:
        self._from: list[int] = []
        self._to: list[int] = []
        for begin, end in sorted(spans):
            if self._to and begin <= self._to[-1] + 1:
                self._to[-1] = max(self._to[-1], end)
            else:
                self._from.append(begin)
                self._to.append(end)

    def __iter__(self) -> Iterator[tuple[int, int]]:
        return zip(self._from, self._to, strict=True)

    def holds(self, at: int) -> bool:
        return self.meets(at, at)

    def meets(self, begin: int, end: int) -> bool:
        """Whether any moment from `begin` to `end` is within."""
        index = bisect_right(self._from, end) - 1
        return index >= 0 and self._to[index] >= begin

    def after(self, at: int) -> int:
        """The first moment from `at` on that is not within."""
        index = bisect_right(self._from, at) - 1
        return self._to[index] + 1 if index >= 0 and self._to[index] >= at else at
