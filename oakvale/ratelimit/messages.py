"""Messages between a gateway and the counter of a tenant, as they go over the internal transport."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from oakvale.ratelimit.quotas import Quota

Stamp = Any  # of a counter, echoed to it as it was sent: its incarnation and a time of its clock


@dataclass(slots=True, frozen=True)
class CountRequest:
    """Asks a counter whether one more request of a tenant passes."""

    tenant: str
    quota: Quota  # as the gateway knows it, for a counter that does not know it yet
    node: str  # the gateway
    is_retry: bool
    stamp: Stamp  # the latest that this counter sent to the gateway

    def encode(self) -> list[Any]:
        """The message as a list, as all versions exchange it."""
        return [self.tenant, self.quota.rate, self.quota.burst, self.node, self.is_retry, self.stamp]

    @classmethod
    def decode(cls, body: Any) -> CountRequest:
        """Raises TypeError, ValueError or IndexError where the body is not such a message."""
        return cls(str(body[0]), Quota(float(body[1]), float(body[2])), str(body[3]), bool(body[4]), body[5])


@dataclass(slots=True, frozen=True)
class CountReply:
    """A counter's decision about a request."""

    passes: bool
    level: float  # of the tenant, after the request
    wait_us: int  # until another request would pass
    stamp: Stamp
    counted_at: int | None  # by the counter's clock; None from a version that does not tell

    @property
    def counter_id(self) -> str:
        """The counter's incarnation."""
        return str(self.stamp[0])

    def encode(self) -> list[Any]:
        """The message as a list, as all versions exchange it."""
        return [self.passes, self.level, self.wait_us, self.stamp, self.counted_at]

    @classmethod
    def decode(cls, body: list[Any]) -> CountReply:
        """Raises TypeError, ValueError or IndexError where the body is not such a message."""
        counted_at = int(body[4]) if len(body) > 4 else None
        return cls(bool(body[0]), float(body[1]), int(body[2]), body[3], counted_at)
