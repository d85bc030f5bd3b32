"""Agrees on the time of day from the clocks of the core machines.

No I/O. Each machine sends its time of day to the others. The receiver keeps its offset from the local monotonic clock.
The agreed offset is the median of the readings of more than half of the machines. While the two middle readings
differ, or after the median has stepped, the previous offset stays in use. So one wrong clock never has an effect, and
several clocks that step together have none until the step has lasted for a while.
"""

from __future__ import annotations

SECOND_US = 1_000_000
MAX_CLOCK_DIFFERENCE_US = SECOND_US  # synchronized clocks differ by milliseconds
READING_LIFETIME_US = 4 * SECOND_US  # machines send a reading each second
STEP_SETTLE_US = 60 * SECOND_US  # a stepped median is adopted after it has been stable for so long
MAX_HOLDOVER_US = 3600 * SECOND_US  # the monotonic clock drifts far less than the margin of contract hours in this time


class ClockAgreement:
    """Times are in microseconds: `now` is monotonic, `wall` is the time of day."""

    def __init__(self) -> None:
        self._readings: dict[str, tuple[int, int]] = {}  # machine -> (offset, when it was received)
        self._offset: int | None = None
        self._agreed_at = 0
        self._pending_step: tuple[int, int] | None = None  # (stepped median, when it was first seen)

    def record(self, machine: str, wall: int, now: int) -> None:
        """Records a machine's clock reading."""
        self._readings[machine] = (wall - now, now)

    def update(self, now: int, machines: int) -> None:
        """Computes the agreed offset; `machines` is the number of core machines, this one included."""
        self._readings = {
            machine: (offset, received_at)
            for machine, (offset, received_at) in self._readings.items()
            if now - received_at <= READING_LIFETIME_US
        }
        offsets = sorted(offset for offset, _ in self._readings.values())
        if 2 * len(offsets) <= machines:
            return
        low, high = offsets[(len(offsets) - 1) // 2], offsets[len(offsets) // 2]
        if high - low > MAX_CLOCK_DIFFERENCE_US:
            return
        median = (low + high) // 2
        if (
            self._offset is not None
            and now - self._agreed_at <= MAX_HOLDOVER_US
            and abs(median - self._offset) > MAX_CLOCK_DIFFERENCE_US
        ):
            if self._pending_step is None or abs(median - self._pending_step[0]) > MAX_CLOCK_DIFFERENCE_US:
                self._pending_step = (median, now)
            if now - self._pending_step[1] < STEP_SETTLE_US:
                return
        self._offset, self._agreed_at, self._pending_step = median, now, None

    def agreed_time(self, now: int) -> int | None:
        """The agreed time of day, or None if it is unknown; contract hours then count as closed."""
        if self._offset is None or now - self._agreed_at > MAX_HOLDOVER_US:
            return None
        return now + self._offset
