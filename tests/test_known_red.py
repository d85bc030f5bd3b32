"""The list of known failures gives command, seed, observation and issue of each, and names only tests that exist."""

from __future__ import annotations

import pytest

from tests.known_red import LIST_PATH, MAX_ENTRY_CHARS, InvalidList, KnownFailure, load_known_failures, parse

ENTRY = "tests/test_a.py::test_b; pytest -k test_b, seed 7; it breaks; issue 1"


@pytest.mark.parametrize(
    "text, message",
    [
        ("tests/test_a.py::test_b; it breaks; issue 1\n", "line 1: expected"),
        ("tests/test_a.py; pytest, seed 7; it breaks; issue 1\n", "line 1: not FILE::TEST"),
        ("tests/test_a.py::test_b; pytest; it breaks; issue 1\n", "line 1: no command with its seed"),
        ("tests/test_a.py::test_b; seed 7; it breaks; issue 1\n", "line 1: no command with its seed"),
        ("tests/test_a.py::test_b; pytest, seed; it breaks; issue 1\n", "line 1: no command with its seed"),
        ("tests/test_a.py::test_b; pytest, no seed; ; issue 1\n", "line 1: expected"),
        ("tests/test_a.py::test_b; pytest, no seed; it breaks; some day\n", "line 1: not 'issue N'"),
        (f"{ENTRY}\n\n", "line 2: expected"),
        (f"{ENTRY}\n{ENTRY}\n", "line 2: tests/test_a.py::test_b is there twice"),
        (ENTRY.replace("it breaks", "x" * MAX_ENTRY_CHARS), "line 1: .* at most"),
    ],
)
def test_entry_without_command_seed_observation_or_issue_is_rejected(text: str, message: str) -> None:
    with pytest.raises(InvalidList, match=message):
        parse(text)


def test_parts_of_an_entry_are_read() -> None:
    (known,) = parse(ENTRY)
    assert known == KnownFailure("tests/test_a.py::test_b", "pytest -k test_b", "seed 7", "it breaks", "issue 1")


def test_entry_matches_only_the_named_test() -> None:
    (known,) = parse(ENTRY)
    assert known.matches("tests/test_a.py::test_b[1-x]")
    assert not known.matches("tests/test_a.py::test_bc") and not known.matches("tests/test_c.py::test_b")


def test_every_listed_test_exists() -> None:
    for known in load_known_failures():
        path, _, name = known.test.partition("::")
        assert f"def {name}(" in (LIST_PATH.parent / path).read_text()
