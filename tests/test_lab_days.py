"""Day files of the laboratory: taken whole, written and read again, refused with file, place and field."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

from oakvale.lab import days
from oakvale.lab.experiments import spec

ROOT = Path(__file__).parent.parent
FILES = sorted((ROOT / "lab" / "days").glob("*.toml"))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_a_day_written_is_the_day_read(path: Path) -> None:
    day = days.load(path)
    assert days.decode(tomllib.loads(days.dump(day))) == day


@pytest.mark.parametrize(
    "place, value, told",
    [
        (("routes", 1, "per_s"), -1, "routes.berth-book.per_s: Input should be greater than 0"),
        (("routes", 0, "service"), "quay", "routes.tide-table: unknown service 'quay'"),
        (("plan", 0, "at"), 400, "plan.0.at: 400 is after the day's end (12 s)"),
        (("plan", 0, "kind"), "srv_crash", "plan.0.kind: srv_crash is no planned work"),
        (("plan", 0, "zone"), "quay", "plan.0.zone: unknown zone 'quay'"),
        (("services", 0, "slot"), 3, "services.tides.slot: Extra inputs are not permitted"),
        (("bounds",), {"drain": "2h"}, "bounds.drain: not a time such as 1500ms or 2.5s: '2h'"),
        (("tenants", 1, "name"), "pilots", "tenants: 'pilots' is there twice"),
        (("tolerance",), 2, "tolerance: 2 of 3 cores can't be borne: a majority is needed"),
    ],
)
def test_a_bad_day_is_told_by_file_place_and_field(
    tmp_path: Path, place: tuple[Any, ...], value: Any, told: str
) -> None:
    """A field that is passed over without a word would make an experiment measure something else."""
    import tomli_w

    data: Any = tomllib.loads(next(path for path in FILES if path.stem == "still").read_text())
    *way, last = place
    row = data
    for step in way:
        row = row[step]
    row[last] = value
    (file := tmp_path / "bad.toml").write_text(tomli_w.dumps(data))
    with pytest.raises(days.BadDay) as raised:
        days.load(file)
    assert str(raised.value) == f"{file}: {told}"


@pytest.mark.parametrize("path", sorted((ROOT / "lab").glob("*.toml")), ids=lambda path: path.stem)
def test_the_experiments_that_come_along_fit_the_code(path: Path) -> None:
    """A constant that was renamed would leave an experiment that nobody can run."""
    told, played = spec.load(path)
    assert len(told.jobs(played)) >= told.seeds


def test_a_site_is_shared_by_days(tmp_path: Path) -> None:
    still = days.load(ROOT / "lab" / "agreement" / "still.toml")
    assert still.name == "still" and len(still.edges()) == 9 and still.plan and not still.troubles
    (file := tmp_path / "lone.toml").write_text('site = "none.toml"')
    with pytest.raises(days.BadDay, match="lone.toml: .*none.toml cannot be read: No such file"):
        days.load(file)
