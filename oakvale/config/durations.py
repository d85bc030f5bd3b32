"""Parses durations as the protocol writes them: a number followed by `ms` or `s`."""

from __future__ import annotations

import re

DURATION_PATTERN = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,30})?)(ms|s)")
UNIT_US = {"ms": 1_000, "s": 1_000_000}


def parse_duration(text: object) -> int:
    """Returns the microseconds of a text such as `1500ms` or `2.5s`; raises ValueError for anything else."""
    match = DURATION_PATTERN.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"not a time such as 1500ms or 2.5s: {text!r}")
    return round(float(match[1]) * UNIT_US[match[2]])
