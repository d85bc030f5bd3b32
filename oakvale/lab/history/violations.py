"""The rules of coordination, and how a breach of one is reported."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Rule(StrEnum):
    """The rules by the names that operators use, and linearizability, which none of them states alone."""

    ONE = "ONE"
    ORDER = "ORDER"
    STALE = "STALE"
    MIXED = "MIXED"
    REFUSED = "REFUSED"
    LOST = "LOST"
    LINEARIZABILITY = "LINEARIZABILITY"


@dataclass(slots=True, frozen=True)
class Violation:
    """A breach of a rule, of one lock, counter, key or group."""

    rule: Rule
    name: str
    detail: str

    def __str__(self) -> str:
        return f"{self.rule} {self.name}: {self.detail}"
