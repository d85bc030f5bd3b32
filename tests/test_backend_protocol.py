"""What the system's backends say, and what is made of it."""

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
        (200, [], Ending.RESET),  # a success without the stamp is nobody's
        (503, [(b"not-run", b"1")], Ending.FULL),
        (421, [(b"served-by", b"i-2")], Ending.FULL),
        (400, [(b"not-run", b"1")], Ending.FULL),
        (500, [SEAL], Ending.ERROR),
        (503, [], Ending.ERROR),  # it does not say that it never ran
    ],
)
def test_an_answer_says_whether_it_ran(status: int, headers: list[tuple[bytes, bytes]], ending: Ending) -> None:
    assert SystemDialect().ending(Answer(status, headers)) is ending


@pytest.mark.parametrize(
    "value, micros", [(b"timeout=10", 10_000_000), (b"max=5, Timeout = 3", 3_000_000), (b"x", None)]
)
def test_the_time_of_an_idle_connection_is_heeded(value: bytes, micros: int | None) -> None:
    """A request written to a connection that the backend has just closed may have run: it can't be sent again."""
    assert SystemDialect().keep_alive_us([(b"keep-alive", value)]) == micros
