"""Whatever a backend has answered, its client gets an answer, on a connection that stays open."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

import pytest

from oakvale.wire import clients
from tests.data_plane import GatewayHarness, success_answer
from tests.node import MS, StubConnection, answer

UNREGISTERED = sorted(set(range(200, 1000)) - {status.value for status in HTTPStatus})
STATUSES = [*UNREGISTERED[:2], 299, 419, 420, 440, 460, 499, 520, 529, 599, 600, *UNREGISTERED[-2:]]


def exchange(gateway: GatewayHarness, path: str, reply: bytes) -> tuple[StubConnection, bytes]:
    """A request that its backends answer with `reply`; returns the client's connection and what it got."""
    client = gateway.send_request(path, method="POST" if path == "/b/x" else "GET")

    def answered() -> bool:
        for server in (gateway.backend_1, gateway.backend_2):
            if (backend := server.take()) is not None:
                gateway._kept(backend).send(reply)
        return b"\r\n\r\n" in client.read()

    gateway.until(answered)
    gateway.turns()
    return client, client.read()


def next_status(gateway: GatewayHarness, client: StubConnection) -> bytes:
    """The status of an unknown route's answer on the same connection."""
    client.received = b""
    client.send(b"GET /none HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: z9\r\n\r\n")
    return gateway.reads(client).split()[1]


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("path", ["/b/x", "/r/x"])
def test_status_without_a_registered_name_is_passed_on(gateway: GatewayHarness, status: int, path: str) -> None:
    """Guards against a kept connection that is closed without the answer of a backend that ran the request (LOST)."""
    reply = answer(f"{status} Chair taken", b"taken", Attempt_Id="a1", Seal="s")
    client, received = exchange(gateway, path, reply)
    assert received.startswith(b"HTTP/1.1 %d " % status) and received.endswith(b"\r\n\r\ntaken")
    assert b"seal: s" in received.lower() and not client.ended
    assert next_status(gateway, client) == b"404"


def test_every_status_that_a_backend_may_send_has_a_head() -> None:
    for status in range(200, 1000):
        assert clients.response_head(status, ()).status_code == status


@pytest.mark.parametrize("failing", ["response_head", "client_answer"])
def test_exception_behind_a_backends_answer_still_answers_the_client(
    gateway: GatewayHarness, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, failing: str
) -> None:
    """Guards against a client that waits, or whose connection closes, as what its backend said can't be passed on."""
    real_head = clients.response_head

    def refuses(status: int, headers: tuple[tuple[bytes, bytes], ...]) -> Any:
        if any(name.lower() == b"seal" for name, _ in headers):
            raise ValueError("odd")
        return real_head(status, headers)

    def fails(*_: Any) -> None:
        raise ValueError("odd")

    if failing == "response_head":
        monkeypatch.setattr(gateway.router.shared, "response", refuses)
        for driver in (gateway.router, gateway.router._driver("one")):
            monkeypatch.setattr(driver, "response", refuses)
    else:
        monkeypatch.setattr(gateway.router._driver("one").dialect, "client_answer", fails)
    client, received = exchange(gateway, "/b/x", success_answer())
    assert received.startswith(b"HTTP/1.1 502") and not client.ended
    gateway.pass_time(5 * MS)
    assert next_status(gateway, client) == b"404" and any(record.exc_info for record in caplog.records)
