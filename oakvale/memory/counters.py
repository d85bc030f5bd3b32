"""Counters of what the process has done."""

from __future__ import annotations

from collections import Counter
from typing import Any


class Tally:
    """Counts since the start: requests passed to the policy, answers to clients by status (health checks and malformed
    requests included), attempts and counter calls by ending."""

    def __init__(self) -> None:
        self.requests = 0
        self.answers: Counter[str] = Counter()
        self.attempts: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()  # refusals by the gateway itself, by reason
        self.abandoned: Counter[str] = Counter()  # requests whose client left, by their stage
        self.abandoned_attempts: Counter[str] = Counter()  # attempts that ended after their client had left

    def fields(self) -> dict[str, Any]:
        """The counts as the fields of a log line."""
        fields: dict[str, Any] = {"requests": self.requests}
        for prefix, counts in (
            ("answer", self.answers),
            ("attempt", self.attempts),
            ("call", self.calls),
            ("refused", self.refusals),
            ("abandoned", self.abandoned),
            ("abandoned_attempt", self.abandoned_attempts),
        ):
            fields |= {f"{prefix}_{key}": counts[key] for key in sorted(counts)}
        return fields
