"""Drawn days: a seed's day is always the same, a file could hold it, and it asks for nothing that can't be borne."""

from __future__ import annotations

import tomllib
from collections import Counter

import pytest

from oakvale.lab import days
from oakvale.lab.days import Trouble
from oakvale.lab.experiments import draw


def test_drawn_days_are_fair_files_of_all_sizes_and_kinds() -> None:
    found = [draw.drawn(seed) for seed in range(300)]
    assert found == [draw.drawn(seed) for seed in range(300)]
    for day in found:
        assert draw.fair(day) and days.decode(tomllib.loads(days.dump(day))) == day
        for route in day.routes:
            assert route.deadline_ms > route.aim_ms > route.work_ms
    kinds = Counter(one.kind for day in found for one in day.troubles + day.plan)
    assert set(kinds) == set(draw.WAYS) and min(kinds.values()) >= 5
    assert {day.edges_per_zone for day in found} == {1, 2, 3, 4} and {len(day.zones) for day in found} == {1, 2, 3, 4}


@pytest.mark.parametrize(
    "other, at, fair",
    [("node_kill", 5.0, False), ("core_cut", 12.0, False), ("srv_crash", 10.0, True), ("node_kill", 30.0, True)],
)
def test_a_wiped_disk_stands_alone(other: str, at: float, fair: bool) -> None:
    """With two copies of which one is wiped, the other must be there: a rule broken then would be the day's fault."""
    day = draw.drawn(1).model_copy(
        update={
            "seconds": 40.0,
            "plan": (),
            "troubles": (
                Trouble(kind="after_ack_wipe", at=8.0, for_s=2.0),
                Trouble.model_validate({"kind": other, "at": at, "for_s": 2.0}),
            ),
        }
    )
    assert draw.fair(day) is fair
