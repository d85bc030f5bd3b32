"""Experiments on a stand-in for the world: what is said of a difference, and that nothing gets lost on the way."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import replace
from itertools import product
from pathlib import Path
from statistics import median
from typing import Any

import pytest

from oakvale.lab import command_parts, commands, days
from oakvale.lab.days import Day
from oakvale.lab.experiments import findings, hunt, page, player, report, runs, spec, statistics, variants
from oakvale.lab.experiments.outcome import Outcome
from oakvale.lab.experiments.variants import Spec
from tests.stand_in import played

ROOT = Path(__file__).parent.parent
FILE = """
name = "waits"
days = ["still.toml", "squall.toml"]
seeds = 8
[[variants]]
name = "base"
[[variants]]
name = "longer"
set = { "oakvale.ratelimit.service.DUTY_COUNT" = 8 }
[[variants]]
name = "unsafe"
"""


@pytest.fixture
def told(tmp_path: Path) -> Path:
    for name in ("still.toml", "squall.toml"):
        (tmp_path / name).write_text((ROOT / "lab" / "days" / name).read_text())
    (file := tmp_path / "waits.toml").write_text(FILE)
    return file


def test_a_bootstrap_interval_is_that_of_all_resamples() -> None:
    """The slow plain model draws every resample there is."""
    values = [0.3, -0.1, 0.4, 0.15, 0.9]
    whole = sorted(median(some) for some in product(values, repeat=len(values)))
    found = statistics.median(values, 0.9)
    assert found.value == median(values)
    assert found.low == whole[int(0.05 * len(whole))] and found.high == whole[int(0.95 * len(whole))]
    assert found == statistics.median(values, 0.9)


@pytest.mark.parametrize(
    "change, word",
    [
        ([0.02] * 8, "better"),
        ([-0.02] * 8, "worse"),
        ([0.0] * 8, "noise"),
        ([0.02] * 5, "noise"),
        ([0.02, -0.03, 0.01, -0.01, 0.02, -0.02, 0.03, -0.04], "noise"),
        ([0.02, 0.03, 0.01, 0.02, 0.02, 0.01, 0.03, -0.04], "better"),
        ([0.0005] * 8, "noise"),
    ],
)
def test_a_verdict_needs_pairs_that_agree(change: list[float], word: str) -> None:
    """Differences of luck are far larger than the change; unpaired they would hide it."""
    base = [random.Random(seed).uniform(0.5, 0.9) for seed in range(len(change))]
    found = statistics.compared(base, [a + b for a, b in zip(base, change, strict=True)], least=0.001)
    assert found.word == word and found.pairs == len(change)


def test_rows_pair_seeds_and_count_what_broke(told: Path) -> None:
    experiment, its_days = spec.load(told)
    outcomes = [played(*job) for job in experiment.jobs(its_days)]
    rows = {(row.day, row.variant): row for row in findings.rows(experiment, outcomes)}
    assert set(rows) == set(product(("still", "squall", findings.ALL), ("base", "longer", "unsafe")))
    longer, unsafe = rows["still", "longer"], rows["squall", "unsafe"]
    assert longer.changes["score"].pairs == 7 and longer.failed == 1  # the seed that came to no end has no pair
    assert longer.changes["score"].change.value == pytest.approx(0.03) and longer.changes["score"].word == "better"
    assert longer.changes["p99 ms"].change.value == pytest.approx(-3) and longer.changes["p99 ms"].word == "better"
    assert rows[findings.ALL, "longer"].changes["score"].word == "better"
    assert unsafe.broken == {"TWICE": 1} and unsafe.changes["score"].word == "noise"
    text = report.markdown(experiment, list(rows.values()), outcomes, len(outcomes))
    assert "| still | longer |" in text and "7 pairs | better | no end 1 |" in text
    assert "squall, unsafe, seed 3: TWICE at 1.0 s" in text and "Interrupted" not in text
    shown = page.page(experiment, list(rows.values()), outcomes, len(outcomes) + 2)
    assert "Interrupted: 48 of 50 runs" in shown and shown.count("data:image/svg+xml;base64,") == 1 + 2 * 5
    assert 'src="http' not in shown and "href=" not in shown


def test_workers_bring_what_one_process_brings(told: Path) -> None:
    experiment, its_days = spec.load(told)
    jobs = [(its_days[0], seed, experiment.variants[0]) for seed in (1, 2)]
    alone = list(runs.played(jobs, 1, played))
    assert sorted(runs.played(jobs, 2, played), key=lambda one: one.seed) == alone


def test_an_interrupt_leaves_a_report_of_what_there_is(
    told: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def some(jobs: Any, many: int, its: Any) -> Iterator[Outcome]:
        for job in jobs[:7]:
            yield played(*job)
        raise KeyboardInterrupt

    monkeypatch.setattr(runs, "played", some)
    assert commands.main(["experiment", str(told), "--out", str(told.parent / "out"), "--quiet"]) == 130
    for name in ("report.md", "report.html"):
        assert "Interrupted: 7 of 48 runs" in (told.parent / "out" / name).read_text()
    assert "Interrupted" in capsys.readouterr().out


@pytest.mark.parametrize(
    "old, new, said",
    [
        (
            "DUTY_COUNT",
            "DUTY_COUNTS",
            "variants.longer: oakvale.ratelimit.service.DUTY_COUNTS: oakvale.ratelimit.service has no DUTY_COUNTS",
        ),
        ("= 8 }", "= 'x' }", "variants.longer.set.oakvale.ratelimit.service.DUTY_COUNT: 'x' is not like 4"),
        ("oakvale.ratelimit", "os.ratelimit", "variants.longer: os.ratelimit.service.DUTY_COUNT: no name of oakvale's"),
        ('"longer"', '"base"', "variants: 'base' is there twice"),
        ("seeds = 8", "seeds = 0", "seeds: Input should be greater than or equal to 1"),
        ("seeds = 8", "seed = 8", "seed: Extra inputs are not permitted"),
        (
            '"unsafe"',
            '"unsafe"\ndays = ["storm.toml"]',
            "variants.unsafe.days: 'storm.toml' is none of the experiment's days",
        ),
    ],
)
def test_a_bad_experiment_is_told_by_place_and_field(told: Path, old: str, new: str, said: str) -> None:
    told.write_text(FILE.replace(old, new))
    with pytest.raises(command_parts.Wrong) as raised:
        commands.main(["experiment", str(told)])
    assert str(raised.value) == f"{told}: {said}"


def test_a_change_reaches_whoever_imported_the_name() -> None:
    """Left out, a variant would change half of the code, and the experiment would say noise."""
    import oakvale.base.limits

    found = variants.patches(Spec(name="big", set={"oakvale.base.limits.MB": 2}))
    assert found["oakvale.base.limits.MB"] == found["oakvale.config.bounds.MB"] == 2
    assert all(getattr(*variants.found(name)) == oakvale.base.limits.MB for name in found)
    swapped = variants.patches(
        Spec(name="other", swap={"oakvale.config.durations.parse_duration": "oakvale.numbers.parse_integer"})
    )
    same = [name for name in swapped if name.endswith(".parse_duration")]
    assert len({id(swapped[name]) for name in same}) == 1 and "oakvale.config.model.parse_duration" in same


def test_what_follows_from_a_constant_changes_with_it() -> None:
    """The bench plays edited sources; a variant that left a default as it was would be another one there than here."""
    found = variants.patches(Spec(name="slow", set={"oakvale.dissemination.feed.STALE_AFTER_US": 1_000_000}))
    assert found["oakvale.dissemination.feed.FAILED_SOURCE_RETRY_US"] == 20_000_000
    assert found["oakvale.dissemination.feed.Feed.is_fresh.__defaults__"] == (1_000_000,)
    assert found.keys() >= {"oakvale.dissemination.feed.STALE_AFTER_US"} and all(variants.found(name) for name in found)
    later = variants.patches(Spec(name="later", set={"oakvale.ratelimit.presence.PRESENT_US": 5}))
    assert later["oakvale.ratelimit.presence.ABSENT_US"] == later["oakvale.ratelimit.service.ABSENT_US"] == 100_005


def test_a_hunt_keeps_what_it_found_as_a_day(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """The kept day is the one that broke, and the smallest one still does."""

    def world(day: Day, seed: int, given: Spec) -> Outcome:
        bad = any(one.kind == "core_cut" for one in day.troubles)
        return replace(played(day, seed, Spec(name="base")), broken={"CONFIG": 1} if bad else {}, first="gone")

    monkeypatch.setattr(player, "world", world)
    out = tmp_path / "found"
    assert commands.main(["hunt", "--days", "60", "--jobs", "1", "--shrink", "--out", str(out), "--quiet"]) == 1
    kept, small = sorted(out.glob("config-*.toml"), key=lambda path: len(path.stem))
    day, less = days.load(kept), days.load(small)
    assert kept.read_text().startswith("# broke CONFIG\n# gone\n") and hunt.faults(world(day, day.seed, player.BASE))
    assert [one.kind for one in less.troubles] == ["core_cut"] and not less.plan and len(less.routes) == 1
    assert "CONFIG: gone" in capsys.readouterr().out
    assert commands.main(["hunt", "--days", "5", "--jobs", "1", "--kinds", "revoke", "--quiet"]) == 0
