"""Numbers that a peer sends, read by their form alone.

Python's own readers also take underscores, other scripts' digits, blanks, `nan` and `inf`.
"""

from __future__ import annotations

import re

WHOLE = re.compile(r"[0-9]{1,15}")
DECIMAL = re.compile(r"-?[0-9]{1,15}(?:\.[0-9]{1,15})?(?:[eE][+-]?[0-9]{1,2})?")


def whole(text: str) -> int:
    """A whole number of at most 15 digits; raises ValueError."""
    if not WHOLE.fullmatch(text):
        raise ValueError(f"not a whole number: {text[:64]!r}")
    return int(text)


def decimal(text: str) -> float:
    """A finite decimal number, with or without an exponent; raises ValueError."""
    if not DECIMAL.fullmatch(text):
        raise ValueError(f"not a number: {text[:64]!r}")
    return float(text)
