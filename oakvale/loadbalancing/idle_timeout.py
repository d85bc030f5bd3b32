"""Estimates how long a service's idle connections can safely be reused.

No I/O and no clock. A backend, or a middlebox on the path, may drop an idle connection earlier than announced and
without notice: the next write is reset, and the sender can't know whether the request ran. Losses that one gateway sees
are shared with all through the holder of the service's load board. While a loss is remembered, requests that must not
run twice use younger or new connections.
"""

from __future__ import annotations

LOSS_MEMORY_US = 10_000_000
MAX_LOSS_MEMORY_US = 16 * LOSS_MEMORY_US  # each recurrence doubles the memory, up to this


class IdleTimeoutEstimate:
    """The shortest idle time after which a connection of a service was recently lost."""

    def __init__(self) -> None:
        self._shortest_loss: int | None = None
        self._expires_at = 0
        self._memory = LOSS_MEMORY_US

    def record_loss(self, idle_time: int, now: int) -> None:
        """A connection that had been idle for `idle_time` microseconds was reset as soon as it was written to."""
        if self.safe_idle_time(now) is None:
            recurs = self._expires_at and now - self._expires_at < self._memory
            self._memory = min(2 * self._memory, MAX_LOSS_MEMORY_US) if recurs else LOSS_MEMORY_US
            self._shortest_loss = idle_time
        self._shortest_loss = min(self._shortest_loss or idle_time, idle_time)
        self._expires_at = now + self._memory

    def safe_idle_time(self, now: int) -> int | None:
        """The idle time up to which a connection is likely usable: half of the shortest that was lost. None: any."""
        return self._shortest_loss // 2 if self._shortest_loss is not None and now < self._expires_at else None
