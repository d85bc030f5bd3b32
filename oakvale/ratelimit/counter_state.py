"""What is told of a counter: its state, as one holder gives it to the next; where and when it counted one request."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True, frozen=True)
class CounterState:
    """What a counter knows, with ages in microseconds, so that it means the same by another clock."""

    levels: dict[str, float]
    unknown_age: int  # since what it does not know was a full burst
    absences: tuple[tuple[float, int], ...] = ()  # shares of gateways out of reach, and for how long they are back
    stamp_ages: dict[str, int] = field(
        default_factory=dict
    )  # gateways in reach: age of the latest stamp they told back

    def encode(self) -> list[Any]:
        return [self.levels, self.unknown_age, [list(absence) for absence in self.absences], self.stamp_ages]

    @classmethod
    def decode(cls, body: Any) -> CounterState:
        """Raises TypeError, ValueError or IndexError where the message is not one."""
        levels, unknown_age, absences, stamp_ages = body
        return cls(
            {str(tenant): float(level) for tenant, level in levels.items()},
            int(unknown_age),
            tuple((float(share), int(age)) for share, age in absences),
            {str(node): int(age) for node, age in stamp_ages.items()},
        )


@dataclass(slots=True)
class Receipt:
    """Of one request that was counted. It is given back once at most, and to the very counter that counted it."""

    tenant: str = ""
    counter_id: str = ""  # its life; empty while the request was not counted, and once it was given back
    counted_at: int = 0  # by the clock of that counter
