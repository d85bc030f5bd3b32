"""Reads KNOWN-RED.txt at the root, which lists tests that fail because of a fault not yet fixed.

Each line has four parts: `FILE::TEST; COMMAND, SEED; what was seen; issue N`. SEED is `no seed`, `seed N` or `seeds N
to M`; a line holds at most `MAX_ENTRY_CHARS` characters.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

LIST_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_ENTRY_CHARS = 240
TEST = re.compile(r"[^\s:]+::\S+")
COMMAND_AND_SEED = re.compile(r"(?P<command>\S.*), (?P<seed>no seed|seed \d+|seeds \d+ to \d+)")
ISSUE = re.compile(r"issue \d+")


class InvalidList(ValueError):
    """The file is not a list of tests, each once, with command, seed, what was seen, and issue."""


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One line of the list."""

    test: str
    command: str
    seed: str
    seen: str
    issue: str

    def matches(self, nodeid: str) -> bool:
        """Tells whether a test id is of this test, with any parameters."""
        return nodeid.partition("[")[0] == self.test


def parse_entry(line: str) -> KnownFailure:
    """Parses one line. Raises InvalidList, which names the part that is missing or malformed."""
    if len(line) > MAX_ENTRY_CHARS:
        raise InvalidList(f"{len(line)} characters, {MAX_ENTRY_CHARS} at most")
    parts = [part.strip() for part in line.split(";")]
    if len(parts) != 4 or not all(parts):
        raise InvalidList("expected 'FILE::TEST; COMMAND, SEED; what was seen; issue N'")
    test, how, seen, issue = parts
    if not TEST.fullmatch(test):
        raise InvalidList(f"not FILE::TEST: {test!r}")
    command_and_seed = COMMAND_AND_SEED.fullmatch(how)
    if command_and_seed is None:
        raise InvalidList(f"no command with its seed, or 'no seed': {how!r}")
    if not ISSUE.fullmatch(issue):
        raise InvalidList(f"not 'issue N': {issue!r}")
    return KnownFailure(test, command_and_seed["command"], command_and_seed["seed"], seen, issue)


def parse(text: str) -> tuple[KnownFailure, ...]:
    """Parses the list. Raises InvalidList, which names the malformed line."""
    entries: dict[str, KnownFailure] = {}
    for number, line in enumerate(text.splitlines(), 1):
        try:
            entry = parse_entry(line)
            if entry.test in entries:
                raise InvalidList(f"{entry.test} is there twice")
        except InvalidList as error:
            raise InvalidList(f"KNOWN-RED.txt line {number}: {error}") from error
        entries[entry.test] = entry
    return tuple(entries.values())


def load_known_failures() -> tuple[KnownFailure, ...]:
    """Returns the entries of the file; none if it does not exist."""
    return parse(LIST_PATH.read_text()) if LIST_PATH.exists() else ()
