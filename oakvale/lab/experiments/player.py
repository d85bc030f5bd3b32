"""One run: a day with a seed and a variant, played and judged, in the process that calls."""

from __future__ import annotations

import time
import traceback
from collections.abc import Callable
from importlib import import_module
from typing import Any

from oakvale.lab.days import Day
from oakvale.lab.experiments import outcome, variants
from oakvale.lab.experiments.outcome import Outcome
from oakvale.lab.experiments.variants import Spec

BASE = Spec(name="base")
Player = Callable[[Day, int, Spec], Outcome]  # a function of a module: workers find it by name


def world(day: Day, seed: int, spec: Spec) -> Outcome:
    """In the simulated world. What goes wrong in a run is told in its outcome: the other runs go on."""
    began = time.process_time()
    try:
        from oakvale.lab.judge import verdict

        play: Any = import_module("oakvale.lab.play")
        record = play.play(day, seed, play.Variant(spec.name, variants.patches(spec)))
        return outcome.of(spec.name, day, record, verdict.judge(record), round(time.process_time() - began, 2))
    except Exception as error:
        where = traceback.extract_tb(error.__traceback__)[-1]
        return Outcome(
            spec.name,
            day.name,
            seed,
            f"{type(error).__name__}: {error} "
            f"({where.name}, line {where.lineno} of {where.filename.rpartition('/')[2]})",
        )
