"""Refunds of counted requests: each refund message is numbered, and accepted once."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

REFUND_MEMORY_US = 10_000_000  # how long an accepted message is remembered, so that a duplicate is ignored
MAX_REMEMBERED_REFUNDS = 20_000


class RefundLog:
    """One gateway's part: numbers the refunds it sends, and remembers those it accepted."""

    def __init__(self, node: str, incarnation: str) -> None:
        self._sender, self._number = f"{node} {incarnation}", 0
        self._accepted: OrderedDict[tuple[str, int], int] = OrderedDict()

    def encode(self, tenant: str, counter_id: str, counted_at: int) -> list[Any]:
        """The refund message to a counter."""
        self._number += 1
        return [tenant, counter_id, counted_at, self._sender, self._number]

    def accept(self, body: Any, own_incarnation: str, now: int) -> tuple[str, int] | None:
        """Tenant, and when it was counted; None for a duplicate or a message to another incarnation."""
        tenant, counter_id, counted_at = str(body[0]), str(body[1]), int(body[2])
        key = (str(body[3]), int(body[4]))
        if counter_id != own_incarnation or key in self._accepted:
            return None
        self._accepted[key] = now
        while self._accepted and (
            len(self._accepted) > MAX_REMEMBERED_REFUNDS or now - next(iter(self._accepted.values())) > REFUND_MEMORY_US
        ):
            self._accepted.popitem(last=False)
        return tenant, counted_at
