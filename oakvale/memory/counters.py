"""What the process has done, counted."""

from __future__ import annotations

from collections import Counter
from typing import Any


class Tally:
    """Counts since the start: requests given to the module, answers to clients by status (health checks
    and what is malformed among them), attempts and counter calls by ending."""

    def __init__(self) -> None:
        self.requests = 0
        self.answers: Counter[str] = Counter()
        self.attempts: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()  # of the gateway's own, by why
        self.abandoned: Counter[str] = Counter()  # requests whose client left, by how far they had come
        self.abandoned_attempts: Counter[str] = Counter()  # attempts that ended after their client had left

    def fields(self) -> dict[str, Any]:
        fields: dict[str, Any] = {"requests": self.requests}
        for word, counts in (
            ("answer", self.answers),
            ("attempt", self.attempts),
            ("call", self.calls),
            ("refused", self.refusals),
            ("abandoned", self.abandoned),
            ("abandoned_attempt", self.abandoned_attempts),
        ):
            fields |= {f"{word}_{key}": counts[key] for key in sorted(counts)}
        return fields
