"""Strict parsing of numbers that a peer sends.

`int` and `float` also accept underscores, digits of other scripts, blanks, `nan` and `inf`.
"""

from __future__ import annotations

import re

INTEGER_PATTERN = re.compile(r"[0-9]{1,15}")
DECIMAL_PATTERN = re.compile(r"-?[0-9]{1,15}(?:\.[0-9]{1,15})?(?:[eE][+-]?[0-9]{1,2})?")


def parse_integer(text: str) -> int:
    """Parses a non-negative integer of at most 15 digits; raises ValueError."""
    if not INTEGER_PATTERN.fullmatch(text):
        raise ValueError(f"not a whole number: {text[:64]!r}")
    return int(text)


def parse_decimal(text: str) -> float:
    """Parses a finite decimal number, with or without an exponent; raises ValueError."""
    if not DECIMAL_PATTERN.fullmatch(text):
        raise ValueError(f"not a number: {text[:64]!r}")
    return float(text)
