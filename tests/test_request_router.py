"""Request routing of a gateway, on loopback sockets."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from oakvale.dataplane.routes import RoutingSnapshot
from oakvale.failover.chains import Chains
from oakvale.loadbalancing.board_service import Rejected, Selection
from oakvale.ratelimit.quotas import Quota
from tests.data_plane import CONFIG, KEY, GatewayHarness, success_answer
from tests.node import MS, answer


def test_a_backend_gets_its_own_id_and_the_tenant_but_not_the_key(gateway: GatewayHarness) -> None:
    client = gateway.send_request(Tenant="someone-else", Backend="i-9", X_Other="kept")
    name, backend, received = gateway.next_backend_request()
    fields = dict(line.split(": ", 1) for line in received.decode().split("\r\n")[1:-2])
    fields = {name.lower(): value for name, value in fields.items()}
    assert fields["backend"] == name and fields["tenant"] == "t1" and fields["attempt-id"] == "a1"
    assert KEY not in received.decode() and fields["x-other"] == "kept" and int(fields["time-left"]) <= 5_000
    backend.send(success_answer())
    assert gateway.reads(client, b"ok").startswith(b"HTTP/1.1 200") and b"seal: s" in client.came.lower()


@pytest.mark.parametrize(
    "path, key, host, status",
    [
        ("/none/", KEY, "a.example", 404),
        ("/r/x", KEY, "b.example", 404),
        ("/r/x", "wrong", "a.example", 401),
        ("/r/x", None, "a.example", 401),
    ],
)
def test_unknown_routes_and_keys_are_rejected(
    gateway: GatewayHarness, path: str, key: str | None, host: str, status: int
) -> None:
    assert gateway.status(gateway.send_request(path, key=key, Host=host)) == status


def test_the_longest_prefix_matches_and_a_public_route_needs_no_key(gateway: GatewayHarness) -> None:
    gateway.send_request("/r/deep/x", key=None)
    assert b"tenant" not in gateway.reads(gateway.taken(gateway.backend_3)).lower()


def test_requests_before_the_first_configuration_are_told_to_retry(gateway: GatewayHarness) -> None:
    gateway.router.snapshot = RoutingSnapshot()
    client = gateway.send_request("/none/", key="wrong")
    assert gateway.status(client) == 503 and b"retry-after" in client.came


def test_client_limits_of_the_configuration_are_enforced(gateway: GatewayHarness) -> None:
    """Guards against limits that are validated but not applied, so that a client may send a head arbitrarily slowly."""
    gateway.apply_state(gen=8, limits={"hdr-bytes": 400, "body-bytes": 8, "hdr": "1500ms", "idle": "4s"})
    assert gateway.status(gateway.send_request("/b/x", method="POST", body=b"nine nine")) == 413
    assert gateway.status(gateway.send_request(X_Long="x" * 500)) == 431
    slow, idle = gateway.client(), gateway.send_request(request_id="a2")
    slow.send(b"GET /r/x HTTP/1.1\r\nHost: ")
    gateway.next_backend_request()[1].send(success_answer("a2"))
    assert gateway.status(idle) == 200
    gateway.pass_time(1_600 * MS)
    assert gateway.status(slow) == 408 and (idle.read(), idle.ended)[1] is False
    gateway.pass_time(3_000 * MS)
    gateway.until_ended(idle)
    # the limit on answers is unchanged
    assert gateway.router.limits.body == 8 and gateway.router.shared.limits.body > 8


def test_a_key_is_not_accepted_while_a_revocation_may_be_unknown(gateway: GatewayHarness) -> None:
    """With strict-revoke. Public routes and unknown keys are not affected."""
    gateway.router.revocations_current = lambda: False
    client = gateway.send_request()
    assert gateway.status(client) == 503 and b"retry-after" in client.came
    assert gateway.status(gateway.send_request(request_id="a2", key="wrong")) == 401
    gateway.send_request("/r/deep/x", request_id="a3", key=None)
    gateway.taken(gateway.backend_3)


@pytest.mark.parametrize("result, status", [((False, 250_000, True), 429), ((False, 200_000, False), 503)])
def test_a_request_over_quota_or_not_counted_is_refused_with_retry_after(
    gateway: GatewayHarness, result: Any, status: int
) -> None:
    gateway.rate_limiter.result = result
    client = gateway.send_request()
    assert gateway.status(client) == status and b"retry-after: 0.2" in client.came
    assert gateway.backend_1.take() is None and gateway.backend_2.take() is None


def test_a_retry_is_recognised_by_its_time_left(gateway: GatewayHarness) -> None:
    for request_id, time_left in (("a1", "5000"), ("a2", "4982"), ("a3", "4700")):
        gateway.send_request(request_id=request_id, Time_Left=time_left)
    gateway.until(lambda: len(gateway.rate_limiter.counted_requests) == 3)
    assert [is_retry for _, is_retry in gateway.rate_limiter.counted_requests] == [False, False, True]


def test_an_unsafe_request_is_not_retried_after_a_connection_reset(gateway: GatewayHarness) -> None:
    client = gateway.send_request("/b/x", method="POST", body=b"slot")
    _, backend, _ = gateway.next_backend_request()
    backend.close(reset=True)
    assert gateway.status(client) == 502
    assert gateway.backend_1.take() is None and gateway.backend_2.take() is None


@pytest.mark.parametrize(
    "path, max_idle_us, reused",
    [("/b/x", 200 * MS, False), ("/b/x", 400 * MS, True), ("/b/x", None, True), ("/r/x", 200 * MS, True)],
)
def test_an_unsafe_request_is_not_sent_on_a_connection_idle_for_too_long(
    gateway: GatewayHarness, path: str, max_idle_us: int | None, reused: bool
) -> None:
    """A backend may drop an idle connection without notice; the reset then leaves open whether the request ran."""
    gateway.apply_state(removed=("i-2",))
    first = gateway.send_request()
    _, backend, _ = gateway.next_backend_request()
    backend.send(success_answer())
    gateway.reads(first, b"ok")
    gateway.pass_time(300 * MS)
    gateway.router.boards.select = lambda service, wait, on_selected, facts=None, without=frozenset(): on_selected(  # type: ignore[method-assign]
        Selection(service, "i-1", 1, "gauge/0", max_idle_us)
    )
    gateway.send_request(path, request_id="a2")
    if reused:
        assert b"a2" in gateway.reads(backend, b"a2")
    else:
        assert b"a2" in gateway.next_backend_request()[2]


def test_a_connection_reset_on_reuse_is_reported_with_its_idle_time(gateway: GatewayHarness) -> None:
    gateway.apply_state(removed=("i-2",))
    reported: list[int] = []
    gateway.router.boards.select = lambda service, wait, on_selected, facts=None, without=frozenset(): on_selected(  # type: ignore[method-assign]
        Selection(service, "i-1", 1, "gauge/0")
    )
    gateway.router.boards.report_attempt = lambda pick, route, latency, outcome, dropped=0, kept=0: reported.append(  # type: ignore[method-assign]
        dropped
    )
    for request_id, resets in (("a1", False), ("a2", True), ("a3", False), ("a4", True)):
        client = gateway.send_request("/b/x", request_id=request_id, method="POST", body=b"slot")
        if request_id in ("a1", "a3"):
            _, backend, _ = gateway.next_backend_request()
        else:
            gateway.reads(backend, request_id.encode())
        if request_id == "a4":
            backend.send(b"HTTP/1.1 2")  # the answer has begun
            gateway.turns()
        if resets:
            backend.close(reset=True)
        else:
            backend.send(success_answer(request_id))
        gateway.status(client)
        gateway.pass_time(300 * MS)
    assert reported[0] == reported[2] == reported[3] == 0 and 300 * MS <= reported[1] < 400 * MS


def test_a_misdirected_request_goes_to_another_backend(gateway: GatewayHarness) -> None:
    """421: the address now belongs to another backend. Even an unsafe request has not run and may be sent again."""
    client = gateway.send_request("/b/x", method="POST", body=b"slot")
    name, backend, _ = gateway.next_backend_request()
    backend.send(answer("421 Misdirected Request", Served_By="i-8"))
    other, backend, _ = gateway.next_backend_request()
    assert other != name
    backend.send(success_answer())
    assert gateway.status(client) == 200


def test_a_retry_carries_the_remaining_time(gateway: GatewayHarness) -> None:
    """With the original time a backend would go on working after the client has given up."""
    gateway.send_request()
    _, backend, first = gateway.next_backend_request()
    gateway.pass_time(700 * MS)
    backend.close(reset=True)
    _, _, second = gateway.next_backend_request()
    times = [int(head.lower().split(b"time-left: ")[1].split()[0]) for head in (first, second)]
    assert times[0] <= 5_000 and times[1] <= times[0] - 700


@pytest.mark.parametrize("path, method", [("/r/x", "GET"), ("/b/x", "POST")])
def test_a_request_is_answered_at_the_routes_deadline(gateway: GatewayHarness, path: str, method: str) -> None:
    client = gateway.send_request(path, method=method, Time_Left="60000")
    _, backend, _ = gateway.next_backend_request()
    gateway.pass_time(4_800 * MS)
    assert client.read() == b""
    gateway.pass_time(1_300 * MS)
    assert gateway.status(client) >= 500
    gateway.until_ended(backend)


def test_the_attempt_limit_holds_and_a_request_that_never_ran_gets_retry_after(gateway: GatewayHarness) -> None:
    client = gateway.send_request("/b/x", method="POST", body=b"slot")
    for _ in range(2):
        _, backend, _ = gateway.next_backend_request()
        backend.send(answer("503 Service Unavailable", Not_Run="1"))
    assert gateway.status(client) == 503 and b"retry-after" in client.came


@pytest.mark.parametrize("status", ["503 Service Unavailable", "429 Too Many Requests"])
def test_a_429_or_503_without_not_run_is_not_forwarded(gateway: GatewayHarness, status: str) -> None:
    """Without Not-Run the request may have run; a client that retried on this status could run it twice."""
    client = gateway.send_request("/b/x", method="POST", body=b"slot")
    _, backend, _ = gateway.next_backend_request()
    backend.send(answer(status, Attempt_Id="a1"))
    assert gateway.status(client) == 502


def test_an_answer_to_another_attempt_is_discarded(gateway: GatewayHarness) -> None:
    client = gateway.send_request(request_id="a2")
    _, backend, _ = gateway.next_backend_request()
    backend.send(success_answer("a1", b"another's"))
    gateway.turns()
    assert client.read() == b""
    backend.send(success_answer("a2", b"its own"))
    assert gateway.reads(client, b"its own").endswith(b"its own") and b"another's" not in client.came


@pytest.mark.parametrize(
    "invalid",
    [
        answer(body=b"ok", Attempt_Id="a1"),  # no seal
        answer(body=b"ok", Attempt_Id="a1", Seal="s", Content_Encoding="gzip"),
        b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nSeal: s\r\nContent-Length: 9\r\n\r\nhalf",
        b"\0\1\2 no answer at all\r\n\r\n",
    ],
)
def test_an_invalid_answer_is_not_forwarded_as_a_success(gateway: GatewayHarness, invalid: bytes) -> None:
    client = gateway.send_request("/b/x", method="POST", body=b"slot")
    _, backend, _ = gateway.next_backend_request()
    backend.send(invalid)
    backend.close()
    assert gateway.status(client) == 502


def test_an_answer_without_a_length_that_ends_in_a_reset_is_incomplete(gateway: GatewayHarness) -> None:
    """Such an answer ends with its connection, so a reset must not be taken for its end."""
    client = gateway.send_request("/b/x", method="POST", body=b"slot")
    _, backend, _ = gateway.next_backend_request()
    backend.send(b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nSeal: s\r\n\r\nhalf")
    gateway.turns()
    backend.close(reset=True)
    assert gateway.status(client) == 502


def test_a_backends_error_is_forwarded_unchanged(gateway: GatewayHarness) -> None:
    client = gateway.send_request("/b/x", method="POST", body=b"slot")
    _, backend, _ = gateway.next_backend_request()
    backend.send(answer("500 Internal Server Error", b"boom", Attempt_Id="a1", Seal="s"))
    assert gateway.reads(client, b"boom").startswith(b"HTTP/1.1 500")


def test_a_draining_backend_gets_no_retry(gateway: GatewayHarness) -> None:
    """The backend's state counts when the attempt is sent, not when it was selected."""
    client = gateway.send_request()
    name, backend, _ = gateway.next_backend_request()
    other = {"i-1": "i-2", "i-2": "i-1"}[name]
    gateway.apply_state(draining=(other,))
    backend.send(answer("503 Service Unavailable", Not_Run="1"))
    gateway.apply_state(draining=(other, name))
    assert gateway.status(client) == 503
    servers = {"i-1": gateway.backend_1, "i-2": gateway.backend_2}
    assert servers[other].take() is None


def test_idle_connections_to_a_removed_backend_are_closed(gateway: GatewayHarness) -> None:
    client = gateway.send_request()
    name, backend, _ = gateway.next_backend_request()
    backend.send(success_answer())
    gateway.reads(client, b"ok")
    gateway.apply_state(removed=(name,))
    gateway.until(lambda: backend.read() and backend.ended)


def test_a_new_configuration_applies_as_a_whole_to_the_next_request(gateway: GatewayHarness) -> None:
    """Guards against combining the keys of one version with the routes of another."""
    routes = CONFIG["routes"]["rows"]  # type: ignore[index]
    gateway.apply_state(
        gen=8,
        routes={**CONFIG["routes"], "rows": routes[:1]},  # type: ignore[dict-item]
        tenants={"cols": ["name", "apikeys"], "rows": [["t2", ["new"]]]},
    )
    assert gateway.status(gateway.send_request("/b/x", method="POST", key="new")) == 404
    assert gateway.status(gateway.send_request("/r/x", key=KEY)) == 401
    gateway.send_request("/r/x", key="new")
    assert b"tenant: t2" in gateway.next_backend_request()[2].lower()
    assert gateway.router.snapshot.tenants["t2"].quota == Quota()


def place_backends_in_two_zones(gateway: GatewayHarness) -> None:
    """Moves the second backend of service one to another zone."""
    backends = dict(gateway.router.snapshot.backends)
    backends["i-2"] = replace(backends["i-2"], zone="y")
    gateway.router.apply_snapshot(replace(gateway.router.snapshot, backends=backends))


def zone_of(name: str) -> str:
    """The zone of a backend after `place_backends_in_two_zones`."""
    return "y" if name == "i-2" else "z"


def test_closing_a_zone_ends_an_unsafe_request_there_at_once(gateway: GatewayHarness) -> None:
    """Guards against a client waiting until the deadline for a failed zone, and against running the request twice."""
    place_backends_in_two_zones(gateway)
    client = gateway.send_request("/b/x", method="POST", body=b"order")
    name, backend, _ = gateway.next_backend_request()
    gateway.turns(4)
    gateway.router.boards.on_zones_closed("one", frozenset({zone_of(name)}))
    assert gateway.status(client) == 502
    gateway.turns(10)
    assert gateway.backend_1.take() is None and gateway.backend_2.take() is None


def test_closing_a_zone_moves_a_safe_request_and_later_ones_elsewhere(gateway: GatewayHarness) -> None:
    place_backends_in_two_zones(gateway)
    client = gateway.send_request()
    name, _, _ = gateway.next_backend_request()
    gateway.turns(4)
    gateway.router.boards.on_zones_closed("one", frozenset({zone_of(name)}))
    other, backend, _ = gateway.next_backend_request()
    assert other != name
    backend.send(success_answer())
    assert gateway.status(client) == 200
    for n in range(6):
        again = gateway.send_request(request_id=f"c{n}")
        there, backend, _ = gateway.next_backend_request()
        assert there == other
        backend.send(success_answer(f"c{n}"))
        assert gateway.status(again) == 200
    # with all zones closed an attempt is better than a refusal
    gateway.router.boards.on_zones_closed("one", frozenset({"y", "z"}))
    again = gateway.send_request(request_id="d")
    _, backend, _ = gateway.next_backend_request()
    backend.send(success_answer("d"))
    assert gateway.status(again) == 200


def test_a_request_without_capacity_anywhere_is_refused_with_retry_after(gateway: GatewayHarness) -> None:
    boards: Any = gateway.router.boards
    boards.select = lambda service, wait, on_selected, facts=None, without=frozenset(): on_selected(Rejected(120 * MS))
    text = gateway.reads(gateway.send_request("/b/x", method="POST", body=b"order"))
    assert text.split()[1] == b"503" and b"retry-after: 0.12" in text.lower()
    gateway.turns(10)
    assert gateway.backend_1.take() is None and gateway.backend_2.take() is None


def test_without_failover_chains_the_holder_messages_are_shorter(gateway: GatewayHarness) -> None:
    """With failover chains off, requests are not described to the board holder and no traffic flows are kept."""
    sent: list[Any] = []

    def ask(address: Any, kind: str, body: Any, wait: int, on_answer: Callable[[Any], None]) -> None:
        sent.append(body)
        on_answer(["i-1", 4, None])

    gateway.rate_limiter.holder = lambda duty: ("h", 1)  # type: ignore[method-assign,assignment]
    transport: Any = gateway.router.boards._transport
    transport.ask, transport.tell = ask, lambda address, kind, body: sent.append(body)
    client = gateway.send_request()
    _, backend, _ = gateway.next_backend_request()
    backend.send(success_answer())
    assert gateway.status(client) == 200
    assert [len(body) for body in sent] == [4, 9]
    gateway.router.boards.set_chains(Chains())
    client = gateway.send_request(request_id="a2")
    _, backend, _ = gateway.next_backend_request()
    backend.send(success_answer("a2"))
    assert gateway.status(client) == 200
    assert [len(body) for body in sent[2:]] == [5, 10]
    gateway.router.boards.set_chains(None)
    assert gateway.router.boards.flows() == []
