"""A stand-in for the laboratory's world: outcomes by the seed and the variant's name alone. Workers find it by name."""

from __future__ import annotations

import random

from oakvale.lab.days import Day
from oakvale.lab.experiments.outcome import Outcome, Series
from oakvale.lab.experiments.variants import Spec


def played(day: Day, seed: int, given: Spec) -> Outcome:
    """The seed is most of a result, the variant a little of it; one breaks a rule, one comes to no end."""
    luck = random.Random(f"{day.name} {seed}").uniform(-0.2, 0)
    gain = {"base": 0.0, "longer": 0.03}.get(given.name, random.Random(f"{seed}").uniform(-0.02, 0.02))
    if given.name == "unsafe" and day.name == "squall" and seed == 3:
        return Outcome(given.name, day.name, seed, earned=90, owed=100, broken={"TWICE": 2}, first="TWICE at 1.0 s")
    if given.name == "longer" and seed == 5:
        return Outcome(given.name, day.name, seed, failed="ValueError: no")
    shown = Series(
        worth=[(0, 1, 2), (1, 2, 2)],
        arrivals={"tides": {"b1": [1, 2], "b2": [0, 3]}},
        news={"3": [0.1, 0.2]},
        quota={"pilots": [(0.0, 0.4), (0.25, 0.9)]},
        takeovers=[(0.5, "core-ford-1", "view 2")],
        troubles=[(0.2, 1.0, "core_cut")],
    )
    return Outcome(
        given.name,
        day.name,
        seed,
        earned=100 * (0.9 + luck + gain),
        owed=100,
        served=90,
        refused=5,
        lost=5,
        p50_ms=20,
        p99_ms=90 - 100 * gain,
        arrivals=120,
        series=shown,
    )
