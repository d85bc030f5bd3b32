"""Schedules drawn by hypothesis: bytes that a test's world plays, the same each time unless said otherwise.

The draw hangs on SEED. Hypothesis' own `derandomize` takes its seed from the source text of the function that plays, so
moving a line drew other schedules, and a mechanism taken out was no longer found.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

SEED = 1


def search(
    play: Callable[[bytes], Any], examples: int, sizes: tuple[int, int], again: bool = True, shrinks: bool = True
) -> None:
    """Plays drawn schedules of so many bytes, the same each time if `again`; raises AssertionError with one that breaks
    a rule."""
    phases = (Phase.generate, Phase.shrink) if shrinks else (Phase.generate,)

    @settings(
        max_examples=examples,
        database=None,
        deadline=None,
        print_blob=False,
        phases=phases,
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.binary(min_size=sizes[0], max_size=sizes[1]))
    def plays(schedule: bytes) -> None:
        play(schedule)

    (seed(SEED)(plays) if again else plays)()
