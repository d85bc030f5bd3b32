"""What a record is reduced to, each series against a plain count over the same events."""

from __future__ import annotations

import random
from pathlib import Path

import orjson
import pytest

from oakvale.lab import days
from oakvale.lab.experiments import outcome
from oakvale.lab.judge import verdict
from oakvale.lab.record import Arrived, Got, Kind, Noted, Ordered, Ran, Record, Sent

DAY = days.load(Path(__file__).parent.parent / "lab" / "days" / "still.toml")
BEGAN, SECOND = 7_000_000, 1_000_000


def record(seed: int) -> Record:
    draw = random.Random(seed)
    found = Record(
        "still",
        seed,
        {},
        kinds={"tide-table": Kind("tide-table", 1.0, 0.3, 300_000)},
        began=BEGAN,
        ended=BEGAN + 12 * SECOND,
    )
    for at in sorted(draw.randrange(BEGAN, found.ended - SECOND) for _ in range(300)):
        number, tenant = f"r{len(found.sent)}", draw.choice(("pilots", "ferries"))
        found.add(
            Sent(at, number, "c", "h", "/", "GET", "", "k", tenant, "tide-table", at + 2 * SECOND, "edge", 1, number)
        )
        found.add(
            Arrived(at + 10, number, f"b{draw.randint(1, 3)}", "tides", tenant, None, "h", "/", "GET", "", None, "")
        )
        if draw.random() < 0.9:
            found.add(Ran(at + 20, number, "b1", "tides"))
        took = draw.randint(1_000, 600_000)
        if draw.random() < 0.8:
            found.add(Got(at + took, number, draw.choice((200, 200, 503)), "s", "", draw.random() < 0.95, None, 1))
    text = found.order(
        orjson.dumps(
            {
                "gen": 2,
                "routes": {"cols": [], "rows": []},
                "svcs": {"cols": [], "rows": []},
                "tenants": {
                    "cols": ["name", "apikeys", "rate-per-s", "burst"],
                    "rows": [["pilots", [], 60, 120], ["ferries", [], 40, 80], ["free", [], 0, 0]],
                },
            }
        )
    )
    found.add(Ordered(BEGAN + 50, 2, True, text, BEGAN + 90, 200, "core"))
    for machine, after in (("edge-1", 400_000), ("edge-2", 100_000), ("edge-2", 900_000)):
        found.add(Noted(BEGAN + 50 + after, machine, "configuration", {"gen": 2}))
    found.add(Noted(BEGAN + 30, "core-1", "view", {"view": 4}))
    return found


def test_figures_and_series_are_those_of_a_plain_count() -> None:
    for seed in range(5):
        told = record(seed)
        one = outcome.of("base", DAY, told, verdict.judge(told), 0.0)
        shown = one.series
        assert shown is not None
        good = {got.id: got for got in told.got if got.status == 200 and got.whole}
        times = sorted(good[sent.id].at - sent.at for sent in told.sent if sent.id in good)
        assert one.p50_ms == times[len(times) // 2] / 1000 and one.p99_ms == times[int(len(times) * 0.99)] / 1000
        assert one.arrivals == len(told.sent) == sum(sum(row) for row in shown.arrivals["tides"].values())
        for backend, row in shown.arrivals["tides"].items():
            assert row == [
                sum(
                    came.backend == backend and second * SECOND <= came.at - BEGAN < (second + 1) * SECOND
                    for came in told.arrived
                )
                for second in range(12)
            ]
        assert shown.news == {"2": [0.1, 0.4]} and shown.takeovers == [(0.0, "core-1", "view 4")]
        whose = {sent.id: sent.tenant for sent in told.sent}
        bound = {"pilots": (60 * 5 + 120) * 1.1 + 20, "ferries": (40 * 5 + 80) * 1.1 + 20}
        assert set(shown.quota) == set(bound)
        for tenant, points in shown.quota.items():
            for at, use in points:
                ran = sum(
                    whose[ran.id] == tenant and BEGAN + at * SECOND - 5 * SECOND <= ran.at < BEGAN + at * SECOND
                    for ran in told.ran
                )
                assert abs(use - ran / bound[tenant]) < 1e-3
        assert sum(earned for _, earned, _ in shown.worth) == pytest.approx(one.earned)
