"""Times as the protocol writes them: a number with its unit, `ms` or `s`. Inside, microseconds."""

from __future__ import annotations

import re

TIME = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,30})?)(ms|s)")
MICROS = {"ms": 1_000, "s": 1_000_000}


def parse_duration(text: object) -> int:
    """`1500ms` or `2.5s` in microseconds; raises ValueError for anything else."""
    found = TIME.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f"not a time such as 1500ms or 2.5s: {text!r}")
    return round(float(found[1]) * MICROS[found[2]])
