"""How long a service's idle connections last, as far as their ends tell.

No I/O and no clock. A backend, or a box on the way to it, may forget an idle connection earlier than it says and
without a word: what is written next is reset, and may have run for all that the sender knows. What one gateway loses
so tells all, by the keeper of the service's board: until it is forgotten, what must not run twice goes out on younger
connections, or on new ones.
"""

from __future__ import annotations

LOSS_MEMORY_US = 10_000_000  # microseconds for which one loss is remembered
MAX_LOSS_MEMORY_US = 16 * LOSS_MEMORY_US  # one that comes back is remembered twice as long each time, up to this


class IdleTimeoutEstimate:
    def __init__(self) -> None:
        self._within: int | None = None
        self._until = 0
        self._memory = LOSS_MEMORY_US

    def record_loss(self, idled: int, now: int) -> None:
        """A connection that had been idle for `idled` microseconds was reset as soon as it was written to."""
        if self.safe_idle_time(now) is None:
            again = self._until and now - self._until < self._memory
            self._memory = min(2 * self._memory, MAX_LOSS_MEMORY_US) if again else LOSS_MEMORY_US
            self._within = idled
        self._within = min(self._within or idled, idled)
        self._until = now + self._memory

    def safe_idle_time(self, now: int) -> int | None:
        """The idle time up to which a connection is likely whole: half of the shortest that was lost. None: any."""
        return self._within // 2 if self._within is not None and now < self._until else None
