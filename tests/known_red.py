"""Reads KNOWN-RED.txt at the root, which lists tests that fail because of a fault not yet fixed.

Each line has three parts: `tests/test_name.py::test_function; the cause; issue N`.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

LIST_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_ENTRIES = 3


class InvalidList(ValueError):
    """The file is not a list of at most `MAX_ENTRIES` tests, each with cause and issue."""


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One line of the list."""

    test: str
    cause: str
    issue: str

    def matches(self, nodeid: str) -> bool:
        """Tells whether a test id is of this test, with any parameters."""
        return nodeid.partition("[")[0] == self.test


def parse(text: str) -> tuple[KnownFailure, ...]:
    """Parses the list. Raises InvalidList, which names the malformed line."""
    entries = []
    for number, line in enumerate(text.splitlines(), 1):
        parts = [part.strip() for part in line.split(";")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise InvalidList(f"KNOWN-RED.txt line {number}: expected 'FILE::TEST; cause; issue'")
        entries.append(KnownFailure(*parts))
    if len(entries) > MAX_ENTRIES:
        raise InvalidList(f"KNOWN-RED.txt: {len(entries)} tests, {MAX_ENTRIES} at most")
    return tuple(entries)


def load_known_failures() -> tuple[KnownFailure, ...]:
    """Returns the entries of the file; none if it does not exist."""
    return parse(LIST_PATH.read_text()) if LIST_PATH.exists() else ()
