"""KNOWN-RED.txt at the root: tests that fail for a real fault which is not mended yet.

A line each, in three parts: `tests/test_name.py::test_function; the cause; issue N`.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


class BadList(ValueError):
    """The file is not a list of at most `MOST` tests with cause and issue."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    test: str
    cause: str
    issue: str

    def names(self, nodeid: str) -> bool:
        """Whether a test is this one, with whatever parameters."""
        return nodeid.partition("[")[0] == self.test


def parse(text: str) -> tuple[KnownRed, ...]:
    """Raises BadList with the line that is wrong."""
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        parts = [part.strip() for part in line.split(";")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise BadList(f"KNOWN-RED.txt line {number}: wanted 'FILE::TEST; cause; issue'")
        found.append(KnownRed(*parts))
    if len(found) > MOST:
        raise BadList(f"KNOWN-RED.txt: {len(found)} tests, {MOST} at most")
    return tuple(found)


def listed() -> tuple[KnownRed, ...]:
    """What the file lists; nothing where there is none."""
    return parse(FILE.read_text()) if FILE.exists() else ()
