"""Counts that are given back: each message is numbered, and taken once."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

REFUND_MEMORY_US = 10_000_000  # a message that is later than this is not taken any more, as it may have been forgotten
MAX_REMEMBERED_REFUNDS = 20_000


class RefundLog:
    """One gateway's part: it numbers what it gives back, and remembers what was given back to it."""

    def __init__(self, node: str, life: str) -> None:
        self._sender, self._number = f"{node} {life}", 0
        self._accepted: OrderedDict[tuple[str, int], int] = OrderedDict()

    def encode(self, tenant: str, counter: str, counted_at: int) -> list[Any]:
        """The message to a counter: who gives what back, to which life."""
        self._number += 1
        return [tenant, counter, counted_at, self._sender, self._number]

    def accept(self, body: Any, own_life: str, now: int) -> tuple[str, int] | None:
        """Tenant, and when it was counted; None where it was taken before or is for another life."""
        tenant, counter, counted_at = str(body[0]), str(body[1]), int(body[2])
        key = (str(body[3]), int(body[4]))
        if counter != own_life or key in self._accepted:
            return None
        self._accepted[key] = now
        while self._accepted and (
            len(self._accepted) > MAX_REMEMBERED_REFUNDS or now - next(iter(self._accepted.values())) > REFUND_MEMORY_US
        ):
            self._accepted.popitem(last=False)
        return tenant, counted_at
