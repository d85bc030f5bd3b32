"""Late duplicates of an answer to an earlier attempt of the same request, which bears the same Attempt-Id.

An attempt never goes on a connection that carried one of its request, so a duplicate there is nobody's answer.
"""

from __future__ import annotations

from typing import Any

import pytest

from tests.data_plane import CONFIG, GatewayHarness, success_answer
from tests.node import MS, StubConnection, answer

NOT_RUN = answer("503 Full", b"no", Attempt_Id="a1", Not_Run="1")
MISDIRECTED = answer("421 Misdirected Request", b"", Attempt_Id="a1", Served_By="i-9")
FAILED = answer("500 Oops", b"no", Attempt_Id="a1")
STALE = success_answer(body=b"stale")


def routes_with(tries: int) -> dict[str, Any]:
    table: dict[str, Any] = CONFIG["routes"]  # type: ignore[assignment]
    return table | {"rows": [[*row[:7], tries, *row[8:]] for row in table["rows"]]}


def turn_away(gateway: GatewayHarness, reply: bytes) -> StubConnection:
    """Has the next backend answer after 5 ms that it did not serve the request; returns its connection."""
    _, backend, received = gateway.next_backend_request()
    assert b"a1" in received
    gateway.pass_time(5 * MS)
    backend.received = b""
    backend.send(reply)
    return backend


@pytest.mark.parametrize("tries", [3, 4])
@pytest.mark.parametrize("duplicate", [NOT_RUN, MISDIRECTED, FAILED, STALE])
def test_duplicate_of_an_earlier_attempts_answer_decides_nothing(
    gateway: GatewayHarness, tries: int, duplicate: bytes
) -> None:
    """Guards against a booking that runs twice (4 tries), or that gets a 503 although it ran (3 tries)."""
    gateway.apply_state(gen=8, routes=routes_with(tries))
    client = gateway.send_request("/b/x", method="POST", body=b"chair 4")
    first = turn_away(gateway, NOT_RUN)
    turn_away(gateway, NOT_RUN)
    _, third, received = gateway.next_backend_request()  # on a new connection, to one of the two again
    assert b"a1" in received
    first.send(duplicate)
    gateway.turns()
    assert gateway.backend_1.take() is None and gateway.backend_2.take() is None, "another attempt was made"
    third.send(success_answer(body=b"booked"))
    assert gateway.reads(client, b"booked").startswith(b"HTTP/1.1 200") and not first.read()


@pytest.mark.parametrize("duplicate", [NOT_RUN, MISDIRECTED, FAILED, STALE])
def test_duplicate_is_nobodys_answer_for_a_safe_request_either(gateway: GatewayHarness, duplicate: bytes) -> None:
    """Guards against a false failure, a needless further run, and an old answer to a read."""
    gateway.apply_state(gen=8, routes=routes_with(3))
    client = gateway.send_request("/r/x")
    first = turn_away(gateway, FAILED if duplicate == FAILED else NOT_RUN)
    turn_away(gateway, NOT_RUN)
    _, third, _ = gateway.next_backend_request()
    first.send(duplicate)
    gateway.turns()
    third.send(success_answer(body=b"fresh"))
    assert gateway.reads(client, b"fresh").startswith(b"HTTP/1.1 200") and b"stale" not in client.received


def test_duplicate_behind_other_requests_is_told_by_its_id(gateway: GatewayHarness) -> None:
    """Other requests may lie between an answer and its duplicate: the connection stays closed to the request."""
    gateway.apply_state(gen=8, routes=routes_with(4))
    client = gateway.send_request("/b/x", method="POST", body=b"chair 4")
    first = turn_away(gateway, NOT_RUN)
    _, second, _ = gateway.next_backend_request()
    gateway.pass_time(200 * MS)  # past the ejection of the first backend
    other = gateway.send_request("/r/x", request_id="b1")
    gateway.until(lambda: b"b1" in first.read())
    first.send(NOT_RUN + success_answer("b1", body=b"fresh"))
    assert gateway.reads(other, b"fresh").startswith(b"HTTP/1.1 200")
    gateway.pass_time(5 * MS)
    first.received = b""
    second.send(NOT_RUN)
    _, third, _ = gateway.next_backend_request()
    third.send(success_answer(body=b"booked"))
    assert gateway.reads(client, b"booked").startswith(b"HTTP/1.1 200") and not first.read()


@pytest.mark.parametrize("path, status", [("/b/x", 502), ("/r/x", 200)])
def test_answer_without_an_id_behind_another_request_decides_nothing(
    gateway: GatewayHarness, path: str, status: int
) -> None:
    """Guards against stray bytes behind an earlier answer that look like a Not-Run: a booking would run twice."""
    gateway.apply_state(gen=8, removed=("i-2",))
    earlier = gateway.send_request(request_id="b1")
    _, backend, _ = gateway.next_backend_request()
    backend.received = b""
    backend.send(success_answer("b1"))
    gateway.reads(earlier, b"ok")
    gateway.pass_time(5 * MS)
    client = gateway.send_request(path, method="POST", body=b"chair 4")
    gateway.until(lambda: b"chair 4" in backend.read())
    backend.send(answer("503 Full", b"no", Not_Run="1"))  # belongs to no request, and the backend runs this one
    if status == 200:
        _, again, _ = gateway.next_backend_request()
        again.send(success_answer())
    assert gateway.status(client) == status
    assert gateway.backend_1.take() is None
