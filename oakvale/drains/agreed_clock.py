"""What time it is by agreement of the core machines' clocks.

No I/O. Each machine tells the others its time of day; what is kept of it is how far it stands from the own steady
clock, which never steps. The agreed time is the middle of what more than half of the machines say. Where the two
in the middle differ, or the middle steps, the time before goes on by the steady clock: so one clock that jumps, for
however long, changes nothing, and several that jump together change nothing for a while.
"""

from __future__ import annotations

SECOND = 1_000_000
SPREAD = SECOND  # clocks that differ by more don't agree; those of machines in service stay within some milliseconds
HEARD = 4 * SECOND  # a word of a clock counts for so long; they come each second
SETTLE = 60 * SECOND  # a middle that stepped is believed once it has stood for so long
HOLD = 3600 * SECOND  # a steady clock alone drifts by far less than a margin in this time; then no hour is known


class Agreement:
    """Times are microseconds: `now` of the steady clock, the others of the time of day."""

    def __init__(self) -> None:
        self._said: dict[str, tuple[int, int]] = {}  # machine -> offset, when it was heard
        self._offset: int | None = None
        self._agreed_at = 0
        self._stepped: tuple[int, int] | None = None  # another middle, and since when

    def hear(self, machine: str, wall: int, now: int) -> None:
        self._said[machine] = (wall - now, now)

    def look(self, now: int, machines: int) -> None:
        """`machines`: how many there are, the own one among them."""
        self._said = {m: (offset, at) for m, (offset, at) in self._said.items() if now - at <= HEARD}
        offsets = sorted(offset for offset, _ in self._said.values())
        if 2 * len(offsets) <= machines:
            return
        low, high = offsets[(len(offsets) - 1) // 2], offsets[len(offsets) // 2]
        if high - low > SPREAD:
            return
        middle = (low + high) // 2
        if self._offset is not None and now - self._agreed_at <= HOLD and abs(middle - self._offset) > SPREAD:
            if self._stepped is None or abs(middle - self._stepped[0]) > SPREAD:
                self._stepped = (middle, now)
            if now - self._stepped[1] < SETTLE:
                return
        self._offset, self._agreed_at, self._stepped = middle, now, None

    def time(self, now: int) -> int | None:
        """None: not known, and no hours are open."""
        if self._offset is None or now - self._agreed_at > HOLD:
            return None
        return now + self._offset
