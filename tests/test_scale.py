"""The scale run at its smallest, as processes on loopback, and the sums over what such runs leave."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from oakvale.lab.scale import sums
from oakvale.lab.scale.run import Run
from oakvale.lab.scale.sizes import SMALL

ROOT = Path(__file__).parent.parent


def test_ten_gateways_and_forty_backends_play_all_steps() -> None:
    rows: list[dict[str, Any]] = []
    whole = Run(SMALL, rows.append, span=0.6, patience=15, limit=60, beat=0.5).play()
    by_step = {row["step"]: row for row in rows}
    assert whole, [(row["step"], row["failed"]) for row in rows if "failed" in row]
    assert list(by_step) == [
        "start",
        "backends",
        "gateways",
        "steady",
        "calls",
        "change",
        "changes",
        "replaced",
        "tenth",
        "tenth_back",
        "primary",
        "primary_back",
        "zone",
        "zone_back",
    ]
    assert not any("ended" in row for row in rows)
    assert by_step["change"]["reached"] == 8 and len(by_step["change"]["real_ms"]) == 2
    steady, calls = by_step["steady"], by_step["calls"]["calls"]
    # who counts may be one of the real gateways: then no hollow one is shown in that role
    assert {"primary", "backup", "witness", "sluice", "hollow", "relay"} <= steady["roles"].keys()
    assert steady["beats"]["counts"]["Heartbeat"] > 0 and calls["counted"] > calls["uncounted"]
    assert by_step["replaced"]["beats"]["counts"]["Leave drain"] == by_step["replaced"]["replaced"]


def row(gateways: int, step: str, cpu: float, **more: Any) -> dict[str, Any]:
    return {
        "step": step,
        "gateways": gateways,
        "backends": 10 * gateways,
        "beat_s": 1.5,
        "roles": {"sluice": {"cpu_percent": cpu, "most_mb": 50.0}},
        **more,
    }


def test_a_line_through_three_sizes_gives_the_planned_one_and_says_where_it_is_not_straight() -> None:
    straight = sums.Found([row(n, "steady", 0.5 + n / 100) for n in (30, 100, 235)])
    points = straight.role("steady", "sluice", "cpu_percent")
    along = sums.line(points)
    assert along is not None and along.at(470) == pytest.approx(5.2) and straight.planned(points[:2]) is None
    assert "| sluice | % of a core | 0.8 | 1.5 | 2.85 | 1 | 0 % | 5.2 * |" in straight.event("steady")
    assert any(
        "a real gateway, an ordinary minute | 5.2 % of a core | 2.4 % of a core | **over**" in told
        for told in straight.limits()
    )
    bent = sums.Found([row(n, "steady", float(n**3)) for n in (30, 100, 235)])
    assert "not straight" in bent.event("steady")[2]


def test_two_sizes_or_a_step_that_failed_make_no_line() -> None:
    found = sums.Found([row(30, "steady", 1), row(100, "steady", 2), row(235, "steady", 3, failed="no primary")])
    assert found.planned(found.role("steady", "sluice", "cpu_percent")) is None
    assert "not measured" in found.event("steady")[2]
    assert found.failed() == ["- 235 gateways, 2,350 backends, a beat each 1.5 s, `steady`: no primary"]


def test_a_broken_file_of_rows_is_named_with_its_line(tmp_path: Path) -> None:
    file = tmp_path / "rows.jsonl"
    file.write_text(json.dumps(row(30, "steady", 1)) + "\n{\n")
    with pytest.raises(sums.BadRows, match=r"rows\.jsonl: line 2"):
        sums.load(str(file))


def test_the_page_holds_the_sums_of_the_committed_measurements() -> None:
    text = (ROOT / "docs" / "CAPACITY.md").read_text()
    assert sums.page(sums.load(str(ROOT / "lab" / "capacity" / "measured.jsonl"))) in text


def test_the_year_is_summed_from_the_wait_for_a_change_after_a_takeover() -> None:
    found = sums.Found([row(n, "primary", 1, ack_ms=2_000) for n in (30, 100, 235, 470)])
    told = found.availability()
    # 18 x 365 failures over 4,874 machines, two of which are primary and backup, 2 s each
    assert any(line.startswith("| a machine fails | 2.7 | 0.0899 |") for line in told)
    assert "Each wait is 2 s (measured)" in told[-1]
    assert sums.Found([row(30, "primary", 1, ack_ms=2_000)]).availability()[0].startswith("| event") is False
