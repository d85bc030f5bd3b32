"""How old a table of state entries is: since when a newer entry may be in force that it lacks. No I/O and no clock.

That a message has just arrived says nothing about the age of what it tells: it may have been on its way for seconds. So
the primary stamps what it sends with the time of its own steady clock and with the version of its newest entry. A
process asks once how its own clock relates to that one: an answer's stamp was made after the question was sent. From
then on each stamp names a moment of the own clock, at the earliest, and a table that reaches the version of a stamp is
current as of its moment. Clocks of different machines are never compared; only their rates are taken as equal.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from oakvale.dissemination.table import NO_VERSION, Version

CALIBRATION_INTERVAL_US = 60_000_000  # bounds the error by clocks of different rates to some milliseconds
MAX_PENDING_STAMPS = 64


@dataclass(slots=True, frozen=True, order=True)
class Stamp:
    """When a primary sent something, and the version of its newest entry in force that gateways hold too.

    `primary` is the number of its view and of its start: the times of one primary alone can be subtracted.
    """

    primary: Version
    made_at: int  # microseconds of the primary's steady clock
    version: Version

    def pack(self) -> list[int]:
        """The stamp as it is sent."""
        return [*self.primary, self.made_at, *self.version]

    @classmethod
    def unpack(cls, data: Any) -> Stamp | None:
        """A received stamp; None if the sender has none. Raises ValueError and TypeError."""
        if data is None:
            return None
        view, start, made_at, version_view, sequence = (int(number) for number in data)
        return cls((view, start), made_at, (version_view, sequence))


@dataclass(slots=True, frozen=True)
class Calibration:
    """How the own steady clock relates to a primary's: own time is at least the primary's plus `offset_us`."""

    primary: Version
    offset_us: int
    asked_at: int


@dataclass(slots=True)
class PendingVersion:
    """A version that the table has not reached: the first and the latest stamp that told of it."""

    first: Stamp
    latest: Stamp


class Freshness:
    """Tracks the stamps received, and as of which moment of the own clock the table is current."""

    def __init__(self) -> None:
        self._latest: Stamp | None = None
        self._reached: Stamp | None = None  # the latest stamp whose version the table holds
        self._pending: list[PendingVersion] = []  # in order
        self._calibration: Calibration | None = None
        self._current_as_of: int | None = None

    @property
    def latest(self) -> Stamp | None:
        """The latest stamp received, to be passed on."""
        return self._latest

    def received(self, stamp: Stamp) -> None:
        """Takes note of a stamp. Call `table_reached` when what came with it is applied."""
        if self._latest is not None and stamp <= self._latest:
            return
        self._latest = stamp
        if self._pending and self._pending[-1].latest.version == stamp.version:
            self._pending[-1].latest = stamp
        else:
            self._pending.append(PendingVersion(stamp, stamp))
        if len(self._pending) > MAX_PENDING_STAMPS:
            del self._pending[1]  # the first is the next to be reached

    def table_reached(self, version: Version) -> None:
        """The table holds all entries that were in force up to this version."""
        while self._pending and self._pending[0].latest.version <= version:
            self._reached = self._pending.pop(0).latest
        self._update()

    def arrived_unstamped(self, now: int) -> None:
        """Earlier versions of the sender stamp nothing: then only the arrival is known."""
        self._current_as_of = now

    def needs_calibration(self, now: int) -> bool:
        """Whether to ask a source how the clocks relate."""
        if self._latest is None:
            return False
        known = self._calibration
        return known is None or known.primary < self._latest.primary or now - known.asked_at > CALIBRATION_INTERVAL_US

    def calibrate(self, asked_at: int, stamp: Stamp, age_us: int) -> None:
        """Takes an answer to a question sent at `asked_at`: its stamp was at most `age_us` old when it was given."""
        known = self._calibration
        if known is not None and stamp.primary < known.primary:
            return
        offset_us = asked_at - age_us - stamp.made_at
        if known is not None and known.primary == stamp.primary and asked_at - known.asked_at < CALIBRATION_INTERVAL_US:
            offset_us = max(offset_us, known.offset_us)
        self._calibration = Calibration(stamp.primary, offset_us, asked_at)
        self._update()

    def age_of(self, stamp: Stamp, now: int) -> int | None:
        """How long ago the stamp was made, at most; None if that is not known."""
        calibration = self._calibration
        if calibration is None or calibration.primary != stamp.primary:
            return None
        return now - (stamp.made_at + calibration.offset_us)

    def current_as_of(self) -> int | None:
        """The moment of the own clock of which the table holds all that was in force; None if none is known."""
        return self._current_as_of

    def age(self, now: int) -> int | None:
        """For how long entries may have been in force that the table lacks; None if that is not known."""
        return None if self._current_as_of is None else now - self._current_as_of

    def lag(self, now: int) -> int:
        """How long ago, at most, the oldest version that the table lacks was told of first; 0 if it lacks none."""
        age_us = self.age_of(self._pending[0].first, now) if self._pending else None
        return age_us if age_us is not None else 0

    def missing_version(self) -> Version:
        """The oldest version that is known to be in force and that the table has not reached; NO_VERSION if none is."""
        return self._pending[0].latest.version if self._pending else NO_VERSION

    def _update(self) -> None:
        reached, calibration = self._reached, self._calibration
        if reached is None or calibration is None or reached.primary != calibration.primary:
            return
        moment = reached.made_at + calibration.offset_us
        self._current_as_of = moment if self._current_as_of is None else max(self._current_as_of, moment)
