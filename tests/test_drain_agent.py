"""A tenant that moves off a node, on loopback sockets: what is in flight ends there, what is new goes elsewhere."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest

from oakvale.dataplane.drain_agent import CHECKS_PER_REPORT, DrainAgent
from oakvale.lifecycle.shutdown import Shutdown
from tests.data_plane import Gate, sealed
from tests.node import MS, answer

OTHER = "k2"
TENANTS = {"cols": ["name", "apikeys"], "rows": [["t1", ["k1"]], ["t2", [OTHER]]]}


def move(tenant: str = "t1", node: str = "i-1", kind: str = "backend", **changes: Any) -> tuple[str, dict[str, Any]]:
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


class Moving(Gate):
    def __init__(self) -> None:
        super().__init__()
        self.told: list[Any] = []
        self.drain_agent = DrainAgent(self.loop, self, self.router, "edge", "life", lambda: ("core", 1), lambda: 0)  # type: ignore[arg-type]
        self.show()

    def tell(self, address: Any, kind: str, body: Any) -> None:
        self.told.append(body[2])

    def show(self, gone: tuple[str, ...] = (), drain: tuple[str, ...] = (), **changes: Any) -> None:
        avoid = self.router.snapshot.avoid
        super().show(gone, drain, **{"tenants": TENANTS} | changes)
        self.router.apply_snapshot(replace(self.router.snapshot, avoid=avoid))

    def moves(self, *entries: tuple[str, dict[str, Any]], born: bool = False) -> None:
        avoid = self.drain_agent.apply_moves(list(entries), born)
        self.router.apply_snapshot(replace(self.router.snapshot, avoid=avoid))

    def word(self, key: str = "o/i-1/t1") -> list[Any]:
        """The latest that the primary was told of a move."""
        before = len(self.told)
        while len(self.told) < before + 1:
            self.pass_time(100 * MS)
        return next(word[1:] for word in self.told[-1] if word[0] == key)

    def served(self, rid: str, key: str, path: str = "/r/x") -> str:
        client = self.say(path, rid, key)
        name, backend, _ = self.at_backend()
        backend.send(sealed(rid))
        assert self.status(client) == 200
        return name


@pytest.fixture
def gate() -> Iterator[Moving]:
    made = Moving()
    yield made
    made.close()


def test_a_tenant_that_moved_keeps_off_and_its_neighbour_does_not(gate: Moving) -> None:
    gate.moves(move())
    assert [gate.served(f"a{n}", "k1") for n in range(6)] == ["i-2"] * 6
    gate.say(rid="a", key="k1")
    gate.at_backend()
    gate.say(rid="b", key=OTHER)  # both are held open: the neighbour's two go to both
    first = gate.at_backend()[0]
    gate.say(rid="c", key=OTHER)
    assert {first, gate.at_backend()[0]} == {"i-1", "i-2"}


def test_an_unsafe_request_whose_answer_is_lost_while_its_tenant_moves_is_never_sent_again(gate: Moving) -> None:
    """The move calls nothing off: it ended where it was, once, and the account says how."""
    gate.show(drain=("i-2",))
    client = gate.say("/b/x", key="k1", method="POST", body=b"slot")
    name, backend, _ = gate.at_backend()
    assert name == "i-1"
    gate.show()
    gate.moves(move())
    assert gate.word() == [True, 1, 1, {}]
    backend.close(reset=True)
    assert gate.status(client) == 502
    assert gate.word() == [True, 1, 0, {"failed": 1}]
    assert gate.first.take() is None and gate.second.take() is None


def test_what_is_in_flight_is_counted_until_it_has_ended_and_how(gate: Moving) -> None:
    gate.show(drain=("i-2",))
    clients, backends = [], []
    for n in range(2):
        clients.append(gate.say(rid=f"a{n}", key="k1"))
        backends.append(gate.at_backend()[1])
    gate.show()
    gate.moves(move())
    assert gate.word() == [True, 2, 2, {}]
    backends[0].send(answer("404 Not Found", Attempt_Id="a0"))
    assert gate.status(clients[0]) == 404
    assert gate.word() == [True, 2, 1, {"answered": 1}]
    clients[1].close()
    gate.until(lambda: gate.word()[2] == 0)
    assert gate.word() == [True, 2, 0, {"answered": 1, "client_gone": 1}]
    gate.moves(move(state="moved"))  # nothing more is owed, and nobody is told
    before = len(gate.told)
    gate.pass_time(2 * CHECKS_PER_REPORT * 100 * MS)
    assert len(gate.told) == before


def test_both_lanes_of_a_service_share_connections_and_each_hears_its_own_ends(gate: Moving) -> None:
    """A connection that one lane made carries the other's request: its end must not go to the first."""
    gate.moves(move())
    gate.show(drain=("i-1",))
    assert gate.served("a1", "k1") == "i-2"
    gate.pass_time(gate.router.limits.backend_settle + MS)
    client = gate.say(rid="b1", key=OTHER)
    backend = gate.peers[1]  # of the first request
    gate.until(lambda: b"b1" in backend.read())
    backend.send(sealed("b1"))
    assert gate.status(client) == 200 and len(gate.router.requests) == 0


def test_where_no_other_backend_is_ready_a_moved_tenant_is_served_where_it_was(gate: Moving) -> None:
    gate.moves(move())
    assert gate.served("a1", "k1") == "i-2"
    gate.show(gone=("i-2",))
    assert gate.served("a2", "k1") == "i-1"
    gate.show()
    assert gate.served("a3", "k1") == "i-2"


def test_both_lanes_of_a_service_spend_one_budget(gate: Moving) -> None:
    """Two would let a service have twice the further tries that it may."""
    gate.moves(move())
    assert gate.router._driver_for_tenant("one", "t1") is not gate.router._driver("one")
    assert gate.router._driver_for_tenant("one", "t1").budget is gate.router._driver("one").budget
    assert gate.router._driver_for_tenant("two", "t1") is gate.router._driver("two")  # it has none of them
    driver = gate.router._driver_for_tenant("one", "t1")
    gate.moves(move(way="back"))
    gate.pass_time(300 * MS)  # its last tick
    wakes: list[Any] = []
    driver._wake = wakes.append  # type: ignore[assignment]
    for _ in range(5):
        gate.pass_time(300 * MS)
    assert not wakes and gate.router._driver_for_tenant("one", "t1") is gate.router._driver("one")


def test_a_gateway_that_is_left_says_so_and_serves_who_still_comes(gate: Moving) -> None:
    """`readyz` reads the same flag; a SIGTERM in the middle still ends the process in order."""
    gate.moves(move(kind="gateway", node="edge"))
    client = gate.say(key="k1")
    gate.at_backend()[1].send(sealed())
    assert b"connection: close" in gate.reads(client, b"ok").lower() and gate.router.stopping
    assert gate.word("o/edge/t1")[2] >= 1  # the platform may pass more on
    client.close()
    gate.pass_time(gate.router.limits.stop_accepting)
    assert gate.word("o/edge/t1") == [True, 0, 0, {}]
    gate.host = gate.router  # type: ignore[assignment]
    Shutdown(gate).begin()  # type: ignore[arg-type]
    assert gate.router.shared.stopping
    gate.moves(move(kind="gateway", node="edge", way="back"))
    assert not gate.router.draining


def test_a_life_that_begins_after_a_move_follows_it_whatever_the_hour(gate: Moving) -> None:
    """It had sent nothing there. One that was there and heard too late stays, and says so."""
    gate.moves(move(until=-5), born=True)
    assert gate.router.snapshot.avoid == {"t1": frozenset({"i-1"})}
    late = Moving()
    try:
        late.moves(move(until=-5))
        assert not late.router.snapshot.avoid and late.word() == [False, 0, 0, {}]
    finally:
        late.close()
