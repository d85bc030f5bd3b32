"""Contract hours: the windows of time in which a tenant's traffic may be moved.

No I/O and no clock. Instants are microseconds since 1970 (UTC). At a change of daylight saving, a wall time that
occurs twice or never can be read in two ways. Hours open at the later instant and close at the earlier one, so a move
is inside the contract hours in either reading.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import UTC, date, datetime, timedelta
from functools import lru_cache
from zoneinfo import ZoneInfo

SECOND_US = 1_000_000
DAY_US = 24 * 3600 * SECOND_US
MINUTES_PER_DAY = 24 * 60  # by the wall clock
DAYS_AHEAD = 14  # computed at once
HORIZON_DAYS = 400  # hours that do not open within it count as never open
FOREVER_US = 1 << 62


@dataclass(slots=True, frozen=True)
class Span:
    """In minutes of the local day on which it begins. If `end` is not after `begin`, it ends on the next day."""

    begin: int
    end: int


@dataclass(slots=True, frozen=True)
class Contract:
    """The hours of a tenant's contract, by the wall clock of its time zone."""

    tenant: str
    zone: str  # IANA time zone
    week: tuple[tuple[Span, ...], ...]  # Monday first
    dates: Mapping[date, tuple[Span, ...]] = field(default_factory=dict)  # replaces the weekly hours of that date
    notice: int = 31 * DAY_US  # microseconds; an older order no longer moves the tenant


@dataclass(slots=True, frozen=True, order=True)
class Window:
    """An interval between two instants."""

    opens: int
    closes: int


ALWAYS = Window(0, FOREVER_US)  # for tenants without a contract


@lru_cache(512)
def load_time_zone(name: str) -> ZoneInfo:
    """Raises ZoneInfoNotFoundError or ValueError."""
    return ZoneInfo(name)


@lru_cache(16384)
def _day_start_if_regular(day: date, zone: ZoneInfo) -> int | None:
    """The instant at which a local day begins, or None if the UTC offset changes on it or on the next day."""
    begins = {_wall_to_instant(day, 0, zone, later) for later in (False, True)}
    ends = {_wall_to_instant(day, 2 * MINUTES_PER_DAY, zone, later) for later in (False, True)}
    return begins.pop() if {begin + 2 * DAY_US for begin in begins} == ends and len(begins) == 1 else None


def _instant(day: date, minute: int, zone: ZoneInfo, later: bool) -> int:
    """Like `_wall_to_instant`, but faster on days without a change of the UTC offset."""
    begins = _day_start_if_regular(day, zone)
    return (
        _wall_to_instant(day, minute, zone, later) if begins is None else begins + minute * (DAY_US // MINUTES_PER_DAY)
    )


def _wall_to_instant(day: date, minute: int, zone: ZoneInfo, later: bool) -> int:
    """The instant of a minute of a local day; `later` chooses among two readings."""
    wall = datetime(day.year, day.month, day.day) + timedelta(minutes=minute)
    candidates = [wall.replace(tzinfo=zone, fold=fold).timestamp() for fold in (0, 1)]
    return round((max if later else min)(candidates) * SECOND_US)


def windows(contract: Contract, start: int, days: int) -> list[Window]:
    """The windows that open on the local day of `start`, the day before it, or the following `days` - 1 days; windows
    that touch are merged."""
    zone = load_time_zone(contract.zone)
    first_day = datetime.fromtimestamp(start // SECOND_US, UTC).astimezone(zone).date() - timedelta(days=1)
    opening = []
    for day in (first_day + timedelta(days=n) for n in range(days + 1)):
        for span in contract.dates.get(day, contract.week[day.weekday()]):
            past_midnight = span.end <= span.begin
            closes = _instant(day, span.end + (MINUTES_PER_DAY if past_midnight else 0), zone, False)
            if past_midnight and day + timedelta(days=1) in contract.dates:  # an exception applies to its whole date
                closes = min(closes, _instant(day, MINUTES_PER_DAY, zone, False))
            opens = _instant(day, span.begin, zone, True)
            if opens < closes:
                opening.append(Window(opens, closes))
    return merge_windows(opening)


def merge_windows(unsorted: Iterable[Window]) -> list[Window]:
    """Sorts windows and merges those that overlap or touch."""
    merged: list[Window] = []
    for window in sorted(unsorted):
        if merged and window.opens <= merged[-1].closes:
            merged[-1] = Window(merged[-1].opens, max(merged[-1].closes, window.closes))
        else:
            merged.append(window)
    return merged


class Calendar:
    """The windows of a contract, each shortened by `margin` at both ends; computed on demand."""

    def __init__(self, contract: Contract, margin: int = 0) -> None:
        self.contract, self._margin = contract, margin
        self._known: list[Window] = []
        self._known_from = self._known_to = 0
        self._no_window_until: dict[int, int] = {}  # lead -> when to search again after an unsuccessful search

    def next_window(self, now: int, lead: int = 0) -> Window | None:
        """The first window that stays open for `lead` after now or after its opening, or None within the horizon.
        Its `closes` is the last instant at which a move with this lead may begin."""
        at = now
        if now < self._no_window_until.get(lead, 0):
            return None
        while at < now + HORIZON_DAYS * DAY_US:
            for window in self._windows_near(at):
                last = window.closes - self._margin - lead
                if last >= max(now, window.opens + self._margin):
                    return Window(window.opens + self._margin, last)
            at = self._known_to
        self._no_window_until[lead] = now + DAY_US // 24
        return None

    def is_open(self, now: int) -> bool:
        """Whether a move may begin now."""
        window = self.next_window(now)
        return window is not None and window.opens <= now < window.closes

    def _windows_near(self, at: int) -> list[Window]:
        if not self._known_from <= at < self._known_to:
            # windows of the last computed days may be incomplete: they serve only for merging
            self._known_from, self._known_to = at, at + (DAYS_AHEAD - 3) * DAY_US
            self._known = windows(self.contract, at, DAYS_AHEAD)
        return self._known


def first_common_window(searches: Iterable[Callable[[int], Window | None]], now: int) -> Window | None:
    """The first window that is common to several calendars. Each of `searches` returns the first window of its calendar
    that is not closed at an instant."""
    all_searches = list(searches)
    at = now
    while at < now + HORIZON_DAYS * DAY_US:
        candidates = [search(at) for search in all_searches]
        if None in candidates:
            return None
        opens = max((window.opens for window in candidates if window), default=0)
        closes = min((window.closes for window in candidates if window), default=FOREVER_US)
        if opens <= closes:
            return Window(opens, closes)
        at = opens
    return None
