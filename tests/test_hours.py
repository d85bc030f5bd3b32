"""Hours of contracts against a slow model, the two odd days, the file's errors, and the agreed time."""

from __future__ import annotations

import random
from datetime import UTC, date, datetime, timedelta
from pathlib import Path
from zoneinfo import ZoneInfo

import pytest

from oakvale.config import contracts
from oakvale.config.toml_table import BadFile
from oakvale.drains.agreed_clock import HEARD, SECOND, SETTLE, Agreement
from oakvale.drains.hours import DAY, MINUTES, Calendar, Contract, Span, windows

ZONES = (
    "UTC",
    "America/Jamaica",
    "Asia/Jakarta",
    "America/New_York",
    "Europe/Berlin",
    "Australia/Lord_Howe",
    "Asia/Kathmandu",
)
MINUTE = 60 * SECOND


def at(text: str, zone: str = "UTC") -> int:
    return round(datetime.fromisoformat(text).replace(tzinfo=ZoneInfo(zone)).timestamp()) * SECOND


def is_open(contract: Contract, now: int) -> bool:
    """Span by span: every reading of its beginning is over, no reading of its end is reached. Readings are made with
    each offset that the zone has within a day."""
    zone, when = ZoneInfo(contract.zone), datetime.fromtimestamp(now / SECOND, UTC)
    offsets = {(when + timedelta(hours=h)).astimezone(zone).utcoffset() for h in range(-60, 61, 6)}

    def readings(day: date, minute: int) -> list[datetime]:
        wall = datetime(day.year, day.month, day.day) + timedelta(minutes=minute)
        found = [(wall - offset).replace(tzinfo=UTC) for offset in offsets if offset is not None]
        real = [r for r in found if r.astimezone(zone).replace(tzinfo=None) == wall]
        return real or [r for r in found if abs(r.astimezone(zone).replace(tzinfo=None) - wall) <= timedelta(hours=1)]

    for back in (-1, 0, 1, 2):
        day = when.astimezone(zone).date() - timedelta(days=back)
        for span in contract.dates.get(day, contract.week[day.weekday()]):
            over = span.end <= span.begin
            ends = readings(day, span.end + (MINUTES if over else 0))
            if over and day + timedelta(days=1) in contract.dates:
                ends += readings(day, MINUTES)
            if when >= max(readings(day, span.begin)) and when < min(ends):
                return True
    return False


@pytest.mark.parametrize("seed", range(12))
def test_drawn_contracts_against_the_slow_model(seed: int) -> None:
    rng = random.Random(seed)
    for _ in range(12):

        def spans() -> tuple[Span, ...]:
            marks = [rng.randrange(0, MINUTES, 15) for _ in range(2)]
            return (Span(marks[0], marks[1]),) * (marks[0] != marks[1] and rng.random() < 0.8)

        start = at(rng.choice(("2026-03-07", "2026-03-28", "2026-10-03", "2026-10-24", "2026-10-31", "2026-06-10")))
        days = [datetime.fromtimestamp(start / SECOND, UTC).date() + timedelta(days=n) for n in range(3)]
        contract = Contract(
            "t",
            rng.choice(ZONES),
            tuple(spans() for _ in range(7)),
            {day: spans() for day in days if rng.random() < 0.2},
        )
        calendar, found = Calendar(contract), windows(contract, start, 8)
        for _ in range(40):
            now = start + rng.randrange(0, 4 * DAY, 15 * MINUTE // 2)
            told = is_open(contract, now)
            assert any(window.opens <= now < window.closes for window in found) == told, (contract, now)
            assert calendar.open(now) == told


def test_the_two_odd_days() -> None:
    """02:30 that does not come, and 01:30 that comes twice: hours open late and close early, never the other way."""

    def of(begin: int, end: int, day: str) -> list[tuple[str, str]]:
        week = ((Span(begin, end),),) * 7
        contract = Contract("t", "America/New_York", week)
        return [
            (
                f"{datetime.fromtimestamp(w.opens / SECOND, UTC):%dT%H:%M}",
                f"{datetime.fromtimestamp(w.closes / SECOND, UTC):%dT%H:%M}",
            )
            for w in windows(contract, at(f"{day}T12:00"), 1)
            if datetime.fromtimestamp(w.opens / SECOND, UTC).date() == date.fromisoformat(day)
        ]

    assert of(150, 240, "2026-03-08") == [("08T07:30", "08T08:00")]  # 02:30 is 03:30 EDT, not 01:30 EST
    assert of(60, 150, "2026-03-08") == [("08T06:00", "08T06:30")]  # to 02:30: 01:30 EST
    assert of(90, 180, "2026-11-01") == [("01T06:30", "01T08:00")]  # from the second 01:30 on
    assert of(30, 90, "2026-11-01") == [("01T04:30", "01T05:30")]  # to the first 01:30


def test_a_margin_and_a_lead_shorten_each_window_and_may_leave_nothing() -> None:
    contract = Contract("t", "UTC", (((Span(60, 62),),) * 7))
    calendar = Calendar(contract, 10 * SECOND)
    now = at("2026-06-10T00:00")
    found = calendar.next(now, 20 * SECOND)
    assert found is not None
    assert (found.opens, found.closes) == (at("2026-06-10T01:00") + 10 * SECOND, at("2026-06-10T01:02") - 30 * SECOND)
    assert calendar.next(now, 101 * SECOND) is None
    assert Calendar(Contract("t", "UTC", ((),) * 7)).next(now) is None


GOOD = """
[[contract]]
tenant = "north"
zone = "America/Jamaica"
notice = "14d"
hours = [{ days = ["mon", "fri"], from = "22:00", to = "05:30" }, { days = ["sun"], from = "00:00", to = "24:00" }]
exceptions = [{ date = 2026-12-25 }, { date = 2026-12-26, hours = [{ from = "01:00", to = "02:00" }] }]
[[contract]]
tenant = "*"
zone = "UTC"
hours = []
[[order]]
name = "n1"
kind = "gateway"
target = "edge-1"
by = "ana"
why = "a kernel"
within = "2h"
"""


def test_the_file(tmp_path: Path) -> None:
    path = tmp_path / "contracts.toml"
    path.write_text(GOOD)
    found = contracts.load(str(path))
    north = found.by_tenant["north"]
    assert north.week[0] == (Span(22 * 60, 5 * 60 + 30),) and north.week[6] == (Span(0, MINUTES),)
    assert north.dates == {date(2026, 12, 25): (), date(2026, 12, 26): (Span(60, 120),)}
    assert north.notice == 14 * DAY and found.by_tenant["*"].week == ((),) * 7
    assert found.orders[0].within == DAY // 12


@pytest.mark.parametrize(
    ("was", "now", "says"),
    [
        ("22:00", "22:60", "contract of north: hours.0.from: "),
        ('"fri"', '"friday"', "contract of north: hours.0.days.1: "),
        ("America/Jamaica", "America/Kingstown", "contract of north: zone: no such time zone: 'America/Kingstown'"),
        ('"14d"', '"2 weeks"', "contract of north: notice: "),
        ('to = "05:30"', 'till = "05:30"', "contract of north: hours.0."),
        ('to = "05:30"', 'to = "22:00"', "contract of north: hours.0: from and to are the same"),
        ("2026-12-26", "2026-12-25", "contract of north: exceptions.1.date: 2026-12-25 is given twice"),
        ('tenant = "*"', 'tenant = "north"', "contract of north: tenant: is given twice"),
        ('tenant = "*"', 'tennant = "*"', "contract of number 2: tenant: "),
        ('"gateway"', '"gate"', "order n1: kind: "),
        ("[[contract]]", "[[contract]", "not TOML: "),
    ],
)
def test_errors_of_the_file_name_file_tenant_and_field(tmp_path: Path, was: str, now: str, says: str) -> None:
    path = tmp_path / "contracts.toml"
    path.write_text(GOOD.replace(was, now, 1))
    with pytest.raises(BadFile) as error:
        contracts.load(str(path))
    assert str(error.value).startswith(f"{path}: {says}") and "\n" not in str(error.value)


# ---- the agreed time


def agreed(offsets: list[dict[str, int]], machines: int = 3) -> list[int | None]:
    """Offsets of each machine's clock from the true time, a second each; the agreed time's offset after each."""
    agreement, out = Agreement(), []
    for second, said in enumerate(offsets):
        now = 1_000 * SECOND + second * SECOND
        for machine, offset in said.items():
            agreement.hear(machine, now + 5_000 * SECOND + offset, now)
        agreement.look(now, machines)
        found = agreement.time(now)
        out.append(None if found is None else found - now - 5_000 * SECOND)
    return out


@pytest.mark.parametrize("step", [-30 * SECOND, -3 * SECOND, 3 * SECOND, 30 * SECOND])
@pytest.mark.parametrize("machines", [2, 3, 4, 5])
def test_a_step_of_one_clock_changes_nothing(step: int, machines: int) -> None:
    """At any moment, for however long, also where two machines are all there are."""
    names = [f"m{n}" for n in range(machines)]
    calm = {name: 20_000 * n for n, name in enumerate(names)}
    found = agreed([calm] * 5 + [calm | {"m0": step}] * 300 + [calm] * 5, machines)
    assert all(offset is not None and abs(offset) <= 100_000 for offset in found)


def test_clocks_that_step_together_change_nothing_until_they_have_stood_so() -> None:
    calm, off = {"a": 0, "b": 0, "c": 0}, {"a": 0, "b": 2 * SECOND, "c": 2 * SECOND}
    assert set(agreed([calm] * 5 + [off] * 10 + [calm] * 5)) == {0}
    found = agreed([calm] * 5 + [off] * (SETTLE // SECOND + 5))
    assert found[SETTLE // SECOND] == 0 and found[-1] == 2 * SECOND


def test_no_time_is_known_before_more_than_half_agree() -> None:
    assert set(agreed([{"a": 0}] * 10)) == {None}
    assert set(agreed([{"a": 0, "b": 5 * SECOND}] * 10)) == {None}
    lost = agreed([{"a": 0, "b": 0, "c": 0}] * 3 + [{"a": 7 * SECOND}] * (2 * HEARD // SECOND))
    assert set(lost) == {0}  # the others fell silent: the time goes on by the steady clock
