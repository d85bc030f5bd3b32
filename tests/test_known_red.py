"""The list of known failures: few, each with its cause, and none that names no test."""

from __future__ import annotations

import pytest

from tests.known_red import FILE, BadList, listed, parse


@pytest.mark.parametrize(
    "text, why",
    [
        ("tests/test_a.py::test_b; it breaks\n", "line 1"),
        ("tests/test_a.py; it breaks; issue 1\n", "line 1"),
        ("tests/test_a.py::test_b; ; issue 1\n", "line 1"),
        ("a::b; c; d\n" * 4, "4 tests"),
    ],
)
def test_a_list_without_causes_or_of_too_many_is_refused(text: str, why: str) -> None:
    with pytest.raises(BadList, match=why):
        parse(text)


def test_only_the_named_test_is_passed_over() -> None:
    (known,) = parse("tests/test_a.py::test_b; it breaks; issue 1\n")
    assert known.names("tests/test_a.py::test_b[1-x]")
    assert not known.names("tests/test_a.py::test_bc") and not known.names("tests/test_c.py::test_b")


def test_each_listed_test_exists() -> None:
    for known in listed():
        path, _, name = known.test.partition("::")
        assert f"def {name}(" in (FILE.parent / path).read_text()
