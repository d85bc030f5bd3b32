"""A contract's hours: the windows of time in which a tenant's traffic may be moved.

No I/O and no clock. Instants are microseconds since 1970 (UTC). A wall time that comes twice, or never, on the odd
days of daylight saving has two readings: hours open at the later of the two and close at the earlier, so that
nobody who reads the contract either way finds a move outside it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import UTC, date, datetime, timedelta
from functools import lru_cache
from zoneinfo import ZoneInfo

SECOND_US = 1_000_000
DAY_US = 24 * 3600 * SECOND_US
MINUTES_PER_DAY = 24 * 60  # of a day by the wall clock
DAYS_AHEAD = 14  # days that are worked out at once
HORIZON_DAYS = 400  # days: hours that do not open within it are taken to open never
FOREVER = 1 << 62


@dataclass(slots=True, frozen=True)
class Span:
    """Minutes of the local day on which it begins; one that ends at or before its beginning runs over midnight."""

    begin: int
    end: int


@dataclass(slots=True, frozen=True)
class Contract:
    tenant: str
    zone: str  # IANA
    week: tuple[tuple[Span, ...], ...]  # Monday first
    dates: Mapping[date, tuple[Span, ...]] = field(default_factory=dict)  # in the place of that date's hours
    notice: int = 31 * DAY_US  # an order older than this moves the tenant no longer


@dataclass(slots=True, frozen=True, order=True)
class Window:
    opens: int
    closes: int


ALWAYS = Window(0, FOREVER)  # of those without a contract


@lru_cache(512)
def load_time_zone(name: str) -> ZoneInfo:
    """Raises ZoneInfoNotFoundError, ValueError."""
    return ZoneInfo(name)


@lru_cache(16384)
def _calm(day: date, zone: ZoneInfo) -> int | None:
    """The instant at which a local day begins, if the clocks are not set on it or the next."""
    begins = {_reading(day, 0, zone, later) for later in (False, True)}
    ends = {_reading(day, 2 * MINUTES_PER_DAY, zone, later) for later in (False, True)}
    return begins.pop() if {begin + 2 * DAY_US for begin in begins} == ends and len(begins) == 1 else None


def _instant(day: date, minute: int, zone: ZoneInfo, later: bool) -> int:
    begins = _calm(day, zone)
    return _reading(day, minute, zone, later) if begins is None else begins + minute * (DAY_US // MINUTES_PER_DAY)


def _reading(day: date, minute: int, zone: ZoneInfo, later: bool) -> int:
    wall = datetime(day.year, day.month, day.day) + timedelta(minutes=minute)
    readings = [wall.replace(tzinfo=zone, fold=fold).timestamp() for fold in (0, 1)]
    return round((max if later else min)(readings) * SECOND_US)


def windows(contract: Contract, start: int, days: int) -> list[Window]:
    """All that open on one of so many local days from the one of an instant on, and those of the day before; joined
    where they touch."""
    zone = load_time_zone(contract.zone)
    first = datetime.fromtimestamp(start // SECOND_US, UTC).astimezone(zone).date() - timedelta(days=1)
    found = []
    for day in (first + timedelta(days=n) for n in range(days + 1)):
        for span in contract.dates.get(day, contract.week[day.weekday()]):
            over = span.end <= span.begin
            closes = _instant(day, span.end + (MINUTES_PER_DAY if over else 0), zone, False)
            if over and day + timedelta(days=1) in contract.dates:  # an exception holds for the whole of its date
                closes = min(closes, _instant(day, MINUTES_PER_DAY, zone, False))
            opens = _instant(day, span.begin, zone, True)
            if opens < closes:
                found.append(Window(opens, closes))
    return merge_windows(found)


def merge_windows(found: Iterable[Window]) -> list[Window]:
    out: list[Window] = []
    for window in sorted(found):
        if out and window.opens <= out[-1].closes:
            out[-1] = Window(out[-1].opens, max(out[-1].closes, window.closes))
        else:
            out.append(window)
    return out


class Calendar:
    """A contract's windows, less `margin` at each end, worked out as they are asked for."""

    def __init__(self, contract: Contract, margin: int = 0) -> None:
        self.contract, self._margin = contract, margin
        self._known: list[Window] = []
        self._from = self._to = 0
        self._barren: dict[int, int] = {}  # lead -> until when nothing is looked for again

    def next(self, now: int, lead: int = 0) -> Window | None:
        """The first window that leaves `lead` from now, or from its opening, to its close; `closes` is less the
        lead. None where there is none within the horizon."""
        at = now
        if now < self._barren.get(lead, 0):
            return None
        while at < now + HORIZON_DAYS * DAY_US:
            for window in self._around(at):
                last = window.closes - self._margin - lead
                if last >= max(now, window.opens + self._margin):
                    return Window(window.opens + self._margin, last)
            at = self._to
        self._barren[lead] = now + DAY_US // 24
        return None

    def open(self, now: int) -> bool:
        found = self.next(now)
        return found is not None and found.opens <= now < found.closes

    def _around(self, at: int) -> list[Window]:
        if not self._from <= at < self._to:
            # the last day's windows may run on into one that is not worked out: it serves only to be joined to
            self._from, self._to = at, at + (DAYS_AHEAD - 3) * DAY_US
            self._known = windows(self.contract, at, DAYS_AHEAD)
        return self._known


def first_common_window(nexts: Iterable[Callable[[int], Window | None]], now: int) -> Window | None:
    """The first window in which all are open; `nexts` give each one's first that has not closed at an instant."""
    asked = list(nexts)
    at = now
    while at < now + HORIZON_DAYS * DAY_US:
        found = [ask(at) for ask in asked]
        if None in found:
            return None
        opens = max((window.opens for window in found if window), default=0)
        closes = min((window.closes for window in found if window), default=FOREVER)
        if opens <= closes:
            return Window(opens, closes)
        at = opens
    return None
