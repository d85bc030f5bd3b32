"""Schedules drawn by hypothesis: bytes that a test's world plays, the same each time unless said otherwise."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st


def search(play: Callable[[bytes], Any], examples: int, sizes: tuple[int, int], again: bool = True,
           shrinks: bool = True) -> None:
    """Plays drawn schedules of so many bytes, the same each time if `again`; raises AssertionError with one that breaks
    a rule."""
    phases = (Phase.generate, Phase.shrink) if shrinks else (Phase.generate,)

    @settings(max_examples=examples, derandomize=again, database=None, deadline=None, print_blob=False, phases=phases,
              report_multiple_bugs=False, suppress_health_check=list(HealthCheck))
    @given(st.binary(min_size=sizes[0], max_size=sizes[1]))
    def plays(schedule: bytes) -> None:
        play(schedule)

    plays()
