"""Plays byte strings drawn by hypothesis on a model: the same strings in every run unless asked otherwise.

The draws depend on SEED alone. Hypothesis' own `derandomize` derives its seed from the source text of the test, so that
moving a line changed the draws.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

SEED = 1


def search(
    play: Callable[[bytes], Any],
    examples: int,
    size_range: tuple[int, int],
    repeatable: bool = True,
    shrink: bool = True,
) -> None:
    """Plays `examples` schedules of a length within `size_range`; raises the AssertionError of one that breaks a rule.

    `repeatable`: draw the same schedules in every run. `shrink`: reduce a failing schedule first.
    """
    phases = (Phase.generate, Phase.shrink) if shrink else (Phase.generate,)

    @settings(
        max_examples=examples,
        database=None,
        deadline=None,
        print_blob=False,
        phases=phases,
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.binary(min_size=size_range[0], max_size=size_range[1]))
    def play_drawn(schedule: bytes) -> None:
        play(schedule)

    (seed(SEED)(play_drawn) if repeatable else play_drawn)()
