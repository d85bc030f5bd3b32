"""What time it is by agreement of the core machines' clocks.

No I/O. Each machine tells the others its time of day; what is kept of it is how far it stands from the own steady
clock, which never steps. The agreed time is the middle of what more than half of the machines say. Where the two
in the middle differ, or the middle steps, the time before goes on by the steady clock: so one clock that jumps, for
however long, changes nothing, and several that jump together change nothing for a while.
"""

from __future__ import annotations

SECOND_US = 1_000_000
MAX_CLOCK_DIFFERENCE_US = (
    SECOND_US  # clocks that differ by more don't agree; those of machines in service stay within some milliseconds
)
READING_LIFETIME_US = 4 * SECOND_US  # a word of a clock counts for so long; they come each second
STEP_SETTLE_US = 60 * SECOND_US  # a middle that stepped is believed once it has stood for so long
MAX_HOLDOVER_US = (
    3600 * SECOND_US
)  # a steady clock alone drifts by far less than a margin in this time; then no hour is known


class ClockAgreement:
    """Times are microseconds: `now` of the steady clock, the others of the time of day."""

    def __init__(self) -> None:
        self._said: dict[str, tuple[int, int]] = {}  # machine -> offset, when it was heard
        self._offset: int | None = None
        self._agreed_at = 0
        self._stepped: tuple[int, int] | None = None  # another middle, and since when

    def record(self, machine: str, wall: int, now: int) -> None:
        self._said[machine] = (wall - now, now)

    def update(self, now: int, machines: int) -> None:
        """`machines`: how many there are, the own one among them."""
        self._said = {m: (offset, at) for m, (offset, at) in self._said.items() if now - at <= READING_LIFETIME_US}
        offsets = sorted(offset for offset, _ in self._said.values())
        if 2 * len(offsets) <= machines:
            return
        low, high = offsets[(len(offsets) - 1) // 2], offsets[len(offsets) // 2]
        if high - low > MAX_CLOCK_DIFFERENCE_US:
            return
        middle = (low + high) // 2
        if (
            self._offset is not None
            and now - self._agreed_at <= MAX_HOLDOVER_US
            and abs(middle - self._offset) > MAX_CLOCK_DIFFERENCE_US
        ):
            if self._stepped is None or abs(middle - self._stepped[0]) > MAX_CLOCK_DIFFERENCE_US:
                self._stepped = (middle, now)
            if now - self._stepped[1] < STEP_SETTLE_US:
                return
        self._offset, self._agreed_at, self._stepped = middle, now, None

    def agreed_time(self, now: int) -> int | None:
        """None: not known, and no hours are open."""
        if self._offset is None or now - self._agreed_at > MAX_HOLDOVER_US:
            return None
        return now + self._offset
