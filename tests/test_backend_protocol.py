"""Interpretation of backends' answers."""

from __future__ import annotations

import pytest

from oakvale.dataplane.backend_protocol import SystemDialect
from oakvale.interface import Ending
from oakvale.memory.requests import Answer

SEAL = (b"seal", b"x")


@pytest.mark.parametrize(
    "status, headers, ending",
    [
        (200, [SEAL], Ending.SERVED),
        (200, [], Ending.RESET),  # a success without the seal is not the backend's
        (503, [(b"not-run", b"1")], Ending.FULL),
        (421, [(b"served-by", b"i-2")], Ending.FULL),
        (400, [(b"not-run", b"1")], Ending.FULL),
        (500, [SEAL], Ending.ERROR),
        (503, [], Ending.ERROR),  # without Not-Run it may have run
    ],
)
def test_ending_of_an_answer(status: int, headers: list[tuple[bytes, bytes]], ending: Ending) -> None:
    assert SystemDialect().ending(Answer(status, headers)) is ending


@pytest.mark.parametrize(
    "value, timeout_us", [(b"timeout=10", 10_000_000), (b"max=5, Timeout = 3", 3_000_000), (b"x", None)]
)
def test_keep_alive_timeout_is_parsed(value: bytes, timeout_us: int | None) -> None:
    """Guards against writing to a connection that the backend is closing: such a request may have run."""
    assert SystemDialect().keep_alive_us([(b"keep-alive", value)]) == timeout_us
