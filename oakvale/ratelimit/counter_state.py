"""Data that leaves a counter: its state, handed to the next holder, and the receipt of a counted request."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True, frozen=True)
class CounterState:
    """A counter's state. Times are ages in microseconds, so that they are valid by another machine's clock."""

    levels: dict[str, float]
    unknown_age: int  # since unknown usage was taken for a full burst
    absences: tuple[tuple[float, int], ...] = ()  # share of unreachable gateways, and age of its end
    stamp_ages: dict[str, int] = field(default_factory=dict)  # gateway -> age of the latest stamp it echoed

    def encode(self) -> list[Any]:
        return [self.levels, self.unknown_age, [list(absence) for absence in self.absences], self.stamp_ages]

    @classmethod
    def decode(cls, body: Any) -> CounterState:
        """Raises TypeError, ValueError, IndexError or AttributeError where the body is not a counter state."""
        levels, unknown_age, absences, stamp_ages = body
        return cls(
            {str(tenant): float(level) for tenant, level in levels.items()},
            int(unknown_age),
            tuple((float(share), int(age)) for share, age in absences),
            {str(node): int(age) for node, age in stamp_ages.items()},
        )


@dataclass(slots=True)
class Receipt:
    """Where and when a request was counted. It is refunded at most once, and only to the counter that counted it."""

    tenant: str = ""
    counter_id: str = ""  # its incarnation; empty before the request is counted and after a refund
    counted_at: int = 0  # by the clock of that counter
