"""A tenant moves off a node: requests in flight end there, new ones go elsewhere."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest

from oakvale.dataplane.drain_agent import CHECKS_PER_REPORT, DrainAgent
from oakvale.lifecycle.shutdown import Shutdown
from tests.data_plane import GatewayHarness, success_answer
from tests.node import MS, answer

OTHER_KEY = "k2"
TENANTS = {"cols": ["name", "apikeys"], "rows": [["t1", ["k1"]], ["t2", [OTHER_KEY]]]}


def move(tenant: str = "t1", node: str = "i-1", kind: str = "backend", **changes: Any) -> tuple[str, dict[str, Any]]:
    """Key and record of a move that has begun, as the replicated state holds them."""
    return f"o/{node}/{tenant}", {
        "order": "o",
        "kind": kind,
        "node": node,
        "tenant": tenant,
        "way": "out",
        "until": 0,
        "state": "leaving",
        "gates": {"life": ["edge", False, 0, 0, {}]},
    } | changes


class DrainHarness(GatewayHarness):
    """A gateway with a drain agent; it stands in for the transport, and collects the reports to the primary."""

    def __init__(self) -> None:
        super().__init__()
        self.reports: list[Any] = []
        self.drain_agent = DrainAgent(self.loop, self, self.router, "edge", "life", lambda: ("core", 1), lambda: 0)  # type: ignore[arg-type]
        self.apply_state()

    def tell(self, address: Any, kind: str, body: Any) -> None:
        self.reports.append(body[2])

    def apply_state(self, removed: tuple[str, ...] = (), draining: tuple[str, ...] = (), **changes: Any) -> None:
        avoid = self.router.snapshot.avoid
        super().apply_state(removed, draining, **{"tenants": TENANTS} | changes)
        self.router.apply_snapshot(replace(self.router.snapshot, avoid=avoid))

    def apply_moves(self, *entries: tuple[str, dict[str, Any]], is_first_update: bool = False) -> None:
        avoid = self.drain_agent.apply_moves(list(entries), is_first_update)
        self.router.apply_snapshot(replace(self.router.snapshot, avoid=avoid))

    def latest_report(self, key: str = "o/i-1/t1") -> list[Any]:
        """Waits for the next report to the primary; returns its values for one move."""
        before = len(self.reports)
        while len(self.reports) < before + 1:
            self.pass_time(100 * MS)
        return next(report[1:] for report in self.reports[-1] if report[0] == key)

    def served(self, request_id: str, key: str, path: str = "/r/x") -> str:
        """Sends a request and answers it; returns the backend that got it."""
        client = self.send_request(path, request_id, key)
        name, backend, _ = self.next_backend_request()
        backend.send(success_answer(request_id))
        assert self.status(client) == 200
        return name


@pytest.fixture
def gateway() -> Iterator[DrainHarness]:
    harness = DrainHarness()
    yield harness
    harness.close()


def test_only_the_moved_tenant_avoids_the_backend(gateway: DrainHarness) -> None:
    gateway.apply_moves(move())
    assert [gateway.served(f"a{n}", "k1") for n in range(6)] == ["i-2"] * 6
    gateway.send_request(request_id="a", key="k1")
    gateway.next_backend_request()
    # no request is answered yet, so the other tenant's two go to both backends
    gateway.send_request(request_id="b", key=OTHER_KEY)
    first = gateway.next_backend_request()[0]
    gateway.send_request(request_id="c", key=OTHER_KEY)
    assert {first, gateway.next_backend_request()[0]} == {"i-1", "i-2"}


def test_an_unsafe_request_is_not_retried_when_its_tenant_moves(gateway: DrainHarness) -> None:
    """A move cancels nothing: the request ends where it was sent, and its outcome is reported."""
    gateway.apply_state(draining=("i-2",))
    client = gateway.send_request("/b/x", key="k1", method="POST", body=b"slot")
    name, backend, _ = gateway.next_backend_request()
    assert name == "i-1"
    gateway.apply_state()
    gateway.apply_moves(move())
    assert gateway.latest_report() == [True, 1, 1, {}]
    backend.close(reset=True)
    assert gateway.status(client) == 502
    assert gateway.latest_report() == [True, 1, 0, {"failed": 1}]
    assert gateway.backend_1.take() is None and gateway.backend_2.take() is None


def test_requests_in_flight_are_reported_until_they_end(gateway: DrainHarness) -> None:
    gateway.apply_state(draining=("i-2",))
    clients, backends = [], []
    for n in range(2):
        clients.append(gateway.send_request(request_id=f"a{n}", key="k1"))
        backends.append(gateway.next_backend_request()[1])
    gateway.apply_state()
    gateway.apply_moves(move())
    assert gateway.latest_report() == [True, 2, 2, {}]
    backends[0].send(answer("404 Not Found", Attempt_Id="a0"))
    assert gateway.status(clients[0]) == 404
    assert gateway.latest_report() == [True, 2, 1, {"answered": 1}]
    clients[1].close()
    gateway.until(lambda: gateway.latest_report()[2] == 0)
    assert gateway.latest_report() == [True, 2, 0, {"answered": 1, "client_gone": 1}]
    gateway.apply_moves(move(state="moved"))  # settled: no more reports
    before = len(gateway.reports)
    gateway.pass_time(2 * CHECKS_PER_REPORT * 100 * MS)
    assert len(gateway.reports) == before


def test_drivers_of_a_service_share_connections(gateway: DrainHarness) -> None:
    """Guards against reporting the end of an attempt to the driver that opened the connection, not the one using it."""
    gateway.apply_moves(move())
    gateway.apply_state(draining=("i-1",))
    assert gateway.served("a1", "k1") == "i-2"
    gateway.pass_time(gateway.router.limits.backend_settle + MS)
    client = gateway.send_request(request_id="b1", key=OTHER_KEY)
    backend = gateway.peers[1]  # of the first request
    gateway.until(lambda: b"b1" in backend.read())
    backend.send(success_answer("b1"))
    assert gateway.status(client) == 200 and len(gateway.router.requests) == 0


def test_a_moved_tenant_is_served_by_the_old_backend_if_no_other_is_ready(gateway: DrainHarness) -> None:
    gateway.apply_moves(move())
    assert gateway.served("a1", "k1") == "i-2"
    gateway.apply_state(removed=("i-2",))
    assert gateway.served("a2", "k1") == "i-1"
    gateway.apply_state()
    assert gateway.served("a3", "k1") == "i-2"


def test_drivers_of_a_service_share_one_retry_budget(gateway: DrainHarness) -> None:
    """Separate budgets would double the retries that a service may make."""
    gateway.apply_moves(move())
    assert gateway.router._driver_for_tenant("one", "t1") is not gateway.router._driver("one")
    assert gateway.router._driver_for_tenant("one", "t1").budget is gateway.router._driver("one").budget
    assert gateway.router._driver_for_tenant("two", "t1") is gateway.router._driver("two")  # it has no excluded backend
    driver = gateway.router._driver_for_tenant("one", "t1")
    gateway.apply_moves(move(way="back"))
    gateway.pass_time(300 * MS)  # the last timer
    wakes: list[Any] = []
    driver._wake = wakes.append  # type: ignore[assignment]
    for _ in range(5):
        gateway.pass_time(300 * MS)
    assert not wakes and gateway.router._driver_for_tenant("one", "t1") is gateway.router._driver("one")


def test_a_draining_gateway_reports_not_ready_and_serves_remaining_clients(gateway: DrainHarness) -> None:
    """`readyz` uses the same flag, and a shutdown during the drain is still graceful."""
    gateway.apply_moves(move(kind="gateway", node="edge"))
    client = gateway.send_request(key="k1")
    gateway.next_backend_request()[1].send(success_answer())
    assert b"connection: close" in gateway.reads(client, b"ok").lower() and gateway.router.stopping
    assert gateway.latest_report("o/edge/t1")[2] >= 1  # the platform may still send new connections
    client.close()
    gateway.pass_time(gateway.router.limits.stop_accepting)
    assert gateway.latest_report("o/edge/t1") == [True, 0, 0, {}]
    gateway.host = gateway.router  # type: ignore[assignment]
    Shutdown(gateway).begin()  # type: ignore[arg-type]
    assert gateway.router.shared.stopping
    gateway.apply_moves(move(kind="gateway", node="edge", way="back"))
    assert not gateway.router.draining


def test_a_gateway_that_starts_after_a_move_follows_it_even_when_expired(gateway: DrainHarness) -> None:
    """It has nothing in flight there. A gateway that learns of the move too late ignores it, and reports so."""
    gateway.apply_moves(move(until=-5), is_first_update=True)
    assert gateway.router.snapshot.avoid == {"t1": frozenset({"i-1"})}
    late = DrainHarness()
    try:
        late.apply_moves(move(until=-5))
        assert not late.router.snapshot.avoid and late.latest_report() == [False, 0, 0, {}]
    finally:
        late.close()
