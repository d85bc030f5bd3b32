"""The list of known failures is short, gives a cause for each, and names only tests that exist."""

from __future__ import annotations

import pytest

from tests.known_red import LIST_PATH, InvalidList, load_known_failures, parse


@pytest.mark.parametrize(
    "text, message",
    [
        ("tests/test_a.py::test_b; it breaks\n", "line 1"),
        ("tests/test_a.py; it breaks; issue 1\n", "line 1"),
        ("tests/test_a.py::test_b; ; issue 1\n", "line 1"),
        ("a::b; c; d\n" * 4, "4 tests"),
    ],
)
def test_list_with_missing_causes_or_too_many_entries_is_rejected(text: str, message: str) -> None:
    with pytest.raises(InvalidList, match=message):
        parse(text)


def test_entry_matches_only_the_named_test() -> None:
    (known,) = parse("tests/test_a.py::test_b; it breaks; issue 1\n")
    assert known.matches("tests/test_a.py::test_b[1-x]")
    assert not known.matches("tests/test_a.py::test_bc") and not known.matches("tests/test_c.py::test_b")


def test_every_listed_test_exists() -> None:
    for known in load_known_failures():
        path, _, name = known.test.partition("::")
        assert f"def {name}(" in (LIST_PATH.parent / path).read_text()
